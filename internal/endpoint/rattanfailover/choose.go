package rattanfailover

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// nextTerm returns a term above everything seen.
func nextTerm(known uint64, surveyed []answer) uint64 {
	for _, a := range surveyed {
		known = max(known, a.status.GetTerm(), a.status.GetPromisedTerm())
	}
	return known + 1
}

// choose returns the fenced endpoint with the highest position: only that one
// is certain to hold every acknowledged write. Among equals the target comes
// first, then endpoints that are not drained, then the order of the group.
func choose(view rattanmodel.GroupView, fenced []answer, target string) string {
	var best string
	var bestPosition rattanmodel.Position
	preference := func(name string) int {
		endpoint, _ := view.Endpoint(name)
		switch {
		case name == target:
			return 2
		case !endpoint.Drained:
			return 1
		}
		return 0
	}
	for _, endpoint := range view.Endpoints {
		at := slices.IndexFunc(fenced, func(a answer) bool { return a.endpoint == endpoint.Name })
		if at < 0 {
			continue
		}
		order := fenced[at].position().Compare(bestPosition)
		if best == "" || order > 0 || order == 0 && preference(endpoint.Name) > preference(best) {
			best, bestPosition = endpoint.Name, fenced[at].position()
		}
	}
	return best
}

// withoutFailed leaves the failed primary out when the others are a majority by
// themselves: they hold every acknowledged write, and a primary that lost its
// replicas would hold more entries but lose them again.
func withoutFailed(view rattanmodel.GroupView, fenced []answer) []answer {
	others := slices.DeleteFunc(slices.Clone(fenced), func(a answer) bool { return a.endpoint == view.Primary })
	if len(others) < view.Majority() {
		return fenced
	}
	return others
}

// catchUp waits until the target holds what the primary holds, as long as a
// primary answers. Without one there is nothing to wait for: the fence decides.
func (c *Coordinator) catchUp(ctx context.Context, surveyed []answer, target string) error {
	at := slices.IndexFunc(surveyed, answer.primary)
	if at < 0 || surveyed[at].endpoint == target {
		return nil
	}
	primary, wanted := surveyed[at].endpoint, surveyed[at].position()
	term := surveyed[at].status.GetTerm()
	ctx, cancel := withTimeout(ctx, c.clock, catchUpTime)
	defer cancel()
	for {
		if _, err := c.endpoints(target).WaitPosition(ctx, rattanmodel.Position{Term: term, Index: wanted.Index}, catchUpTime); err != nil {
			return errors.Wrapf(ErrTargetBehind, "%s, position %s: %s", target, wanted, err)
		}
		status, err := c.endpoints(primary).Status(ctx)
		if err != nil {
			return errors.Wrapf(ErrTargetBehind, "primary %s: %s", primary, err)
		}
		now := rattanmodel.PositionFromWire(status.GetPosition())
		if now.Compare(wanted) <= 0 {
			return nil
		}
		wanted = now
	}
}

func endpointNames(answers []answer) []string {
	names := make([]string, 0, len(answers))
	for _, a := range answers {
		names = append(names, a.endpoint)
	}
	return names
}
