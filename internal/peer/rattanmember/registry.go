package rattanmember

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// HeartbeatTimeout is how long a live daemon's counter may stay the same.
	HeartbeatTimeout = 2 * time.Second
	// HeartbeatInterval is the time between two steps of this daemon's counter.
	// It is a quarter of HeartbeatTimeout, so that several steps in a row may be
	// lost.
	HeartbeatInterval = 500 * time.Millisecond
	// refreshInterval is the time after which a daemon gives its record a new
	// version, so that daemons that have forgotten it accept it again.
	refreshInterval = 5 * time.Minute
	// forgetTime is how long after its last heartbeat a daemon stays known. It
	// is longer than a partition between regions.
	forgetTime = time.Hour
	// counterWrapTime is the time without a heartbeat after which a counter byte
	// that seems to have gone back is accepted: the counter may have wrapped
	// meanwhile. A late message cannot be that old, since calls time out after
	// seconds.
	counterWrapTime = 30 * time.Second
)

// daemon is what is known of one daemon.
type daemon struct {
	identity Identity
	state    State
	tag      uint32

	// counter is the last known heartbeat counter, of which only the lowest byte
	// is transmitted.
	counter uint64
	// heartbeatSeen is true once a heartbeat has been received; advancedAt is
	// then the time at which counter last advanced.
	heartbeatSeen bool
	advancedAt    time.Time
	// knownSince is the time at which the first record of this incarnation was
	// received.
	knownSince time.Time
	revisions  Revisions
	running    uint32
}

// A Registry lists the daemons of the fleet and which of them are live.
type Registry struct {
	self  Identity
	seeds []string
	store *rattangossip.Store
	clock rattanclock.Clock
	count func() uint32

	mutex sync.Mutex
	// state and version are those of this daemon's record, and published is when
	// it was last given a new version.
	state     State
	version   uint64
	published time.Time
	replaced  bool
	// daemons is keyed by VM, domains by failure domain.
	daemons map[string]*daemon
	domains map[string]*domain
	// answeredAt maps a failure domain to the send time of the latest request
	// that one of its daemons has answered.
	answeredAt map[string]time.Time
	rotation   vectorRotation
}

// An Option changes a Registry.
type Option func(*Registry)

// WithSeeds sets peer addresses that are tried while no peer is known, and to
// find the others again after a partition.
func WithSeeds(addresses ...string) Option {
	return func(r *Registry) { r.seeds = addresses }
}

// WithRunning sets the function that returns the number of callers' requests that
// this daemon is running.
func WithRunning(count func() uint32) Option {
	return func(r *Registry) { r.count = count }
}

// New returns a Registry that knows only self. It subscribes to the daemons'
// records in store and adds self's record.
func New(self Identity, store *rattangossip.Store, clock rattanclock.Clock, opts ...Option) *Registry {
	r := &Registry{
		self:       self,
		store:      store,
		clock:      clock,
		count:      func() uint32 { return 0 },
		state:      Serving,
		daemons:    make(map[string]*daemon),
		domains:    make(map[string]*domain),
		answeredAt: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.observeDaemon(self, Serving)
	store.Subscribe(rattanv1.RecordKind_RECORD_KIND_DAEMON, r.observe)
	r.publish()
	r.Tick()
	return r
}

// Run advances this daemon's heartbeat counter until ctx ends and returns ctx's
// error.
func (r *Registry) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.clock.After(HeartbeatInterval):
			r.Tick()
		}
	}
}

// Tick advances this daemon's heartbeat counter by one step, publishes its record
// again every refreshInterval, and forgets daemons of which nothing has been
// received for an hour.
func (r *Registry) Tick() {
	running := r.count()
	r.mutex.Lock()
	now := r.clock.Now()
	if own := r.daemons[r.self.VM]; own != nil && !r.replaced {
		own.counter++
		own.heartbeatSeen = true
		own.advancedAt = now
		own.running = running
	}
	refresh := !r.replaced && rattanclock.Elapsed(r.published, now) >= refreshInterval
	expired := r.expired(now)
	r.mutex.Unlock()
	if refresh {
		r.publish()
	}
	for _, vm := range expired {
		r.forget(vm)
	}
}

// expired returns the VMs whose daemons are to be forgotten.
func (r *Registry) expired(now time.Time) []string {
	var expired []string
	for vm, d := range r.daemons {
		if vm != r.self.VM && rattanclock.Elapsed(d.lastSeen(), now) > forgetTime {
			expired = append(expired, vm)
		}
	}
	return expired
}

// lastSeen returns the time of the last heartbeat, or that of the first record
// when there has been no heartbeat.
func (d *daemon) lastSeen() time.Time {
	if d.heartbeatSeen {
		return d.advancedAt
	}
	return d.knownSince
}

