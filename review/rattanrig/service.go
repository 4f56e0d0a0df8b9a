package rattanrig

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// openTime is how long a new connection occupies a slot.
	openTime = 12 * time.Millisecond
	// replicationTick separates two steps of the replication.
	replicationTick = 2 * time.Millisecond
	// maxQueue is how many statements may wait for a slot of an instance.
	maxQueue = 24
)

// ServiceOptions describe a database service.
type ServiceOptions struct {
	// Name is that of the service.
	Name string
	// Slots and Connections are those of each instance.
	Slots, Connections int
	// Lag is after which time replicas apply a commit; they receive it in half of that.
	Lag time.Duration
	// PromoteTime is how long after the call a promoted instance leads.
	PromoteTime time.Duration
	// SyncReplicas is how many replicas must have received a commit before it is
	// acknowledged.
	SyncReplicas int
	// Work is the mean run time of a statement that takes a slot.
	Work time.Duration
}

// A commit is a write in the log.
type commit struct {
	term, number uint64
	id           string
	item, data   string
	at           time.Time
}

// A Run is a statement that an instance ran.
type Run struct {
	// Arrived is when the instance read the statement, At when its work was done.
	Arrived, At time.Time
	Instance    string
	// IsOld is true when the instance's term had been ended by a promote.
	IsOld    bool
	ID, Text string
	// Values are the session values of the instance's connection.
	Values map[string]string
}

// A Service is one database with its instances. It is safe for concurrent use.
type Service struct {
	options ServiceOptions
	record  *Record

	mu        sync.Mutex
	changed   *sync.Cond
	instances []*Instance
	term      uint64
	runs      map[string]Run
	// promoted lists the instances that were promoted, in order.
	promoted []Promotion
	isClosed bool
}

// A Promotion is a promote that took effect, with the ids of the commits in the log of the
// instance.
type Promotion struct {
	At       time.Time
	Instance string
	IsOld    bool
	IDs      map[string]bool
}

// An Instance is one database process.
type Instance struct {
	service  *Service
	id, zone string
	listener net.Listener
	slots    chan struct{}

	// The fields below are guarded by the service's mutex.
	isPrimary  bool
	term       uint64
	log        []commit
	applied    int
	isDraining bool
	isDark     bool
	isDeaf     bool
	conns      map[net.Conn]struct{}
	waiting    int
	reports    int
	born       int64
	// lag is after which time the instance applies a commit as a replica.
	lag time.Duration
	// grey is the share of its requests that the instance fails.
	grey float64
	// isCut is true while the instance is partitioned from everything.
	isCut bool
}

// NewService returns a service with one instance in each zone, the first one its primary.
func NewService(options ServiceOptions, zones []string, record *Record) (*Service, error) {
	s := &Service{options: options, record: record, term: 1, runs: make(map[string]Run)}
	s.changed = sync.NewCond(&s.mu)
	for i, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		instance := &Instance{
			service: s, id: options.Name + "-" + zone, zone: zone, listener: listener, slots: make(chan struct{}, options.Slots),
			lag: options.Lag, isPrimary: i == 0, term: 1, conns: make(map[net.Conn]struct{}), born: time.Now().UnixMilli(),
		}
		s.instances = append(s.instances, instance)
	}
	for _, instance := range s.instances {
		go instance.serve()
	}
	go s.replicate()
	return s, nil
}

// Instances returns the instances.
func (s *Service) Instances() []*Instance { return s.instances }

// Name returns the service's name.
func (s *Service) Name() string { return s.options.Name }

// ID returns the instance's id.
func (i *Instance) ID() string { return i.id }

// Runs returns what the instances ran, by the id of the statement.
func (s *Service) Runs() map[string]Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]Run, len(s.runs))
	for id, run := range s.runs {
		runs[id] = run
	}
	return runs
}

// Promotions returns the promotes that took effect.
func (s *Service) Promotions() []Promotion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Promotion(nil), s.promoted...)
}

// Entry returns the next liveness report.
func (i *Instance) Entry() map[string]any {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	role, state := "replica", "ready"
	if i.isPrimary {
		role = "primary"
	}
	if i.isDraining {
		state = "draining"
	}
	i.reports++
	return map[string]any{
		"service": i.service.options.Name, "address": i.listener.Addr().String(), "zone": i.zone, "version": "v1",
		"slots": i.service.options.Slots, "state": state, "cold_left_ms": 0, "db_role": role, "born": i.born, "seq": i.reports,
	}
}

// IsDark reports whether the instance sends nothing.
func (i *Instance) IsDark() bool {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	return i.isDark || i.isCut
}

// Crash ends the instance: its connections break, and it sends nothing more.
func (i *Instance) Crash() {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.isDark = true
	_ = i.listener.Close()
	for conn := range i.conns {
		_ = conn.Close()
	}
	i.service.changed.Broadcast()
}

// Drain makes the instance report that it is draining.
func (i *Instance) Drain() {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.isDraining = true
}

// SetDeaf makes a replica receive nothing from now on, or again.
func (i *Instance) SetDeaf(isDeaf bool) {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.isDeaf = isDeaf
}

// SetLag sets after which time the instance applies commits as a replica.
func (i *Instance) SetLag(lag time.Duration) {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.lag = lag
}

