package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// hotRate is the rate and the burst of the tenant whose clients send many times as much,
	// in hotSessions sessions.
	hotRate     = 60
	hotSessions = 240
	// hotPause separates two operations of a session.
	hotPause = 20 * time.Millisecond
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the rule.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// quotaWarmUp is how long the clients send before the disruption.
	quotaWarmUp = 12 * time.Second
)

// A runLog holds when each operation was sent by its client and when it began to run.
type runLog struct {
	mu        sync.Mutex
	sent, ran map[string]time.Time
}

func (l *runLog) noteSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = time.Now()
}

func (l *runLog) noteRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.ran[id]; !ok {
		l.ran[id] = time.Now()
	}
}

// most returns the most operations that were both sent and run in one window, and its end.
func (l *runLog) most() (int, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := make([]time.Time, 0, len(l.ran))
	for _, at := range l.ran {
		ends = append(ends, at)
	}
	slices.SortFunc(ends, time.Time.Compare)
	most, when := 0, time.Time{}
	for _, end := range ends {
		count := 0
		for id, at := range l.ran {
			if begin := end.Add(-quotaWindow); !at.After(end) && l.sent[id].After(begin) {
				count++
			}
		}
		if count > most {
			most, when = count, end
		}
	}
	return most, when
}

// playQuota plays a tenant that sends many times its limit, while all instances of its
// service are down for a while.
func playQuota(s *stage) (bool, error) {
	s.rate = hotRate
	g, err := s.openSync()
	if err != nil {
		return false, err
	}
	log := &runLog{sent: make(map[string]time.Time), ran: make(map[string]time.Time)}
	g.onRun = log.noteRun
	for n := range hotSessions {
		go s.press(n, primaryDatabase, log)
	}
	time.Sleep(quotaWarmUp)
	if s.hasTrouble {
		for _, i := range g.instances {
			g.crash(i)
		}
		time.Sleep(longOutage)
		for _, i := range g.instances {
			if err := g.restart(i); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(2 * aftermath)
	most, when := log.most()
	bound := int((hotRate*quotaWindow.Seconds()+hotRate)*(1+quotaOverage)) + quotaSlack
	s.record("judge: at most %d operations in a window, the one that ends at %.3f; the bound is %d", most, when.Sub(s.started).Seconds(), bound)
	return most <= bound, nil
}

// press writes in one session again and again until the stage closes.
func (s *stage) press(n int, database string, log *runLog) {
	address := s.daemons[n%len(s.daemons)].front
	for s.sleep(hotPause) {
		c, err := s.connect(address, database)
		if err != nil {
			continue
		}
		for s.sleep(hotPause) {
			number := lastID.Add(1)
			id := fmt.Sprintf("%016x", number)
			log.noteSent(id)
			a, err := c.queryAs(id, fmt.Sprintf("WRITE i%d d%d", number, number))
			if err != nil || !s.sleep(a.comeBack()) {
				break
			}
		}
		_ = c.conn.Close()
	}
}
