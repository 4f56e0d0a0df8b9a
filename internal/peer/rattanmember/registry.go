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
	// HeartbeatTimeout is the time within which a live daemon's counter moves.
	HeartbeatTimeout = 2 * time.Second
	// HeartbeatInterval is the time between two steps of the own counter. A
	// quarter of HeartbeatTimeout lets several steps be missed.
	HeartbeatInterval = 500 * time.Millisecond
	// refreshInterval is the time after which a daemon's record gets a new
	// version, so that daemons that had forgotten it take it back.
	refreshInterval = 5 * time.Minute
	// forgetTime is how long a daemon that is not live stays known. It is
	// longer than a partition between regions.
	forgetTime = time.Hour
	// wrapTime is the silence after which a counter byte that seems to have
	// gone back is taken as new: the counter may have wrapped unseen. No late
	// message is as old, since calls end after seconds.
	wrapTime = 30 * time.Second
)

// daemon is what is known of one daemon.
type daemon struct {
	identity Identity
	state    State
	tag      uint32

	// counter is the last known counter, of which only the lowest byte is
	// transmitted.
	counter   uint64
	heard     bool
	moved     time.Time
	known     time.Time
	revisions Revisions
	running   uint32
}

// A Registry knows the daemons of the fleet.
type Registry struct {
	self  Identity
	seeds []string
	store *rattangossip.Store
	clock rattanclock.Clock
	count func() uint32

	mutex     sync.Mutex
	state     State
	version   uint64
	published time.Time
	replaced  bool
	daemons   map[string]*daemon
	domains   map[string]*domain
	contacts  map[string]time.Time
	vectors   vectorTurn
}

// An Option changes a Registry.
type Option func(*Registry)

// WithSeeds sets peer addresses that are tried while no peer is known and after
// partitions.
func WithSeeds(addresses ...string) Option {
	return func(r *Registry) { r.seeds = addresses }
}

// WithRunning sets the function that returns the number of requests that run
// for callers.
func WithRunning(count func() uint32) Option {
	return func(r *Registry) { r.count = count }
}

// New returns a Registry that knows only self, and registers it for the
// daemons' records of store.
func New(self Identity, store *rattangossip.Store, clock rattanclock.Clock, opts ...Option) *Registry {
	r := &Registry{
		self:     self,
		store:    store,
		clock:    clock,
		count:    func() uint32 { return 0 },
		state:    Serving,
		daemons:  make(map[string]*daemon),
		domains:  make(map[string]*domain),
		contacts: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.observeOne(self, Serving)
	store.Subscribe(rattanv1.RecordKind_RECORD_KIND_DAEMON, r.observe)
	r.publish()
	r.Tick()
	return r
}

// Run advances the own counter until ctx ends and returns ctx's error.
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

// Tick advances the own counter by one step, renews the own record when it is
// time, and forgets daemons that have been gone for an hour.
func (r *Registry) Tick() {
	running := r.count()
	r.mutex.Lock()
	now := r.clock.Now()
	if own := r.daemons[r.self.VM]; own != nil && !r.replaced {
		own.counter++
		own.heard = true
		own.moved = now
		own.running = running
	}
	refresh := !r.replaced && rattanclock.Elapsed(r.published, now) >= refreshInterval
	gone := r.gone(now)
	r.mutex.Unlock()
	if refresh {
		r.publish()
	}
	for _, vm := range gone {
		r.forget(vm)
	}
}

func (r *Registry) gone(now time.Time) []string {
	var gone []string
	for vm, d := range r.daemons {
		if vm != r.self.VM && rattanclock.Elapsed(d.last(), now) > forgetTime {
			gone = append(gone, vm)
		}
	}
	return gone
}

func (d *daemon) last() time.Time {
	if d.heard {
		return d.moved
	}
	return d.known
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

// SetState changes what the daemon says of itself.
func (r *Registry) SetState(state State) {
	r.mutex.Lock()
	changed := r.state != state
	r.state = state
	r.mutex.Unlock()
	if changed {
		r.publish()
	}
}

// SetRevisions sets the settings that the daemon has in force. They travel with
// the next heartbeat.
func (r *Registry) SetRevisions(revisions Revisions) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if own := r.daemons[r.self.VM]; own != nil && !r.replaced {
		own.revisions = revisions
		// A step of its own, since a counter's revisions never change.
		own.counter++
		own.moved = r.clock.Now()
	}
}

// Replaced reports whether a daemon with a higher incarnation runs on this VM.
// The daemon then has to stop.
func (r *Registry) Replaced() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replaced
}

func (r *Registry) publish() {
	r.mutex.Lock()
	r.version++
	r.published = r.clock.Now()
	record := recordOf(r.self, r.state, r.version)
	r.mutex.Unlock()
	r.store.Merge(record)
}

// observe takes changed records of daemons. Records that cannot be read are
// skipped: a daemon of a later release may have written them.
func (r *Registry) observe(records []rattangossip.Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range records {
		identity, state, err := parseRecord(record)
		if err != nil {
			continue
		}
		r.observeOne(identity, state)
	}
}

func (r *Registry) observeOne(identity Identity, state State) {
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
		identity: identity,
		state:    state,
		tag:      tagOf(identity.VM, identity.Incarnation),
		known:    r.clock.Now(),
	}
	if r.domains[identity.FailureDomain] == nil {
		r.domains[identity.FailureDomain] = &domain{name: identity.FailureDomain}
	}
	r.domains[identity.FailureDomain].invalidate()
}

// moving reports whether d's counter has moved within HeartbeatTimeout. The own
// daemon's always has.
func (r *Registry) moving(d *daemon, now time.Time) bool {
	if d.identity.VM == r.self.VM && !r.replaced {
		return true
	}
	return d.heard && rattanclock.Elapsed(d.moved, now) <= HeartbeatTimeout
}

func (r *Registry) live(d *daemon, now time.Time) bool {
	return d.state != Leaving && r.moving(d, now)
}

func (r *Registry) member(d *daemon, now time.Time) Member {
	m := Member{
		Identity:      d.identity,
		State:         d.state,
		Live:          r.live(d, now),
		HeartbeatSeen: d.heard,
		Revisions:     d.revisions,
		Running:       d.running,
	}
	if d.heard {
		m.SinceHeartbeat = max(rattanclock.Elapsed(d.moved, now), 0)
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
