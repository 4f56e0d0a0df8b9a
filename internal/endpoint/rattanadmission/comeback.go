package rattanadmission

import "time"

const (
	// returnInterval is the step of the times at which refused callers come back.
	returnInterval = 20 * time.Millisecond
	// maxReturn is the longest time after which a refused caller comes back.
	maxReturn = 4 * time.Second
	// accountShare is the part of the room at one time that one account may get.
	accountShare = 0.5
)

// returns gives refused callers the times at which there is expected to be room for
// them, each time to as many as there is room for, so that they do not all come back at
// one moment. Less urgent callers leave their time to more urgent ones.
type returns struct {
	// booked holds the slot time that is given away, by the number of the interval
	// since the Unix epoch.
	booked map[int64]*bookedInterval
}

// bookedInterval is the room of one interval that is given away.
type bookedInterval struct {
	byPriority map[int]time.Duration
	byAccount  map[string]time.Duration
}

func newReturns() *returns { return &returns{booked: make(map[int64]*bookedInterval)} }

// book returns the time from now at which a caller is to come back with a request of the
// given cost: in the first interval after earliest that has room for it. Slots is the
// number of slots that its priority can use.
func (r *returns) book(priority int, account string, cost, earliest time.Duration, slots float64, now time.Time) time.Duration {
	r.forget(now)
	room := max(time.Duration(slots*float64(returnInterval)), cost)
	first := now.Add(earliest).UnixNano()/int64(returnInterval) + 1
	last := now.Add(maxReturn).UnixNano() / int64(returnInterval)
	at := min(first, last)
	for ; at < last; at++ {
		if r.hasRoom(at, priority, account, cost, room) {
			break
		}
	}
	r.add(at, priority, account, cost)
	return time.Unix(0, at*int64(returnInterval)).Sub(now)
}

func (r *returns) hasRoom(at int64, priority int, account string, cost, room time.Duration) bool {
	interval, ok := r.booked[at]
	if !ok {
		return true
	}
	used := cost
	for other, booked := range interval.byPriority {
		if other <= priority {
			used += booked
		}
	}
	ofAccount := interval.byAccount[account]
	return used <= room && (ofAccount == 0 || ofAccount+cost <= time.Duration(accountShare*float64(room)))
}

func (r *returns) add(at int64, priority int, account string, cost time.Duration) {
	interval, ok := r.booked[at]
	if !ok {
		interval = &bookedInterval{byPriority: make(map[int]time.Duration), byAccount: make(map[string]time.Duration)}
		r.booked[at] = interval
	}
	interval.byPriority[priority] += cost
	interval.byAccount[account] += cost
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
