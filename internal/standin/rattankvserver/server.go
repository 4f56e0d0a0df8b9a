// Package rattankvserver is a stand-in of the users' platform for tests: its
// key-value store over HTTP and the call that promotes an endpoint.
package rattankvserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// A Server is the store. It is safe for concurrent use.
type Server struct {
	promote func(group, endpoint string) bool

	mu       sync.Mutex
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	revision int64
	next     int64
	isDown   bool
	refused  map[string]bool
	// silenced counts how often all watches under way were silenced.
	silenced int
	changed  chan struct{}
}

// New returns an empty store; promote carries out a call to promote an endpoint
// and returns false to refuse it.
func New(promote func(group, endpoint string) bool) *Server {
	return &Server{
		promote: promote, items: make(map[string]item), leases: make(map[int64]*lease),
		revision: 1, refused: make(map[string]bool), changed: make(chan struct{}),
	}
}

// SetDown makes the store answer 503 to every call.
func (s *Server) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// Refuse makes the store answer 503 to the calls of one client, which its proxy
// names in the header Test-Client.
func (s *Server) Refuse(client string, isRefused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[client] = isRefused
}

// SilenceWatches leaves the watches under way without an answer, as a connection
// does that is cut without a sign; later ones are answered.
func (s *Server) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced++
}

func (s *Server) silences() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenced
}

// Put writes a key as an operator or an endpoint does.
func (s *Server) Put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, encoded, 0)
	s.announce()
	return nil
}

// Delete removes a key.
func (s *Server) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.announce()
}

// Value returns the value of a key.
func (s *Server) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found, ok := s.items[key]
	return found.Value, ok
}

// Forget drops the history, as a compaction does.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.revision++
	s.announce()
}

func (s *Server) write(key string, value []byte, lease int64) {
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = written
	s.history = append(s.history, written)
}

func (s *Server) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Server) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *Server) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.end(id)
		}
	}
}

func (s *Server) end(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, found := range s.items {
		if found.Lease == id {
			s.remove(key)
		}
	}
	s.announce()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	isAway := s.isDown || s.refused[r.Header.Get("Test-Client")]
	s.mu.Unlock()
	if isAway {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch path := r.URL.Path; {
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	case path == "/promote":
		s.servePromote(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 3
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > page
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), page)], "has_more": hasMore, "as_of": s.revision})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	silences := s.silences()
	for {
		if s.silences() != silences {
			<-r.Context().Done()
			return
		}
		events, asOf, changed, isKept := s.since(r.URL.Query().Get("prefix"), after)
		if !isKept {
			answer(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []item{}, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) since(prefix string, after int64) ([]item, int64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	isKept := after >= s.revision || len(s.history) > 0 && s.history[0].Revision <= after+1
	events := []item{}
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed, isKept
}

type txnRequest struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	present := []item{}
	holds := true
	for _, e := range request.Expect {
		found, ok := s.items[e.Key]
		if ok {
			present = append(present, found)
		}
		holds = holds && found.Revision == e.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, write := range request.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, write := range request.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range request.Remove {
		s.remove(key)
	}
	s.announce()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": request.TTLMs})
}

func (s *Server) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Server) serveEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.end(id)
	answer(w, http.StatusOK, struct{}{})
}

func (s *Server) servePromote(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.promote(request.Service, request.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	answer(w, http.StatusOK, struct{}{})
}
