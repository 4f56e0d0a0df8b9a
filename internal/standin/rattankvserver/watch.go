package rattankvserver

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	stallsAtStart := s.watchStalls()
	for {
		if s.watchStalls() != stallsAtStart || s.holdsWatches(r.Header.Get("Test-Client")) {
			<-r.Context().Done()
			return
		}
		events, asOf, changed, isComplete := s.eventsAfter(r.URL.Query().Get("prefix"), after)
		if !isComplete {
			respond(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"events": []item{}, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes under a prefix after a revision, the current
// revision and the channel that is closed at the next change. The last result is
// false when the history does not reach back to that revision.
func (s *Server) eventsAfter(prefix string, after int64) ([]item, int64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	isComplete := after == s.revision || after < s.revision && len(s.history) > 0 && s.history[0].Revision <= after+1
	events := []item{}
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed, isComplete
}
