package rattangrant

import "time"

// operation is a primary operation in flight.
type operation struct {
	interrupt func()
}

// Track registers an operation at the primary of a group until the returned function
// is called. It returns false, and registers nothing, unless the daemon holds a grant
// for that endpoint now. Calling interrupt ends the operation early; its outcome is
// then in doubt.
func (g *Grants) Track(group, primary string, interrupt func()) (done func(), ok bool) {
	op := &operation{interrupt: interrupt}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(group)
	if !g.isValid(e) || e.record.Primary != primary {
		return nil, false
	}
	if e.inFlight == nil {
		e.inFlight = make(map[*operation]struct{})
	}
	e.inFlight[op] = struct{}{}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(e.inFlight, op)
		if len(e.inFlight) == 0 {
			g.broadcastChange()
		}
	}, true
}

// Quiesce waits until no primary operation of a group is in flight. It interrupts
// those that have not ended after the timeout, and again after each further timeout.
func (g *Grants) Quiesce(group string, timeout time.Duration) {
	expired := g.clock.After(timeout)
	for {
		g.mu.Lock()
		e := g.entry(group)
		changed := g.changed
		inFlight := make([]*operation, 0, len(e.inFlight))
		for op := range e.inFlight {
			inFlight = append(inFlight, op)
		}
		g.mu.Unlock()
		if len(inFlight) == 0 {
			return
		}
		select {
		case <-changed:
		case <-expired:
			for _, op := range inFlight {
				op.interrupt()
			}
			expired = g.clock.After(timeout)
		}
	}
}
