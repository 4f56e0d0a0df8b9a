// Package rattanoperator implements the OperatorService, by which operators read and
// change settings, manage keys, switch primaries over and see the state of the
// fleet and the groups.
package rattanoperator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

const (
	// maxMessageBytes is above the largest document, 512 KiB.
	maxMessageBytes = 2 << 20
	// defaultChangeTimeout allows for the three calls of a change at the timeout of
	// one call, 4 s, and for another read after a lost response.
	defaultChangeTimeout = 20 * time.Second
	// defaultConfirmWait is below the 8 s within which a change must be in force
	// everywhere.
	defaultConfirmWait = 5 * time.Second
	// maxWait limits the wait times that operators request.
	maxWait = time.Minute
	// pollInterval is the time between checks of a waiting request. It is below the
	// gossip interval of the fleet, 200 ms.
	pollInterval = 50 * time.Millisecond
)

// A Store reads and changes the documents stored in the platform.
type Store interface {
	Load(ctx context.Context, team string) (rattanstore.StoredDocument, error)
	List(ctx context.Context) (documents []rattanstore.StoredDocument, leftOut int, err error)
	Change(ctx context.Context, change rattanstore.Change) (rattanstore.ChangeResult, error)
}

// SettingsSource provides the settings in force in this daemon.
type SettingsSource interface {
	Snapshot() *rattansettings.Snapshot
}

// Keyring holds the withdrawn keys known to this daemon.
type Keyring interface {
	// Withdraw adds withdrawals by the keys' full names.
	Withdraw(keyIDs ...string)
	IsWithdrawn(keyID string) bool
}

// Fleet is this daemon's view of all daemons, itself included.
type Fleet interface {
	Daemons() []Daemon
	// InForce reports whether a daemon has reported that this revision of the team's
	// document, or a later one, is in force there.
	InForce(vm, team string, revision uint64) bool
	// DomainLoad returns how many requests of all live daemons run on the endpoints
	// of a failure domain now and how many were started there in the last second.
	DomainLoad(failureDomain string) (running, started uint32)
}

// A Daemon is one daemon as this daemon knows it.
type Daemon struct {
	VM            string
	FailureDomain string
	Incarnation   uint64
	// State is a word for display, such as "live", "leaving" or "silent".
	State string
	// Live is true while the daemon serves callers or may do so.
	Live bool
	// Silent is the time since the heartbeat counter last advanced.
	Silent time.Duration
	// Revision is the lowest of the revisions in force there, over all documents.
	Revision    uint64
	PeerAddress string
	// Running is the number of callers' requests that run now.
	Running uint32
}

// Groups is this daemon's view of the groups, and runs planned switchovers.
type Groups interface {
	Groups() []Group
	// Switchover makes the endpoint the primary of the group, both given by full
	// name. If endpoint is empty, the daemon chooses one.
	Switchover(ctx context.Context, group, endpoint string) (SwitchoverResult, error)
}

// A Group is one group as this daemon knows it.
type Group struct {
	Name      string
	Term      uint64
	Primary   string
	Phase     string
	Endpoints []Endpoint
}

// An Endpoint is one endpoint as this daemon knows it.
type Endpoint struct {
	Name          string
	FailureDomain string
	Role          string
	Term          uint64
	Index         uint64
	Reachable     bool
	Drained       bool
	// Breaker is the state of the circuit breaker.
	Breaker string
	Running uint32
}

// SwitchoverResult is the outcome of a planned switchover.
type SwitchoverResult struct {
	Term    uint64
	Primary string
	// Gap is how long the group accepted no write.
	Gap time.Duration
}

// A Dumper returns a part of the daemon's state as JSON, without keys. An empty part
// means the whole state. It returns false when there is no such part.
type Dumper interface {
	Dump(part string) (json []byte, ok bool)
}

// A Service implements the OperatorService.
type Service struct {
	clock    rattanclock.Clock
	store    Store
	settings SettingsSource
	keys     Keyring
	fleet    Fleet
	groups   Groups
	dumper   Dumper

	bootstrap     rattansettings.Hash
	changeTimeout time.Duration
	confirmWait   time.Duration
}

var _ rattanv1connect.OperatorServiceHandler = (*Service)(nil)

// Dependencies holds what a Service needs from the daemon. All fields are required.
type Dependencies struct {
	Clock    rattanclock.Clock
	Store    Store
	Settings SettingsSource
	Keyring  Keyring
	Fleet    Fleet
	Groups   Groups
	Dumper   Dumper
}

// An Option configures a new Service.
type Option func(*Service)

// WithBootstrapCredential sets the hash of the secret of the bootstrap credential,
// which acts as team root until team root's document has a credential.
func WithBootstrapCredential(hash rattansettings.Hash) Option {
	return func(s *Service) { s.bootstrap = hash }
}

// WithChangeTimeout sets the timeout of one change; the default is 20 s.
func WithChangeTimeout(timeout time.Duration) Option {
	return func(s *Service) { s.changeTimeout = timeout }
}

// WithConfirmTimeout sets how long a request waits, after its change is stored,
// until all live daemons have it in force; the default is 5 s.
func WithConfirmTimeout(wait time.Duration) Option {
	return func(s *Service) { s.confirmWait = wait }
}

// New returns a Service.
func New(dependencies Dependencies, options ...Option) *Service {
	s := &Service{
		clock:         dependencies.Clock,
		store:         dependencies.Store,
		settings:      dependencies.Settings,
		keys:          dependencies.Keyring,
		fleet:         dependencies.Fleet,
		groups:        dependencies.Groups,
		dumper:        dependencies.Dumper,
		changeTimeout: defaultChangeTimeout,
		confirmWait:   defaultConfirmWait,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Handler returns the path prefix and the handler of the OperatorService.
func (s *Service) Handler() (string, http.Handler) {
	return rattanv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}
