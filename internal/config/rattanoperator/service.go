// Package rattanoperator serves operators: settings, keys, and views of the
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
	// defaultChangeTimeout allows for the three calls of a change at the longest
	// time of a call, 4 s, and for reading again after a lost answer.
	defaultChangeTimeout = 20 * time.Second
	// defaultConfirmWait is below the 8 s in which a change is in force everywhere.
	defaultConfirmWait = 5 * time.Second
	// maxWait bounds the waits that operators ask for.
	maxWait = time.Minute
	// pollInterval is how often waits look at the fleet, which gossips every 200 ms.
	pollInterval = 50 * time.Millisecond
)

// A Store changes and reads the stored documents.
type Store interface {
	Load(ctx context.Context, team string) (rattanstore.StoredDocument, error)
	List(ctx context.Context) (documents []rattanstore.StoredDocument, leftOut int, err error)
	Change(ctx context.Context, change rattanstore.Change) (rattanstore.ChangeResult, error)
}

// SettingsSource has the settings in force in this daemon.
type SettingsSource interface {
	Snapshot() *rattansettings.Snapshot
}

// Keyring is the daemon's key ring.
type Keyring interface {
	// Withdraw adds withdrawals by the keys' full names.
	Withdraw(keyIDs ...string)
	IsWithdrawn(keyID string) bool
}

// Fleet is this daemon's view of all daemons, itself included.
type Fleet interface {
	Daemons() []Daemon
	// InForce reports whether a daemon has said that it has the revision of the
	// team's document, or a later one, in force.
	InForce(vm, team string, revision uint64) bool
	// DomainLoad returns the requests that run on the endpoints of a failure
	// domain now and those started in the last second, by all live daemons.
	DomainLoad(failureDomain string) (running, started uint32)
}

// A Daemon is one daemon as this daemon knows it.
type Daemon struct {
	VM            string
	FailureDomain string
	Incarnation   uint64
	// State is a word for people, such as "live", "leaving" or "silent".
	State string
	// Live is true while the daemon serves callers or may do so.
	Live bool
	// Silent is the time since the heartbeat counter last advanced.
	Silent time.Duration
	// Revision is the lowest revision in force for all documents.
	Revision    uint64
	PeerAddress string
	// Running counts callers' requests.
	Running uint32
}

// Groups is this daemon's view of the groups, and the planned switch.
type Groups interface {
	Groups() []Group
	// Switchover moves the primary. An empty endpoint lets the daemon choose. Both
	// are full names.
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

// SwitchoverResult is the outcome of a planned switch.
type SwitchoverResult struct {
	Term    uint64
	Primary string
	// Gap is how long the group accepted no write.
	Gap time.Duration
}

// A Dumper returns the daemon's state as JSON without any key. An empty part
// means all. It returns false when there is no such part.
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

// Dependencies is what a Service works on. All are required.
type Dependencies struct {
	Clock    rattanclock.Clock
	Store    Store
	Settings SettingsSource
	Keyring  Keyring
	Fleet    Fleet
	Groups   Groups
	Dumper   Dumper
}

// An Option changes a Service that is being built.
type Option func(*Service)

// WithBootstrapCredential sets the hash of a credential's secret that acts as team root
// while team root's document has no credential.
func WithBootstrapCredential(hash rattansettings.Hash) Option {
	return func(s *Service) { s.bootstrap = hash }
}

// WithChangeTimeout sets the longest time of one change; the default is 20 s.
func WithChangeTimeout(timeout time.Duration) Option {
	return func(s *Service) { s.changeTimeout = timeout }
}

// WithConfirmTimeout sets how long a stored change waits until all live daemons
// have it in force; the default is 5 s.
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
