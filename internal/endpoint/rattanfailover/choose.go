package rattanfailover

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// nextTerm returns a term above the known one and above every term that the
// responses report as started or promised.
func nextTerm(known uint64, statuses []response) uint64 {
	for _, r := range statuses {
		known = max(known, r.status.GetTerm(), r.status.GetPromisedTerm())
	}
	return known + 1
}

// choose returns the fenced endpoint with the highest position: only that one
// is certain to hold every acknowledged write. At equal positions it prefers the
// target, then endpoints that are not drained, then the order of the group.
func choose(view rattanmodel.GroupView, fenced []response, target string) string {
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
		at := slices.IndexFunc(fenced, func(r response) bool { return r.endpoint == endpoint.Name })
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

// withoutFailedPrimary leaves the failed primary out of the candidates when the
// other fenced endpoints are a majority: they hold every acknowledged write. A
// primary that lost contact with its replicas may hold more entries, which were
// not acknowledged; if it were chosen for them, it would lose its replicas again.
func withoutFailedPrimary(view rattanmodel.GroupView, fenced []response) []response {
	others := slices.DeleteFunc(slices.Clone(fenced), func(r response) bool { return r.endpoint == view.Primary })
	if len(others) < view.Majority() {
		return fenced
	}
	return others
}

// catchUp waits until the target has reached the position of the primary. If no
// primary responded, or the target is the primary, it returns at once; the
// positions of the fenced endpoints then decide.
func (c *Coordinator) catchUp(ctx context.Context, statuses []response, target string) error {
	at := slices.IndexFunc(statuses, response.isPrimary)
	if at < 0 || statuses[at].endpoint == target {
		return nil
	}
	primary, wanted := statuses[at].endpoint, statuses[at].position()
	term := statuses[at].status.GetTerm()
	ctx, cancel := withTimeout(ctx, c.clock, catchUpTimeout)
	defer cancel()
	for {
		if _, err := c.endpoints(target).WaitPosition(ctx, rattanmodel.Position{Term: term, Index: wanted.Index}, catchUpTimeout); err != nil {
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

func endpointNames(responses []response) []string {
	names := make([]string, 0, len(responses))
	for _, r := range responses {
		names = append(names, r.endpoint)
	}
	return names
}