func (r *Registry) forget(vm string) {
	r.store.Remove(rattanv1.RecordKind_RECORD_KIND_DAEMON, vm)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if d, ok := r.daemons[vm]; ok {
		delete(r.daemons, vm)
		r.domains[d.identity.FailureDomain].invalidate()
	}
}

// SetState changes this daemon's state and publishes its record.
func (r *Registry) SetState(state State) {
	r.mutex.Lock()
	changed := r.state != state
	r.state = state
	r.mutex.Unlock()
	if changed {
		r.publish()
	}
}

// SetRevisions sets the revisions of the settings that this daemon has in force.
// They travel with the next heartbeat.
func (r *Registry) SetRevisions(revisions Revisions) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if own := r.daemons[r.self.VM]; own != nil && !r.replaced {
		own.revisions = revisions
		// Receivers ignore a heartbeat whose counter they already have, so new
		// revisions need a step of the counter.
		own.counter++
		own.advancedAt = r.clock.Now()
	}
}

// Replaced reports whether a daemon with a higher incarnation has started on this
// VM. This daemon then has to stop.
func (r *Registry) Replaced() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replaced
}

// publish merges a new version of this daemon's record into the store.
func (r *Registry) publish() {
	r.mutex.Lock()
	r.version++
	r.published = r.clock.Now()
	record := recordOf(r.self, r.state, r.version)
	r.mutex.Unlock()
	r.store.Merge(record)
}

// observe updates the daemons from changed records. Records that cannot be parsed
// are skipped: a daemon of a later release may have written them.
func (r *Registry) observe(records []rattangossip.Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range records {
		identity, state, err := parseRecord(record)
		if err != nil {
			continue
		}
		r.observeDaemon(identity, state)
	}
}

func (r *Registry) observeDaemon(identity Identity, state State) {
	if identity.VM == r.self.VM && identity.Incarnation > r.self.Incarnation {
		r.replaced = true
	}
	d, ok := r.daemons[identity.VM]
	if ok && d.identity.Incarnation > identity.Incarnation {
		return
	}
	if ok && d.identity.Incarnation == identity.Incarnation && d.identity.FailureDomain == identity.FailureDomain {
		d.identity = identity
		d.state = state
		return
	}
	if ok {
		r.domains[d.identity.FailureDomain].invalidate()
	}
	r.daemons[identity.VM] = &daemon{
		identity:   identity,
		state:      state,
		tag:        tagOf(identity.VM, identity.Incarnation),
		knownSince: r.clock.Now(),
	}
	if r.domains[identity.FailureDomain] == nil {
		r.domains[identity.FailureDomain] = &domain{name: identity.FailureDomain}
	}
	r.domains[identity.FailureDomain].invalidate()
}

// advancing reports whether d's counter has advanced within HeartbeatTimeout. It
// is always true for this daemon, unless it has been replaced.
func (r *Registry) advancing(d *daemon, now time.Time) bool {
	if d.identity.VM == r.self.VM && !r.replaced {
		return true
	}
	return d.heartbeatSeen && rattanclock.Elapsed(d.advancedAt, now) <= HeartbeatTimeout
}

func (r *Registry) live(d *daemon, now time.Time) bool {
	return d.state != Leaving && r.advancing(d, now)
}

func (r *Registry) member(d *daemon, now time.Time) Member {
	m := Member{
		Identity:      d.identity,
		State:         d.state,
		Live:          r.live(d, now),
		HeartbeatSeen: d.heartbeatSeen,
		Revisions:     d.revisions,
		Running:       d.running,
	}
	if d.heartbeatSeen {
		m.SinceHeartbeat = max(rattanclock.Elapsed(d.advancedAt, now), 0)
	}
	return m
}

// Members returns all known daemons in the order of their VM names.
func (r *Registry) Members() []Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	members := make([]Member, 0, len(r.daemons))
	for _, d := range r.daemons {
		members = append(members, r.member(d, now))
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return members
}

// Live returns the live daemons, this one among them, in the order of their VM
// names.
func (r *Registry) Live() []Member {
	return slices.DeleteFunc(r.Members(), func(m Member) bool { return !m.Live })
}

// LiveByDomain returns the live daemons by failure domain.
func (r *Registry) LiveByDomain() map[string][]Member {
	byDomain := make(map[string][]Member)
	for _, m := range r.Live() {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	return byDomain
}

// Member returns the daemon on a VM.
func (r *Registry) Member(vm string) (Member, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d, ok := r.daemons[vm]
	if !ok {
		return Member{}, false
	}
	return r.member(d, r.clock.Now()), true
}
