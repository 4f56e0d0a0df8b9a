package rattanlineserver

import (
	"net"
	"slices"
	"time"
)

// A PromotedLog is the log of an endpoint when it was promoted.
type PromotedLog struct {
	Endpoint string
	// Data are those of its writes, in order.
	Data []string
	// Missing are those that another endpoint held then and that it lacked.
	Missing []string
	// BroughtBack are those that an earlier promote had left out, unless no other log was
	// without such.
	BroughtBack []string
	At          time.Time
}

// promotedLog returns the log of an endpoint that is promoted now. The caller holds the
// group's mutex.
func (g *Group) promotedLog(e *Endpoint) PromotedLog {
	promoted := PromotedLog{Endpoint: e.id, Data: dataOf(e.log), At: time.Now()}
	hasBetter := false
	held := make(map[string]bool, len(e.log))
	for _, c := range e.log {
		held[c.data] = true
		if g.leftOut[c.data] {
			promoted.BroughtBack = append(promoted.BroughtBack, c.data)
		}
	}
	for _, other := range g.endpoints {
		isLeftOut := slices.ContainsFunc(other.log, func(c commit) bool { return g.leftOut[c.data] })
		hasBetter = hasBetter || other != e && len(other.log) > 0 && !isLeftOut
		for _, c := range other.log {
			if !held[c.data] {
				promoted.Missing = append(promoted.Missing, c.data)
			}
		}
	}
	for _, data := range promoted.Missing {
		g.leftOut[data] = true
	}
	if !hasBetter {
		promoted.BroughtBack = nil
	}
	return promoted
}

// ID returns the id of the endpoint.
func (e *Endpoint) ID() string { return e.id }

// StartedUnixMS returns the start of its process, as the endpoint reports it.
func (e *Endpoint) StartedUnixMS() int64 {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.startedUnixMS
}

// IsDown reports whether the endpoint has crashed.
func (e *Endpoint) IsDown() bool {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.isDown
}

// SetSyncReplicas sets how many replicas receive a commit before it is acknowledged.
func (g *Group) SetSyncReplicas(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncReplicas = n
}

// Promotes returns the logs of the promoted endpoints, in order.
func (g *Group) Promotes() []PromotedLog {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotes)
}

// PrimaryData returns the data of the writes in the log of the primary, in order.
func (g *Group) PrimaryData() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return dataOf(g.endpoints[g.primary].log)
}

// SetDeaf makes a replica receive no commits, or ends that.
func (e *Endpoint) SetDeaf(isDeaf bool) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.isDeaf = isDeaf
	e.catchUp()
}

// Restart starts an endpoint that has crashed again, with its log.
func (e *Endpoint) Restart() error {
	listener, err := net.Listen("tcp", e.Address())
	if err != nil {
		return err
	}
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.listener, e.isDown = listener, false
	e.catchUp()
	if e.isPrimary() {
		for _, other := range e.group.endpoints {
			other.catchUp()
		}
	}
	go e.serve(listener)
	return nil
}

// RestartEmpty starts an endpoint that has crashed again, with nothing of before.
func (e *Endpoint) RestartEmpty() error {
	e.group.mu.Lock()
	e.log, e.startedUnixMS, e.reports = nil, e.startedUnixMS+1, 0
	e.group.mu.Unlock()
	return e.Restart()
}

// Replace starts a new endpoint at the address of one that has crashed. The log is
// transferred to it, and the old endpoint is no more.
func (g *Group) Replace(old *Endpoint, id string) (*Endpoint, error) {
	g.mu.Lock()
	e := &Endpoint{
		group: g, id: id, maxConns: old.maxConns, listener: old.listener, log: old.log, isDown: true,
		conns: make(map[net.Conn]struct{}), tenants: make(map[string]int), startedUnixMS: old.startedUnixMS + 1,
	}
	delete(g.endpoints, old.id)
	g.endpoints[id] = e
	if g.primary == old.id {
		g.primary = id
	}
	g.mu.Unlock()
	return e, e.Restart()
}

// catchUp makes a replica take over the log of the primary, if both run and can reach one
// another. The caller holds the group's mutex.
func (e *Endpoint) catchUp() {
	primary := e.group.endpoints[e.group.primary]
	if !primary.isDown && !primary.isCut && !e.isDown && !e.isCut && !e.isDeaf && e.deposedTerm == 0 {
		e.follow()
	}
}

// dataOf returns the data of commits.
func dataOf(log []commit) []string {
	data := make([]string, 0, len(log))
	for _, c := range log {
		data = append(data, c.data)
	}
	return data
}
