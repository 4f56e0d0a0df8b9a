package rattanoperator

import (
	"context"
	"slices"
	"time"
)

// A confirmation records which live daemons have a revision in force.
type confirmation struct {
	// count is the number of live daemons that have the revision in force, daemons
	// that of all live daemons.
	count   uint32
	daemons uint32
	// missing holds the VMs of the live daemons without the revision, sorted.
	missing []string
	// domains holds each failure domain with a live daemon; it is true if all live
	// daemons there have the revision in force.
	domains map[string]bool
}

// confirmation returns which live daemons have this revision of the team's
// document, or a later one, in force now.
func (s *Service) confirmation(team string, revision uint64) confirmation {
	result := confirmation{domains: make(map[string]bool)}
	for _, daemon := range s.fleet.Daemons() {
		if !daemon.Live {
			continue
		}
		result.daemons++
		ok := s.fleet.InForce(daemon.VM, team, revision)
		if all, seen := result.domains[daemon.FailureDomain]; !seen || all {
			result.domains[daemon.FailureDomain] = ok
		}
		if ok {
			result.count++
			continue
		}
		result.missing = append(result.missing, daemon.VM)
	}
	slices.Sort(result.missing)
	return result
}

// isMajority reports whether a majority of the configured failure domains have
// confirmed the revision. A failure domain has confirmed when it has live daemons
// and all of them have the revision in force. One daemon is not enough, because an
// isolated daemon relies on an exchange with any one daemon of a failure domain
// for the withdrawals.
func (s *Service) isMajority(confirmed confirmation) bool {
	domains := s.settings.Snapshot().FailureDomains()
	count := 0
	for _, domain := range domains {
		if confirmed.domains[domain.Name()] {
			count++
		}
	}
	return count > len(domains)/2
}

// awaitAll waits until all live daemons have the revision in force, at most for
// confirmWait, and returns the last confirmation.
func (s *Service) awaitAll(ctx context.Context, team string, revision uint64) confirmation {
	var confirmed confirmation
	s.poll(ctx, s.confirmWait, func() bool {
		confirmed = s.confirmation(team, revision)
		return confirmed.daemons > 0 && len(confirmed.missing) == 0
	})
	return confirmed
}

// poll calls done at once and then every pollInterval until it returns true, the
// wait (at most maxWait) is over or ctx ends.
func (s *Service) poll(ctx context.Context, wait time.Duration, done func() bool) {
	end := s.clock.Now().Add(min(wait, maxWait))
	for !done() && s.clock.Now().Before(end) {
		select {
		case <-s.clock.After(pollInterval):
		case <-ctx.Done():
			return
		}
	}
}
