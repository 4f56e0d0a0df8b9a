package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// partition is how long the primary is partitioned from its replicas before it crashes.
	partition = time.Second
	// crashTime is how long crashed instances are down.
	crashTime = 7 * time.Second
	// crashLead is how long before the first primary comes back the others crash.
	crashLead = 100 * time.Millisecond
)

// A readLog holds when each read was sent by its client and the log on which it ran.
type readLog struct {
	mu   sync.Mutex
	sent map[string]time.Time
	logs map[string][]commit
}

func (l *readLog) noteSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = time.Now()
}

func (l *readLog) noteRead(id string, applied []commit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logs[id] = applied
}

// stale returns the reads on a primary route that lacked a write which was acknowledged
// before they were sent, and which the log at the end has.
func (l *readLog) stale(writes *ledger, end []commit) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	writes.mu.Lock()
	defer writes.mu.Unlock()
	var stale []string
	for id, log := range l.logs {
		seen := make(map[string]bool, len(log))
		for _, c := range log {
			seen[c.data] = true
		}
		if slices.ContainsFunc(end, func(c commit) bool {
			at, ok := writes.acknowledged[c.data]
			return ok && at.Before(l.sent[id]) && !seen[c.data]
		}) {
			stale = append(stale, id)
		}
	}
	slices.Sort(stale)
	return stale
}

// playForgotten plays a primary that crashes with writes which its replicas have not
// received. Another instance leads the next term without them. As the first one comes back,
// the two others crash.
func playForgotten(s *stage) (bool, error) {
	g, err := s.open(0, "vl-a", "vl-b", "vl-c")
	if err != nil {
		return false, err
	}
	writes := newLedger()
	reads := &readLog{sent: make(map[string]time.Time), logs: make(map[string][]commit)}
	g.onRead = reads.noteRead
	for range 4 {
		go s.writeOn(primaryDatabase, writes, 20*time.Millisecond)
		go s.readOn(primaryDatabase, reads, 20*time.Millisecond)
	}
	time.Sleep(warmUp)
	if writes.count() == 0 {
		return false, errors.New("no write was acknowledged")
	}
	if s.hasTrouble {
		if err := g.loseTerm(); err != nil {
			return false, err
		}
	}
	time.Sleep(aftermath)
	g.mu.Lock()
	defer g.mu.Unlock()
	stale := reads.stale(writes, g.primary.log)
	s.record("judge: %d reads, %d of them lacked an acknowledged write that %s has at the end: %v", len(reads.logs), len(stale), g.primary.id, stale[:min(len(stale), 20)])
	return len(stale) == 0, nil
}

// loseTerm carries out the disruption of playForgotten.
func (g *group) loseTerm() error {
	first, others := g.instances[0], g.instances[1:]
	for _, i := range others {
		g.setDeaf(i, true)
	}
	time.Sleep(partition)
	g.crash(first)
	for _, i := range others {
		g.setDeaf(i, false)
	}
	time.Sleep(crashTime - crashLead)
	for _, i := range others {
		g.crash(i)
	}
	time.Sleep(crashLead)
	if err := g.restart(first); err != nil {
		return err
	}
	time.Sleep(crashTime - crashLead)
	for _, i := range others {
		if err := g.restart(i); err != nil {
			return err
		}
	}
	return nil
}

// readOn reads on a database again and again, in sessions at one daemon after the other,
// until the stage closes.
func (s *stage) readOn(database string, log *readLog, pause time.Duration) {
	for n := 0; s.sleep(pause); n++ {
		c, err := s.connect(s.daemons[n%len(s.daemons)].front, database)
		if err != nil {
			continue
		}
		for s.sleep(pause) {
			id := fmt.Sprintf("%016x", lastID.Add(1))
			log.noteSent(id)
			if _, err := c.queryAs(id, "READ i1"); err != nil {
				break
			}
		}
		_ = c.conn.Close()
	}
}
