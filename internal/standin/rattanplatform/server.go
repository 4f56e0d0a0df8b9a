// Package rattanplatform is a stand-in for the operator's platform: a key-value
// service with compare-and-swap, leases and watches, and a lagging list of VMs. It
// stores everything in memory.
package rattanplatform

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

const (
	// maxValueBytes is the platform's limit for one value.
	maxValueBytes = 1 << 20
	// maxMessageBytes limits a request. It leaves room for the fields beside a value.
	maxMessageBytes = 2 << 20
	defaultVMLag    = 5 * time.Second
)

// A Server is the platform. Besides the handler of PlatformService it implements
// rattanv1connect.PlatformServiceClient, for use without a network.
type Server struct {
	clock rattanclock.Clock
	vmLag time.Duration

	mu       sync.Mutex
	revision uint64
	// entries has the newest change of each key; that of a deleted key stays, so
	// that watches see it.
	entries map[string]*rattanv1.KeyValue
	leases  map[uint64]*lease
	// lastID is the ID of the newest lease.
	lastID uint64
	// vmEvents are the changes from which ListVMs computes its list, oldest first.
	vmEvents []vmEvent
	faults   faults
	counters counters
	// changed is closed and replaced after each change of an entry or of the faults.
	changed chan struct{}
}

var (
	_ rattanv1connect.PlatformServiceHandler = (*Server)(nil)
	_ rattanv1connect.PlatformServiceClient  = (*Server)(nil)
)

// An Option is an option of New.
type Option func(*Server)

// WithVMLag sets the time by which the VM list lags behind the keys "vm/<name>". The
// default is 5 s.
func WithVMLag(lag time.Duration) Option {
	return func(s *Server) { s.vmLag = lag }
}

// New returns an empty Server that measures time with clock.
func New(clock rattanclock.Clock, options ...Option) *Server {
	s := &Server{
		clock:   clock,
		vmLag:   defaultVMLag,
		entries: make(map[string]*rattanv1.KeyValue),
		leases:  make(map[uint64]*lease),
		changed: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Handler returns the path prefix and the handler of the PlatformService.
func (s *Server) Handler() (string, http.Handler) {
	return rattanv1connect.NewPlatformServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// Get returns the entry of a key. The response has no entry if the key does not
// exist.
func (s *Server) Get(ctx context.Context, request *connect.Request[rattanv1.GetRequest]) (*connect.Response[rattanv1.GetResponse], error) {
	if err := s.begin(ctx, countRead); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	response := &rattanv1.GetResponse{Revision: s.revision}
	if entry := s.entries[request.Msg.GetKey()]; entry != nil && !entry.GetDeleted() {
		response.Entry = copyEntry(entry)
	}
	return connect.NewResponse(response), nil
}

// List returns the entries under a prefix, sorted by key.
func (s *Server) List(ctx context.Context, request *connect.Request[rattanv1.ListRequest]) (*connect.Response[rattanv1.ListResponse], error) {
	if err := s.begin(ctx, countRead); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	response := &rattanv1.ListResponse{Revision: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, request.Msg.GetPrefix()) && !entry.GetDeleted() {
			response.Entries = append(response.Entries, copyEntry(entry))
		}
	}
	slices.SortFunc(response.Entries, func(a, b *rattanv1.KeyValue) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return connect.NewResponse(response), nil
}

// Put stores or deletes the value of a key if the key has the expected revision.
func (s *Server) Put(ctx context.Context, request *connect.Request[rattanv1.PutRequest]) (*connect.Response[rattanv1.PutResponse], error) {
	if err := s.begin(ctx, countWrite); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	put := request.Msg
	if err := s.checkPut(put); err != nil {
		return nil, err
	}
	s.applyChange(&rattanv1.KeyValue{
		Key: put.GetKey(), Value: slices.Clone(put.GetValue()),
		Lease: put.GetLease(), Deleted: put.GetDelete(),
	}, s.clock.Now())
	if err := s.loseResponse(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&rattanv1.PutResponse{Revision: s.revision}), nil
}

func (s *Server) checkPut(put *rattanv1.PutRequest) error {
	var found uint64
	if entry := s.entries[put.GetKey()]; entry != nil && !entry.GetDeleted() {
		found = entry.GetRevision()
	}
	switch {
	case put.GetKey() == "":
		return connect.NewError(connect.CodeInvalidArgument, errors.New("key is empty"))
	case len(put.GetValue()) > maxValueBytes:
		return connect.NewError(connect.CodeInvalidArgument, errors.New("value is larger than 1 MiB"))
	case put.GetDelete() && put.GetExpectedRevision() == 0:
		return connect.NewError(connect.CodeInvalidArgument, errors.New("deletion does not state the expected revision of the key"))
	case found != put.GetExpectedRevision():
		return connect.NewError(connect.CodeAborted, errors.New("key does not have the expected revision"))
	case put.GetLease() != 0 && s.leases[put.GetLease()] == nil:
		return connect.NewError(connect.CodeNotFound, errors.New("lease does not exist or has expired"))
	default:
		return nil
	}
}

// applyChange makes entry the newest change of its key, at a new revision, and wakes
// the watches. at is the time of the change for the VM list. The caller holds s.mu.
func (s *Server) applyChange(entry *rattanv1.KeyValue, at time.Time) {
	s.revision++
	entry.Revision = s.revision
	if entry.GetDeleted() {
		entry.Value, entry.Lease = nil, 0
	}
	s.entries[entry.GetKey()] = entry
	s.recordVM(entry, at)
	s.wakeWatches()
}

func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func copyEntry(entry *rattanv1.KeyValue) *rattanv1.KeyValue {
	return &rattanv1.KeyValue{
		Key: entry.GetKey(), Value: slices.Clone(entry.GetValue()),
		Revision: entry.GetRevision(), Lease: entry.GetLease(), Deleted: entry.GetDeleted(),
	}
}
