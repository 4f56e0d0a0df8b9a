// Package rattankvserver is a stand-in for the user's platform in tests: its
// key-value store over HTTP, the call that promotes an endpoint and the reports of usage.
package rattankvserver

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key with its value or, in the history, a change of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// A Server is the store. It is safe for concurrent use.
type Server struct {
	promote func(group, endpoint string) bool

	mu       sync.Mutex
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	revision int64
	// era is the number of the store's life: it rises with each restoration.
	era            int64
	lastLease      int64
	isDown         bool
	refusedClients map[string]bool
	// silentClients get no answers, heldWatches none to their watches.
	silentClients, heldWatches map[string]bool
	// lostAnswers has the keys of which the answer to the next write is lost.
	lostAnswers map[string]bool
	// pageSize is the largest number of items in a response to a read.
	pageSize int
	// calls counts the calls by the first part of their path.
	calls map[string]int
	// stallCount is the number of calls of SilenceWatches.
	stallCount   int
	usageMode    UsageMode
	usageReports []UsageReport
	// changed is closed and replaced after each change.
	changed chan struct{}
}

// New returns an empty store. promote carries out calls that promote an endpoint;
// it returns false to refuse one.
func New(promote func(group, endpoint string) bool) *Server {
	return &Server{
		promote: promote, items: make(map[string]item), leases: make(map[int64]*lease),
		revision: 1, era: 1, refusedClients: make(map[string]bool),
		silentClients: make(map[string]bool), heldWatches: make(map[string]bool), lostAnswers: make(map[string]bool), pageSize: smallPage, calls: make(map[string]int), changed: make(chan struct{}),
	}
}

func (s *Server) watchStalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stallCount
}

// Calls returns the number of calls, also refused ones, by the first part of their
// path.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a key without a lease or a condition, as an operator or an endpoint
// does.
func (s *Server) Put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, encoded, 0)
	s.notifyWatches()
	return nil
}

// PutRaw writes bytes to a key without a lease or a condition, as a faulty writer may.
func (s *Server) PutRaw(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notifyWatches()
}

// PutLeased writes a key that is bound to a new lease, as a daemon does.
func (s *Server) PutLeased(key string, value any, ttl time.Duration) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.revision++
	s.write(key, encoded, s.lastLease)
	s.notifyWatches()
	return nil
}

// Delete removes a key.
func (s *Server) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatches()
}

// Value returns the value of a key.
func (s *Server) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found, ok := s.items[key]
	return found.Value, ok
}

// Forget drops the history, as a compaction does. A watch from an older revision
// then gets status GONE.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.revision++
	s.notifyWatches()
}

// write stores a value at the current revision. The caller holds mu.
func (s *Server) write(key string, value []byte, lease int64) {
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = written
	s.history = append(s.history, written)
}

// remove deletes a key at the current revision. The caller holds mu.
func (s *Server) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have expired. The caller holds mu.
func (s *Server) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys that are bound to it. The caller holds mu.
func (s *Server) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, found := range s.items {
		if found.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls["/"+strings.SplitN(r.URL.Path, "/", 3)[1]]++
	isSilent := s.silentClients[r.Header.Get("Test-Client")]
	isUnavailable := s.isDown || s.refusedClients[r.Header.Get("Test-Client")]
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if isSilent {
		// Only behind the body does the server notice that the client is gone.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if isUnavailable {
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
		s.serveKeepAlive(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.serveEndLease(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	case path == "/usage":
		s.serveUsage(w, r)
	case path == "/promote":
		s.servePromote(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection and needs no response.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
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
	hasMore := len(items) > s.pageSize
	respond(w, http.StatusOK, map[string]any{"items": items[:min(len(items), s.pageSize)], "has_more": hasMore, "as_of": s.revision})
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
	matches := true
	for _, e := range request.Expect {
		found, ok := s.items[e.Key]
		if ok {
			present = append(present, found)
		}
		matches = matches && found.Revision == e.Revision
	}
	if !matches {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": present})
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
	s.notifyWatches()
	s.loseAnswer(request)
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
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
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": request.TTLMs})
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Server) serveEndLease(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	respond(w, http.StatusOK, struct{}{})
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
	respond(w, http.StatusOK, struct{}{})
}
