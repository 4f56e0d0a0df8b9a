package rattanlineserver

import (
	"net"
	"time"
)

// followDelay is how long a deposed primary goes on after it can reach the new one.
const followDelay = time.Second

// SetCut partitions the endpoint from everything, or ends that. A primary that is cut off
// while another one is promoted goes on in its old term, until it is told to step down or
// has reached the new primary for followDelay.
func (e *Endpoint) SetCut(isCut bool) error {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.isCut = isCut
	if isCut {
		_ = e.listener.Close()
		for conn := range e.conns {
			_ = conn.Close()
		}
		return nil
	}
	listener, err := net.Listen("tcp", e.listener.Addr().String())
	if err != nil {
		return err
	}
	e.listener = listener
	go e.serve(listener)
	if e.deposedTerm == 0 {
		e.follow()
		return nil
	}
	time.AfterFunc(followDelay, func() {
		e.group.mu.Lock()
		defer e.group.mu.Unlock()
		if !e.isCut {
			e.follow()
		}
	})
	return nil
}

// follow makes the endpoint take over the log of the primary. The caller holds the group's
// mutex.
func (e *Endpoint) follow() {
	e.deposedTerm = 0
	e.log = append([]commit(nil), e.group.endpoints[e.group.primary].log...)
}

// isPrimary reports whether the endpoint calls itself the primary. The caller holds the
// group's mutex.
func (e *Endpoint) isPrimary() bool { return e.group.primary == e.id || e.deposedTerm != 0 }

// term returns the term that the endpoint leads or follows. The caller holds the group's
// mutex.
func (e *Endpoint) term() uint64 {
	if e.deposedTerm != 0 {
		return e.deposedTerm
	}
	return e.group.term
}

// stepDown makes a deposed primary of a term before the given one a replica. The caller
// holds the group's mutex.
func (e *Endpoint) stepDown(term uint64) {
	if e.deposedTerm != 0 && e.deposedTerm < term {
		e.follow()
	}
}

// DeposedWrites returns how many writes have run at deposed primaries.
func (g *Group) DeposedWrites() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deposedWrites
}
