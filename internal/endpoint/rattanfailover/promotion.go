package rattanfailover

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// Errors of Coordinator.Failover and Coordinator.Promote.
var (
	// ErrUnknownGroup means that the tracker has no such group.
	ErrUnknownGroup = errors.New("unknown group")
	// ErrUnknownEndpoint means that the target is not a member of the group.
	ErrUnknownEndpoint = errors.New("endpoint is not a member of the group")
	// ErrNoMajority means that fewer than a majority of the group's endpoints
	// responded to the status query. Nothing was fenced, so the attempt does not
	// hinder a later one.
	ErrNoMajority = errors.New("no majority of the group's endpoints answered")
	// ErrSuperseded means that the group has a primary of a higher term than the
	// one to be replaced.
	ErrSuperseded = errors.New("group has a primary of a higher term")
	// ErrPreempted means that another coordinator has fenced a higher term.
	ErrPreempted = errors.New("another coordinator has fenced a higher term")
	// ErrTargetBehind means that the target of a planned switchover has not reached
	// the primary's position in time, or that a fenced endpoint has a higher
	// position.
	ErrTargetBehind = errors.New("target has not reached the primary's position")
)

// A Promotion is a completed change of primary.
type Promotion struct {
	Group string
	// Previous is empty when no primary was known.
	Previous string
	Primary  string
	Term     uint64
	// Position is the new primary's last position at the start of the term.
	Position rattanmodel.Position
	// Fenced lists the endpoints that promised the term to the coordinator.
	Fenced []string
	Took   time.Duration
}

// String describes the promotion in one line for a log.
func (p Promotion) String() string {
	return fmt.Sprintf("group %s: primary %s of term %d at %s in place of %q after %s", p.Group, p.Primary, p.Term, p.Position, p.Previous, p.Took)
}
