package rattanpool

import "time"

// Stats is a snapshot of a pool for metrics and the state dump.
type Stats struct {
	// Queued and QueuedPins count the waiting calls of Do and of Pin.
	Queued     int `json:"queued"`
	QueuedPins int `json:"queued_pins"`
	// InFlight counts running requests, not counting those on pinned connections.
	InFlight      int `json:"in_flight"`
	InFlightLimit int `json:"in_flight_limit"`
	// Idle, Pinned, Opening and Closing count connections by use.
	Idle            int `json:"idle"`
	Pinned          int `json:"pinned"`
	Opening         int `json:"opening"`
	Closing         int `json:"closing"`
	ConnectionLimit int `json:"connection_limit"`
	// ServiceTime is the mean time that a request takes at the endpoint.
	ServiceTime time.Duration `json:"service_ns"`
	Breaker     string        `json:"breaker"`
	Drained     bool          `json:"drained"`
}

// Stats returns the state of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Queued:          p.requests.waiting,
		QueuedPins:      p.pinRequests.waiting,
		InFlight:        p.inFlight,
		InFlightLimit:   p.inFlightLimit(p.clock.Now()),
		Idle:            len(p.connections.idle),
		Pinned:          p.connections.pinned + p.connections.assigned,
		Opening:         p.connections.opening,
		Closing:         p.connections.closing,
		ConnectionLimit: p.limits.Connections,
		ServiceTime:     p.requests.serviceTime,
		Breaker:         p.breaker.state.String(),
		Drained:         p.drained,
	}
}

// QueueLengths returns the number of waiting calls of Do and Pin for every client
// account that has any. With WithFIFO all of them are counted under the account "".
func (p *Pool) QueueLengths() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	lengths := make(map[string]int, p.requests.active)
	for _, queue := range []*admissionQueue{&p.requests, &p.pinRequests} {
		a := queue.current
		for range queue.active {
			lengths[a.name] += a.waiting
			a = a.next
		}
	}
	return lengths
}

// Breaker returns the state of the circuit breaker without taking a lock.
func (p *Pool) Breaker() BreakerState {
	return BreakerState(p.breakerState.Load())
}
