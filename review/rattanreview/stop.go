package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

const (
	// grace is grace_s of the deployment, and routeTimeout the timeout of its lookups.
	grace        = 6 * time.Second
	routeTimeout = 2 * time.Second
	// excusedUntil is until when after the SIGTERM a request may have been sent that the
	// rule excuses because its instance is still at work at the end.
	excusedUntil = 3 * time.Second
	// stopClients is the number of sessions, pauseInTransaction the pause between two
	// statements of a transaction, and statementsInTransaction their number.
	stopClients             = 60
	pauseInTransaction      = 600 * time.Millisecond
	statementsInTransaction = 12
	// lookupWork is the mean run time of a statement of the lookups.
	lookupWork = 40 * time.Millisecond
	// warmUp is how long the clients run before the SIGTERM.
	warmUp = 1200 * time.Millisecond
	// stopTimeout is how long a client waits for an answer, its deadline.
	stopTimeout = 2 * time.Second
)

// runStop stops a daemon by SIGTERM while its clients run transactions of twelve statements
// with pauses. Rule LOST: no statement that was passed on to an instance stays without an
// answer.
func runStop(record *rattanrig.Record, isTroubled bool) (bool, error) {
	var services []rattanrig.ServiceOptions
	for _, name := range []string{"s1", "s2", "s3"} {
		options := serviceOptions(name)
		options.Work = lookupWork
		services = append(services, options)
	}
	s, err := newSite(record, services, []string{"a", "a", "b", "b", "c"})
	if err != nil {
		return false, err
	}
	defer s.close()
	daemon := s.fleet.Daemons()[4]
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []rattanrig.Answer
	end := time.Now().Add(warmUp + grace + time.Second)
	for i := range stopClients {
		clients.Go(func() {
			database := s.services[i%len(s.services)].Name() + "-bounded_staleness"
			// The clients are at different times between two statements.
			time.Sleep(time.Duration(i) * (pauseInTransaction + lookupWork) / stopClients)
			for time.Now().Before(end) {
				seen := runTransactions(daemon, database, record, end)
				mu.Lock()
				answers = append(answers, seen...)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				if !daemon.IsReady() {
					// The load balancer sends new sessions to other daemons.
					return
				}
			}
		})
	}
	time.Sleep(warmUp)
	stopped := time.Now()
	if isTroubled {
		if err := daemon.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	clients.Wait()
	return lostAnswers(s, answers, stopped), nil
}

// runTransactions runs transactions on one session until it ends.
func runTransactions(d *rattanrig.Daemon, database string, record *rattanrig.Record, end time.Time) []rattanrig.Answer {
	session, err := rattanrig.Connect(d, database, record)
	if err != nil {
		record.Line("no session at %s: %v", d.Name, err)
		return nil
	}
	defer session.Close()
	var answers []rattanrig.Answer
	for time.Now().Before(end) {
		for n := range statementsInTransaction {
			text := fmt.Sprintf("READ i%d", n)
			switch n {
			case 0:
				text = "BEGIN READ"
			case statementsInTransaction - 1:
				text = "COMMIT"
			}
			answer := session.Query(text, stopTimeout)
			answers = append(answers, answer)
			if !answer.IsOK() {
				return answers
			}
			time.Sleep(pauseInTransaction)
		}
	}
	return answers
}

// lostAnswers reports whether a statement that the rule counts has no complete answer.
func lostAnswers(s *site, answers []rattanrig.Answer, stopped time.Time) bool {
	ran := make(map[string]rattanrig.Run)
	for _, service := range s.services {
		for id, run := range service.Runs() {
			ran[id] = run
		}
	}
	lost, answered := 0, 0
	for _, a := range answers {
		run, isPassedOn := ran[a.ID]
		after := a.Sent.Sub(stopped)
		switch {
		case a.Err == nil:
			answered++
		case after > excusedUntil && after < grace+time.Second && isPassedOn && run.Arrived.Before(a.Over) && a.Over.Sub(a.Sent) < routeTimeout:
			lost++
			s.record.Say("lost: %s (%s), sent %.3f s after the SIGTERM, read by %s %.1f ms later, its connection ended %.1f ms after it was sent: %v",
				a.ID, a.Text, after.Seconds(), run.Instance, run.Arrived.Sub(a.Sent).Seconds()*1000, a.Over.Sub(a.Sent).Seconds()*1000, a.Err)
		}
	}
	s.record.Say("%d statements answered, %d lost", answered, lost)
	return lost > 0
}
