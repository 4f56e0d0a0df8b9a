package rattankvserver

import (
	"maps"
	"time"
)

// eraHeader is the header of all responses that holds the store's era.
const eraHeader = "Store-Era"

// A Copy is the content of the store at one moment.
type Copy struct {
	items     map[string]item
	leases    map[int64]time.Duration
	revision  int64
	lastLease int64
}

// Copy returns the present content.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	c := Copy{items: maps.Clone(s.items), leases: make(map[int64]time.Duration), revision: s.revision, lastLease: s.lastLease}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore replaces the content by a copy and begins the next era: what was written
// since the copy is gone, revisions and leases are given out again, and no history is
// kept. The copy's leases run from now.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history = maps.Clone(c.items), nil
	s.leases = make(map[int64]*lease, len(c.leases))
	for id, ttl := range c.leases {
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	}
	s.revision, s.lastLease = c.revision, c.lastLease
	s.era++
	s.notifyWatches()
}