// SetGrey makes the instance fail a share of its requests, whatever they are. Its status
// queries stay good.
func (i *Instance) SetGrey(share float64) {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.grey = share
}

// Primary returns the instance that leads the newest term, nil if it has crashed.
func (s *Service) Primary() *Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary()
}

// primary returns the live primary of the newest term. The caller holds s.mu.
func (s *Service) primary() *Instance {
	for _, instance := range s.instances {
		if instance.isPrimary && !instance.isDark && instance.term == s.term {
			return instance
		}
	}
	return nil
}

// Promote makes an instance lead the next term after the promote time. It returns false
// when the instance does not run.
func (s *Service) Promote(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range s.instances {
		if instance.id != id {
			continue
		}
		if instance.isDark {
			return false
		}
		if !instance.isPrimary || instance.term < s.term {
			time.AfterFunc(s.options.PromoteTime, instance.lead)
		}
		return true
	}
	return false
}

// lead makes the instance lead the next term with what it has received.
func (i *Instance) lead() {
	s := i.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if i.isDark || i.isPrimary && i.term == s.term {
		return
	}
	s.term++
	i.isPrimary, i.term, i.applied = true, s.term, len(i.log)
	promotion := Promotion{At: time.Now(), Instance: i.id, IDs: make(map[string]bool)}
	for _, c := range i.log {
		promotion.IDs[c.id] = true
	}
	s.promoted = append(s.promoted, promotion)
	s.record.Line("instance %s leads term %d with %d commits", i.id, s.term, len(i.log))
	for _, other := range s.instances {
		if other != i && other.isPrimary && !other.isDark {
			time.AfterFunc(time.Second, other.follow)
		}
	}
	s.changed.Broadcast()
}

// SetCut partitions the instance from everything, or ends that.
func (i *Instance) SetCut(isCut bool) error {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	i.isCut = isCut
	if isCut {
		_ = i.listener.Close()
		for conn := range i.conns {
			_ = conn.Close()
		}
		return nil
	}
	listener, err := net.Listen("tcp", i.listener.Addr().String())
	if err != nil {
		return err
	}
	i.listener = listener
	go i.serve()
	if i.isPrimary && i.term < i.service.term {
		time.AfterFunc(time.Second, i.follow)
	}
	return nil
}

// follow makes an old primary a replica.
func (i *Instance) follow() {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	if !i.isCut && i.term < i.service.term && i.service.primary() != nil {
		i.service.record.Line("instance %s follows the new primary", i.id)
		i.isPrimary = false
	}
}

// replicate lets replicas receive and apply the log of the primary.
func (s *Service) replicate() {
	for {
		time.Sleep(replicationTick)
		s.mu.Lock()
		if s.isClosed {
			s.mu.Unlock()
			return
		}
		if primary := s.primary(); primary != nil {
			for _, instance := range s.instances {
				if instance != primary && !instance.isPrimary && !instance.isDark && !instance.isDeaf && !instance.isCut && !primary.isCut {
					instance.receive(primary)
				}
			}
			s.changed.Broadcast()
		}
		s.mu.Unlock()
	}
}

// receive takes over the part of the primary's log that has arrived. The caller holds the
// service's mutex.
func (i *Instance) receive(primary *Instance) {
	now := time.Now()
	shared := 0
	for shared < len(i.log) && shared < len(primary.log) && i.log[shared].id == primary.log[shared].id {
		shared++
	}
	i.log = i.log[:shared]
	for shared < len(primary.log) && now.Sub(primary.log[shared].at) >= i.lag/2 {
		i.log = append(i.log, primary.log[shared])
		shared++
	}
	i.term = primary.term
	i.applied = min(i.applied, len(i.log))
	for i.applied < len(i.log) && now.Sub(i.log[i.applied].at) >= i.lag {
		i.applied++
	}
}

// commit appends writes to the primary's log and waits until the required replicas have
// received them. It returns false when the instance crashes before that. The caller holds
// the service's mutex.
func (i *Instance) commit(id string, writes [][2]string) bool {
	for _, w := range writes {
		i.log = append(i.log, commit{term: i.term, number: uint64(len(i.log) + 1), id: id, item: w[0], data: w[1], at: time.Now()})
	}
	i.applied = len(i.log)
	last := len(i.log)
	for !i.isDark && i.receivers(last) < i.service.options.SyncReplicas {
		i.service.changed.Wait()
	}
	return !i.isDark
}

// receivers counts the other instances that have received the first commits of this one's
// log. The caller holds the service's mutex.
func (i *Instance) receivers(commits int) int {
	count := 0
	for _, other := range i.service.instances {
		if other != i && !other.isDark && len(other.log) >= commits && other.log[commits-1].id == i.log[commits-1].id {
			count++
		}
	}
	return count
}

// position returns the term and number of what the instance has applied. The caller holds
// the service's mutex.
func (i *Instance) position() (uint64, uint64) { return i.term, uint64(i.applied) }

// Close ends all instances.
func (s *Service) Close() {
	for _, instance := range s.instances {
		instance.Crash()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
}

// work returns the run time of one statement, spread around the mean.
func (s *Service) work() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(s.options.Work))
}
