package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// networkDelay is the way of a commit to a replica, applyDelay the time after which the
	// replica has applied it.
	networkDelay = 1 * time.Millisecond
	applyDelay   = 20 * time.Millisecond
	// promoteDelay is how long after the call a promote takes effect.
	promoteDelay = 300 * time.Millisecond
	// followDelay is how long an old primary goes on once it can reach the new one.
	followDelay = 1 * time.Second
	// heartbeat separates two entries of an instance in the store. Its entry is removed after
	// missedHeartbeats of silence.
	heartbeat        = 1200 * time.Millisecond
	missedHeartbeats = 3
)

// A commit is one write in the log of an instance.
type commit struct {
	term, number uint64
	item, data   string
	appliedAt    time.Time
}

// A group is one service: a primary and its replicas.
type group struct {
	name  string
	stage *stage
	// syncReplicas is how many replicas receive a commit before it is acknowledged.
	syncReplicas int

	mu        sync.Mutex
	instances []*instance
	term      uint64
	primary   *instance
	// onPromote is called, with the mutex held, when a promote takes effect.
	onPromote func(i *instance)
	// onRun is called when an instance begins to run a statement of a client.
	onRun func(id string)
	// onRead is called, with the mutex held, when a client's read runs on the log of an
	// instance.
	onRead func(id string, applied []commit)
}

// An instance is one database instance. Its fields are guarded by the group's mutex.
type instance struct {
	group   *group
	id      string
	zone    string
	address string

	listener net.Listener
	conns    map[net.Conn]struct{}
	log      []commit
	// term is the one that the instance leads or follows.
	term uint64
	// leads is true while the instance takes itself for the primary.
	leads bool
	// isDown is true while it has crashed, isDeaf while it receives nothing, isUnlisted while
	// it cannot reach the store.
	isDown, isDeaf, isUnlisted bool
	born                       int64
	seq                        int
	heardAt                    time.Time
	lastMAC                    int
}

func newGroup(s *stage, name string, syncReplicas int) *group {
	return &group{name: name, stage: s, syncReplicas: syncReplicas, term: 3}
}

// add starts an instance. The first one is the primary.
func (g *group) add(id, zone string) (*instance, error) {
	listener, err := net.Listen("tcp", g.stage.host+":0")
	if err != nil {
		return nil, err
	}
	i := &instance{
		group: g, id: id, zone: zone, address: listener.Addr().String(), listener: listener,
		conns: make(map[net.Conn]struct{}), term: g.term, born: time.Now().UnixMilli(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = append(g.instances, i)
	if g.primary == nil {
		g.primary, i.leads = i, true
	}
	go i.serve(listener)
	return i, nil
}

// crash ends an instance's process: its connections are reset, and it keeps its log.
func (g *group) crash(i *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stage.record("%s crashes, its log ends at %s", i.id, i.receivedText())
	i.isDown = true
	_ = i.listener.Close()
	for conn := range i.conns {
		_ = conn.Close()
	}
}

// restartEmpty starts a crashed replica again, which holds and knows nothing of before.
func (g *group) restartEmpty(i *instance) error {
	g.mu.Lock()
	i.log, i.term, i.born, i.seq = nil, 0, time.Now().UnixMilli(), 0
	g.mu.Unlock()
	return g.restart(i)
}

// restart starts a crashed instance again with its log, as a replica if another instance
// was promoted.
func (g *group) restart(i *instance) error {
	listener, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	i.listener, i.isDown, i.leads = listener, false, g.primary == i
	g.stage.record("%s is back, its log ends at %s", i.id, i.receivedText())
	go i.serve(listener)
	return nil
}

// setDeaf makes a replica receive nothing, or ends that.
func (g *group) setDeaf(i *instance, isDeaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i.isDeaf = isDeaf
	g.stage.record("%s receives nothing: %t", i.id, isDeaf)
}

// replicate carries the log of the primary to the replicas until the stage closes.
func (g *group) replicate() {
	for g.stage.sleep(networkDelay) {
		g.mu.Lock()
		for _, i := range g.instances {
			if i != g.primary && !i.isDown && !i.isDeaf && !g.primary.isDown && !i.leads {
				i.follow(g.primary)
			}
		}
		g.mu.Unlock()
	}
}

// follow receives what the primary's log has and this one lacks, and drops what the
// primary's lacks.
func (i *instance) follow(primary *instance) {
	same := 0
	if i.term != primary.term {
		for same < len(i.log) && same < len(primary.log) && i.log[same].number == primary.log[same].number && i.log[same].term == primary.log[same].term {
			same++
		}
		// What reads have seen of the log stays as it was.
		i.log, i.term = slices.Clone(i.log[:same]), primary.term
	}
	for _, c := range primary.log[len(i.log):] {
		c.appliedAt = time.Now().Add(applyDelay)
		i.log = append(i.log, c)
	}
}

// promote carries out the platform's call. It returns false when the instance does not run.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.id != id {
			continue
		}
		g.stage.record("platform: promote %s, running %t, primary %t", id, !i.isDown, i.leads && g.primary == i)
		if i.isDown {
			return false
		}
		if !i.leads || g.primary != i {
			time.AfterFunc(promoteDelay, func() { g.lead(i) })
		}
		return true
	}
	return false
}

