package rattankvserver

// smallPage is the page size of a new store, small so that reads have several pages.
const smallPage = 3

// SetPageSize sets the largest number of items in a response to a read.
func (s *Server) SetPageSize(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = items
}

// SetDown makes the store answer 503 to every call.
func (s *Server) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// Refuse makes the store answer 503 to the calls of one client. Calls name their
// client in the header Test-Client, which a proxy in front of the store sets.
func (s *Server) Refuse(client string, isRefused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedClients[client] = isRefused
}

// HoldWatches makes the watches of one client hang until the client gives up, while its other
// calls are served.
func (s *Server) HoldWatches(client string, isHeld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldWatches[client] = isHeld
	s.notifyWatches()
}

// Silence makes all calls of one client hang until the client gives up.
func (s *Server) Silence(client string, isSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentClients[client] = isSilent
	s.notifyWatches()
}

// holdsWatches reports whether the watches of a client hang.
func (s *Server) holdsWatches(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldWatches[client] || s.silentClients[client]
}

// Expire ends the lease that a key is bound to.
func (s *Server) Expire(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease := s.items[key].Lease; lease != 0 {
		s.endLease(lease)
	}
}

// SilenceWatches makes the watches in progress hang until their client gives up, as
// when a connection is lost without being closed. Later watches are served.
func (s *Server) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stallCount++
}
