package rattanadmission

import "time"

const (
	// returnInterval is the step of the times at which refused callers come back.
	returnInterval = 20 * time.Millisecond
	// maxReturn is the longest time after which a refused caller comes back.
	maxReturn = 4 * time.Second
	// returnShare is the part of the room that returning callers get: new ones arrive
	// beside them.
	returnShare = 0.8
	// accountShare is the part of the room at one time that one account may get.
	accountShare = 0.5
)

// returns gives refused callers the times at which there is expected to be room for
// them, each time to as many as there is room for, so that they do not all come back at
// one moment. Less urgent callers leave the room that more urgent arrivals need.
type returns struct {
	// booked holds the slot time that is given away, by the number of the interval
	// since the Unix epoch.
	booked map[int64]*bookedInterval
}

// bookedInterval is the room of one interval that is given away.
type bookedInterval struct {
	all       time.Duration
	byAccount map[string]time.Duration
}

// returning is a request whose caller is to come back.
type returning struct {
	account string
	cost    time.Duration
}

func newReturns() *returns { return &returns{booked: make(map[int64]*bookedInterval)} }

// book returns the time from now at which the caller of a request is to come back: in the
// first interval after earliest that has room for it. Slots is the number of slots that
// its priority can use.
func (r *returns) book(request returning, earliest time.Duration, slots float64, now time.Time) time.Duration {
	r.forget(now)
	capacity := max(time.Duration(returnShare*slots*float64(returnInterval)), 1)
	first := now.Add(earliest).UnixNano()/int64(returnInterval) + 1
	last := now.Add(maxReturn).UnixNano() / int64(returnInterval)
	at := min(first, last)
	for at < last && r.room(at, request, capacity) <= 0 {
		at++
	}
	r.take(at, last, request, capacity)
	return time.Unix(0, at*int64(returnInterval)).Sub(now)
}

// take gives the request's cost of slot time away, over as many intervals as that needs.
func (r *returns) take(at, last int64, request returning, capacity time.Duration) {
	for remaining := request.cost; remaining > 0 && at <= last; at++ {
		taken := min(max(r.room(at, request, capacity), 0), remaining)
		remaining -= taken
		interval, ok := r.booked[at]
		if !ok {
			interval = &bookedInterval{byAccount: make(map[string]time.Duration)}
			r.booked[at] = interval
		}
		interval.all += taken
		interval.byAccount[request.account] += taken
	}
}

// room returns how much slot time of an interval is left for a request.
func (r *returns) room(at int64, request returning, capacity time.Duration) time.Duration {
	interval, ok := r.booked[at]
	if !ok {
		return time.Duration(accountShare * float64(capacity))
	}
	return min(capacity-interval.all, time.Duration(accountShare*float64(capacity))-interval.byAccount[request.account])
}

// forget drops the intervals that have passed.
func (r *returns) forget(now time.Time) {
	current := now.UnixNano() / int64(returnInterval)
	for at := range r.booked {
		if at <= current {
			delete(r.booked, at)
		}
	}
}