// lead makes an instance lead the next term with what it has received.
func (g *group) lead(i *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == i && i.leads || i.isDown {
		return
	}
	old := g.primary
	g.term++
	g.primary, i.leads, i.term = i, true, g.term
	g.stage.record("%s leads term %d, its log ends at %s", i.id, g.term, i.receivedText())
	if g.onPromote != nil {
		g.onPromote(i)
	}
	time.AfterFunc(followDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.primary != old {
			old.leads = false
		}
	})
	i.publish()
}

// write commits at an instance. It returns false when the instance lost the lead, and waits
// until enough replicas have received the commit.
func (i *instance) write(writes [][2]string) bool {
	g := i.group
	g.mu.Lock()
	if !i.leads || i.isDown {
		g.mu.Unlock()
		return false
	}
	for _, w := range writes {
		i.log = append(i.log, commit{term: i.term, number: uint64(len(i.log)) + 1, item: w[0], data: w[1]})
	}
	number := len(i.log)
	g.mu.Unlock()
	return i.awaitReceived(number)
}

// awaitReceived waits until enough replicas have a log of a length. It returns false when
// the instance crashes meanwhile.
func (i *instance) awaitReceived(number int) bool {
	g := i.group
	for g.stage.sleep(networkDelay) {
		g.mu.Lock()
		received := 0
		for _, other := range g.instances {
			if other != i && !other.isDown && other.term == i.term && len(other.log) >= number {
				received++
			}
		}
		isDown := i.isDown
		g.mu.Unlock()
		if isDown {
			return false
		}
		if received >= g.syncReplicas {
			return true
		}
	}
	return false
}

// applied returns what the instance has applied of its log. The caller holds the mutex.
func (i *instance) applied() []commit {
	if i.leads {
		return i.log
	}
	now, n := time.Now(), len(i.log)
	for n > 0 && i.log[n-1].appliedAt.After(now) {
		n--
	}
	return i.log[:n]
}

func (i *instance) receivedText() string { return i.positionText(len(i.log)) }
func (i *instance) appliedText() string  { return i.positionText(len(i.applied())) }

func (i *instance) positionText(number int) string {
	if number == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", i.term, number)
}

// holds reports whether the log of the instance has data. The caller holds the mutex.
func (i *instance) holds(data string) bool {
	for _, c := range i.log {
		if c.data == data {
			return true
		}
	}
	return false
}

// beat keeps the instances' entries in the store until the stage closes.
func (g *group) beat() {
	for n := 0; ; n++ {
		g.mu.Lock()
		for at, i := range g.instances {
			isDue := time.Since(i.heardAt) >= heartbeat+time.Duration(at)*7*time.Millisecond
			switch {
			case !i.isDown && !i.isUnlisted && isDue:
				i.publish()
			case time.Since(i.heardAt) >= missedHeartbeats*heartbeat && !i.heardAt.IsZero():
				g.stage.unlist(i)
			}
		}
		g.mu.Unlock()
		if !g.stage.sleep(20 * time.Millisecond) {
			return
		}
	}
}

// publish writes the entry of an instance. The caller holds the mutex.
func (i *instance) publish() {
	i.heardAt = time.Now()
	i.seq++
	role := "replica"
	if i.leads {
		role = "primary"
	}
	i.group.stage.put("servers/"+i.id, map[string]any{
		"service": i.group.name, "address": i.address, "zone": i.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "db_role": role, "born": i.born, "seq": i.seq,
	})
}
