package main

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

const (
	// deafBefore is how long before the cut a replica stops to receive.
	deafBefore = 500 * time.Millisecond
	// deafTime is how long it receives nothing.
	deafTime = 6500 * time.Millisecond
	// oldPrimaryCut is how long the primary is cut off.
	oldPrimaryCut = 4400 * time.Millisecond
	// crashAfterCut is how long after the end of the cut the new primary crashes.
	crashAfterCut = 200 * time.Millisecond
)

// runOldPrimary cuts off the zone of a primary while a replica receives nothing, so that the
// other replica is promoted. That one crashes just after the cut, before the old primary
// steps down. Rule ONE: no write is committed at the old primary and acknowledged after the
// promote has taken effect. TROUBLE=0 leaves out the crash.
func runOldPrimary(record *rattanrig.Record, isTroubled bool) (bool, error) {
	s, err := newSite(record, []rattanrig.ServiceOptions{serviceOptions("s1")}, []string{"b", "b", "b", "c", "c", "c"})
	if err != nil {
		return false, err
	}
	defer s.close()
	service := s.services[0]
	primary, deaf := service.Primary(), service.Instances()[2]
	writers := newWriters(s, service.Name()+"-primary", drillWriters)
	time.Sleep(time.Second)
	deaf.SetDeaf(true)
	time.AfterFunc(deafTime, func() { deaf.SetDeaf(false) })
	time.Sleep(deafBefore)
	record.Say("%s receives nothing; the zone of %s is cut off", deaf.ID(), primary.ID())
	cutAt := time.Now()
	if err := primary.SetCut(true); err != nil {
		return false, err
	}
	promoted, err := awaitPromotion(service)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(cutAt.Add(oldPrimaryCut)))
	if err := primary.SetCut(false); err != nil {
		return false, err
	}
	healed := time.Now()
	if err := s.platform.Report(); err != nil {
		return false, err
	}
	record.Say("the cut of %s ends", primary.ID())
	time.Sleep(crashAfterCut)
	if isTroubled {
		next := service.Primary()
		if next == nil {
			return false, errors.New("the new primary is gone")
		}
		record.Say("%s crashes", next.ID())
		next.Crash()
	}
	time.Sleep(watched)
	return writesAtOldPrimary(s, service, writers.stop(), promoted, healed), nil
}
