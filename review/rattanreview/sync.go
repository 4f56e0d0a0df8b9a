package main

import (
	"os"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

const (
	// syncWriters is the number of sessions that write, one statement after the other.
	syncWriters = 12
	// drainBefore is how long before the primary's crash a replica begins to drain. It
	// runs for seven seconds more.
	drainBefore = 2 * time.Second
	// nearLag and farLag are the lags of the two replicas.
	nearLag = 20 * time.Millisecond
	farLag  = 60 * time.Millisecond
)

// runSync crashes the primary of a service with one synchronous replica while the replica
// that is ahead drains. Rule LOST: each acknowledged commit is in the log of the instance
// that is promoted. TROUBLE=crash leaves out the draining only.
func runSync(record *rattanrig.Record, isTroubled bool) (bool, error) {
	options := serviceOptions("s1")
	options.SyncReplicas = 1
	options.Work = 8 * time.Millisecond
	s, err := newSite(record, []rattanrig.ServiceOptions{options, serviceOptions("s2"), serviceOptions("s3")}, []string{"a", "a", "b", "b", "c", "c"})
	if err != nil {
		return false, err
	}
	defer s.close()
	service := s.services[0]
	primary, near, far := service.Instances()[0], service.Instances()[1], service.Instances()[2]
	near.SetLag(nearLag)
	far.SetLag(farLag)
	var writers sync.WaitGroup
	var mu sync.Mutex
	var answers []rattanrig.Answer
	end := time.Now().Add(10 * time.Second)
	for i := range syncWriters {
		writers.Go(func() {
			seen := writeUntil(s.fleet.Daemons()[i%len(s.fleet.Daemons())], service.Name()+"-primary", record, end)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, seen...)
		})
	}
	time.Sleep(time.Second)
	if isTroubled && os.Getenv("TROUBLE") != "crash" {
		record.Say("%s drains", near.ID())
		near.Drain()
		if err := s.platform.Report(); err != nil {
			return false, err
		}
	}
	time.Sleep(drainBefore)
	if isTroubled {
		record.Say("%s crashes", primary.ID())
		primary.Crash()
	}
	writers.Wait()
	return lostCommits(s, service, answers), nil
}

// writeUntil writes one statement after the other, each with data of its own.
func writeUntil(d *rattanrig.Daemon, database string, record *rattanrig.Record, end time.Time) []rattanrig.Answer {
	var answers []rattanrig.Answer
	for time.Now().Before(end) {
		session, err := rattanrig.Connect(d, database, record)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for time.Now().Before(end) {
			answer := session.Query("WRITE order "+rattanrig.NewID(), 2*time.Second)
			answers = append(answers, answer)
			if answer.Err != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		session.Close()
	}
	return answers
}

// lostCommits reports whether an acknowledged commit is missing in the log of an instance
// that was promoted after it.
func lostCommits(s *site, service *rattanrig.Service, answers []rattanrig.Answer) bool {
	runs := service.Runs()
	lost, acknowledged := 0, 0
	for _, a := range answers {
		if !a.IsOK() {
			continue
		}
		acknowledged++
		for _, promotion := range service.Promotions() {
			if runs[a.ID].At.Before(promotion.At) && !promotion.IDs[a.ID] {
				lost++
				s.record.Say("lost: %s (%s) ran at %s and was acknowledged with %s %.0f ms before %s was promoted, whose log lacks it",
					a.ID, a.Text, runs[a.ID].Instance, a.MAC, promotion.At.Sub(a.Over).Seconds()*1000, promotion.Instance)
			}
		}
	}
	for _, promotion := range service.Promotions() {
		s.record.Say("promoted: %s with %d commits", promotion.Instance, len(promotion.IDs))
	}
	s.record.Say("%d writes acknowledged, %d of them lost", acknowledged, lost)
	return lost > 0
}
