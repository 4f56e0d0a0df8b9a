package rattanoperator

import (
	"context"
	"slices"
	"time"
)

// A confirmation tells which live daemons have a revision in force.
type confirmation struct {
	count   uint32
	daemons uint32
	// missing has the names of the other VMs, sorted.
	missing []string
	// domains has the failure domains all of whose live daemons have confirmed.
	domains map[string]bool
}

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

// isMajority reports whether the live daemons of a majority of the configured
// failure domains have confirmed. A failure domain without a live daemon has
// not. All of its live daemons have to, because an isolated daemon trusts any
// one daemon of a failure domain to know the withdrawals.
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

// awaitAll waits until all live daemons have the revision in force, for at most
// the confirm wait.
func (s *Service) awaitAll(ctx context.Context, team string, revision uint64) confirmation {
	var confirmed confirmation
	s.poll(ctx, s.confirmWait, func() bool {
		confirmed = s.confirmation(team, revision)
		return confirmed.daemons > 0 && len(confirmed.missing) == 0
	})
	return confirmed
}

// poll runs done at once and then regularly until it returns true, the wait is
// over or ctx ends.
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
