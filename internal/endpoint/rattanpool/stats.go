package rattanpool

import "time"

// Stats is a snapshot of a pool for metrics and the state dump.
type Stats struct {
	// Queued and QueuedPins count the requests that wait.
	Queued     int `json:"queued"`
	QueuedPins int `json:"queued_pins"`
	// InFlight counts running requests, pinned connections aside.
	InFlight      int `json:"in_flight"`
	InFlightLimit int `json:"in_flight_limit"`
	// Connections by use.
	Idle            int `json:"idle"`
	Pinned          int `json:"pinned"`
	Opening         int `json:"opening"`
	Closing         int `json:"closing"`
	ConnectionLimit int `json:"connection_limit"`
	// ServiceTime is the measured mean time of a request at the endpoint.
	ServiceTime time.Duration `json:"service_ns"`
	Breaker     string        `json:"breaker"`
	Drained     bool          `json:"drained"`
}

// Stats returns the state of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Queued:          p.work.waiting,
		QueuedPins:      p.pins.waiting,
		InFlight:        p.inFlight,
		InFlightLimit:   p.inFlightLimit(p.clock.Now()),
		Idle:            len(p.connections.idle),
		Pinned:          p.connections.pinned + p.connections.granted,
		Opening:         p.connections.opening,
		Closing:         p.connections.closing,
		ConnectionLimit: p.limits.Connections,
		ServiceTime:     p.work.service,
		Breaker:         p.breaker.state.String(),
		Drained:         p.drained,
	}
}

// QueueLengths returns the number of waiting requests of every client account
// that has any, pins included. Under the FIFO policy the account is "".
func (p *Pool) QueueLengths() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	lengths := make(map[string]int, p.work.active)
	for _, queue := range []*admissionQueue{&p.work, &p.pins} {
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
	return BreakerState(p.state.Load())
}
