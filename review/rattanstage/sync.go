package main

import (
	"errors"
	"sync"
	"time"
)

const (
	// warmUp is how long clients write before the disruption, deafTime how long one replica
	// receives nothing before the other instances crash.
	warmUp   = 6 * time.Second
	deafTime = 2 * time.Second
	// longOutage is how long the failure domain is down whose instances' entries expire.
	longOutage = 7 * time.Second
	// shortOutage is how long the failure domain is down whose replica comes back first and
	// without its log, returnSpread how much later its primary comes back.
	shortOutage  = 2500 * time.Millisecond
	returnSpread = 1400 * time.Millisecond
	// aftermath is how long the play goes on after that.
	aftermath = 5 * time.Second
)

// A syncGroup is a service whose commits one replica has received before they are
// acknowledged: the primary and a replica in one failure domain, another replica elsewhere.
type syncGroup struct {
	*group
	primary, near, far *instance
}

// playSyncExpired plays the loss of the failure domain that holds the primary and the one
// replica with all acknowledged commits, for longer than their entries last, while the third
// instance is behind.
func playSyncExpired(s *stage) (bool, error) {
	return playSync(s, func(g syncGroup) error {
		time.Sleep(longOutage)
		if err := g.restart(g.primary); err != nil {
			return err
		}
		return g.restart(g.near)
	})
}

// playSyncRestarted plays the same for a short time, after which the replica comes back
// before the primary and holds nothing.
func playSyncRestarted(s *stage) (bool, error) {
	return playSync(s, func(g syncGroup) error {
		time.Sleep(shortOutage)
		if err := g.restartEmpty(g.near); err != nil {
			return err
		}
		time.Sleep(returnSpread)
		return g.restart(g.primary)
	})
}

// playSync plays writes to a syncGroup whose far replica receives nothing for a while and
// whose other instances crash then. Afterwards comeBack starts them again.
func playSync(s *stage, comeBack func(g syncGroup) error) (bool, error) {
	g, err := s.openSync()
	if err != nil {
		return false, err
	}
	writes := newLedger()
	for range 4 {
		go s.writeOn(primaryDatabase, writes, 20*time.Millisecond)
	}
	var mu sync.Mutex
	lost := 0
	g.onPromote = func(i *instance) {
		missing := writes.missing(i)
		s.record("judge: %s was promoted and lacks %d acknowledged writes: %v", i.id, len(missing), missing)
		mu.Lock()
		defer mu.Unlock()
		lost += len(missing)
	}
	time.Sleep(warmUp)
	if writes.count() == 0 {
		return false, errors.New("no write was acknowledged")
	}
	if s.hasTrouble {
		g.setDeaf(g.far, true)
		time.Sleep(deafTime)
		g.crash(g.primary)
		g.crash(g.near)
		g.setDeaf(g.far, false)
		err = comeBack(g)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(aftermath)
	mu.Lock()
	defer mu.Unlock()
	s.record("judge: %d writes acknowledged, %d of them were not in the log of an instance that was promoted", writes.count(), lost)
	return lost == 0, nil
}

// openSync starts the platform, a syncGroup and six daemons in three failure domains.
func (s *stage) openSync() (syncGroup, error) {
	g, err := s.open(1, "vl-a", "vl-a", "vl-b")
	if err != nil {
		return syncGroup{}, err
	}
	return syncGroup{group: g, primary: g.instances[0], near: g.instances[1], far: g.instances[2]}, nil
}
