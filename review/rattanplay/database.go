package main

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

const (
	// serviceName is the service that the configuration of platformtest has.
	serviceName = "orders"
	// promoteDelay is how long after the platform's call a promoted instance leads.
	promoteDelay = 300 * time.Millisecond
	// followDelay is how long a deposed primary goes on after it can reach the new one.
	followDelay = time.Second
	// workTime is how long an instance works on a read, write or commit.
	workTime = 4 * time.Millisecond
)

// A commit is one write in the log of an instance.
type commit struct {
	term, number uint64
	item, data   string
	// receivedAt is when the instance received it.
	receivedAt time.Time
}

// A database is a service with one primary and its replicas. It is safe for concurrent use.
type database struct {
	record *recorder
	// lag is how long after its receipt a replica applies a commit.
	lag time.Duration
	// publish writes the entry of an instance to the store.
	publish func(i *instance)

	mu        sync.Mutex
	instances []*instance
	// newestTerm is the term of the last promote, leader the instance that leads it.
	newestTerm uint64
	leader     *instance
	signatures int
}

// An instance is one process of a database. Its fields are guarded by the database's mutex.
type instance struct {
	database *database
	id, zone string
	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
	isDown   bool
	born     int64
	reports  int64
	isLead   bool
	term     uint64
	log      []commit
}

func newDatabase(record *recorder, lag time.Duration) *database {
	return &database{record: record, lag: lag, newestTerm: 1, publish: func(*instance) {}}
}

// add starts an instance on a loopback address. The first one is the primary.
func (d *database) add(id, zone string) (*instance, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	i := &instance{
		database: d, id: id, zone: zone, address: listener.Addr().String(), listener: listener,
		conns: make(map[net.Conn]struct{}), born: time.Now().UnixMilli(), term: 1,
	}
	d.instances = append(d.instances, i)
	if d.leader == nil {
		d.leader, i.isLead = i, true
	}
	go i.serve(listener)
	return i, nil
}

// entry returns the next entry that the instance writes to the store.
func (i *instance) entry() map[string]any {
	i.database.mu.Lock()
	defer i.database.mu.Unlock()
	i.reports++
	role := "replica"
	if i.isLead {
		role = "primary"
	}
	return map[string]any{
		"service": serviceName, "address": i.address, "zone": i.zone, "version": "v1", "slots": 3,
		"state": "ready", "cold_left_ms": 0, "db_role": role, "born": i.born, "seq": i.reports,
	}
}

// crash stops the instance and resets its connections.
func (i *instance) crash() {
	d := i.database
	d.mu.Lock()
	defer d.mu.Unlock()
	i.isDown = true
	_ = i.listener.Close()
	for conn := range i.conns {
		_ = conn.Close()
	}
	d.record.add("instance_crash", i.id)
}

// restart starts a crashed instance again. With its log it is the primary unless another
// instance was promoted; without, it knows nothing of before and leads nothing.
func (i *instance) restart(keepsLog bool) error {
	d := i.database
	listener, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	i.listener, i.isDown, i.born, i.reports = listener, false, time.Now().UnixMilli(), 0
	i.isLead = keepsLog && d.leader == i
	if !keepsLog {
		i.log, i.term = nil, 0
		if d.leader == i {
			d.leader = nil
		}
	}
	if d.leader != nil && d.leader != i {
		i.follow(d.leader)
	}
	go i.serve(listener)
	d.record.add("instance_start", i.id, "log", strconv.Itoa(len(i.log)), "leads", strconv.FormatBool(i.isLead))
	d.mu.Unlock()
	d.publish(i)
	return nil
}

// isRunning reports whether an instance runs. The platform promotes only those.
func (d *database) isRunning(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.find(id)
	return i != nil && !i.isDown
}

func (d *database) find(id string) *instance {
	for _, i := range d.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// promote makes a running instance lead the next term after promoteDelay, unless it leads
// already.
func (d *database) promote(id string) {
	time.AfterFunc(promoteDelay, func() {
		d.mu.Lock()
		i := d.find(id)
		if i.isDown || d.leader == i {
			d.mu.Unlock()
			return
		}
		old := d.leader
		d.newestTerm++
		d.leader, i.isLead, i.term = i, true, d.newestTerm
		for _, other := range d.instances {
			if other != i && other != old && !other.isDown {
				other.follow(i)
			}
		}
		d.record.add("promoted", id, "term", strconv.FormatUint(i.term, 10), "log", strconv.Itoa(len(i.log)))
		d.mu.Unlock()
		if old != nil {
			time.AfterFunc(followDelay, func() { old.stepDown(i.term) })
		}
		for _, each := range d.instances {
			d.publish(each)
		}
	})
}

// follow makes a replica take over the log of a primary. The caller holds the database's
// mutex.
func (i *instance) follow(primary *instance) {
	i.isLead, i.term = false, primary.term
	i.log = append([]commit(nil), primary.log...)
}

// stepDown makes a primary of a lower term a replica.
func (i *instance) stepDown(term uint64) {
	d := i.database
	d.mu.Lock()
	wasLead := i.isLead && i.term < term && !i.isDown
	if wasLead {
		i.isLead = false
		if d.leader == i {
			d.leader = nil
		}
		if d.leader != nil {
			i.follow(d.leader)
		}
		d.record.add("stepped_down", i.id, "term", strconv.FormatUint(term, 10))
	}
	d.mu.Unlock()
	if wasLead {
		d.publish(i)
	}
}

// write appends a commit and sends it to the replicas of the same term. The caller holds the
// database's mutex.
func (i *instance) write(item, data string) {
	next := commit{term: i.term, number: uint64(len(i.log)) + 1, item: item, data: data, receivedAt: time.Now()}
	i.log = append(i.log, next)
	for _, other := range i.database.instances {
		if other != i && !other.isDown && !other.isLead && other.term == i.term {
			other.log = append(other.log, next)
		}
	}
}

// applied returns the commits that the instance has applied. The caller holds the database's
// mutex.
func (i *instance) applied() []commit {
	if i.isLead {
		return i.log
	}
	n := 0
	for n < len(i.log) && time.Since(i.log[n].receivedAt) >= i.database.lag {
		n++
	}
	return i.log[:n]
}

// value returns the data of an item, empty if there is none. The caller holds the database's
// mutex.
func (i *instance) value(item string) string {
	value := ""
	for _, c := range i.applied() {
		if c.item == item {
			value = c.data
		}
	}
	return value
}

// position returns the position of a log as the protocol writes it. The caller holds the
// database's mutex.
func (i *instance) position(log []commit) string {
	if i.term == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", i.term, len(log))
}

// sign returns a signature that no other answer has. The caller holds the database's mutex.
func (d *database) sign(id string) string {
	d.signatures++
	return fmt.Sprintf("%s.%x.%s", id, d.signatures, strconv.FormatInt(time.Now().UnixNano(), 36))
}
