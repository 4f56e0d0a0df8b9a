// Package rattanegress decides which reads may leave the failure domain of their
// daemon. It answers load that is uneven between failure domains: a domain whose own
// endpoints are too few for a while sends a share of its reads of a group to endpoints
// of other domains. Work that has no choice leaves regardless and is only counted.
package rattanegress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// A Reason says why a share has changed.
type Reason string

// The reasons.
const (
	// FasterOutside says that the endpoints outside are expected to complete requests
	// earlier than those inside, by more than the margin.
	FasterOutside Reason = "faster_outside"
	// EnoughInside says that the gain outside no longer exceeds the margin.
	EnoughInside Reason = "enough_inside"
	// NoReport says that nothing recent is known of the endpoints.
	NoReport Reason = "no_report"
)

// A Comparison holds the expected completions of a read, including the path to the
// endpoint.
type Comparison struct {
	// Local and Remote are those at the best endpoint inside and outside of the failure
	// domain.
	Local, Remote time.Duration
	// HasReport is true when a recent load report of an endpoint outside is known.
	HasReport bool
}

// A Decision is the answer for one read.
type Decision struct {
	// IsAllowed is true when the read may leave the failure domain.
	IsAllowed bool
	// Change is the change of the group's share to log, nil for none.
	Change *Change
}

// A Change is a change of a group's share that is large enough to be logged.
type Change struct {
	Group  string
	Share  float64
	Reason Reason
}

// A GroupState is the state of one group, for metrics and state dumps.
type GroupState struct {
	Group string `json:"group"`
	// Share is the share of the reads that may leave, from 0 to 1.
	Share float64 `json:"share"`
	// ChosenBytes and ForcedBytes are the bytes that crossed the border of the failure
	// domain, in both directions, of work that had a choice and of work that had none.
	ChosenBytes int64 `json:"chosen_bytes"`
	ForcedBytes int64 `json:"forced_bytes"`
}

// A Policy holds the shares of all groups and the budget of one daemon. It is not safe
// for concurrent use.
type Policy struct {
	random *rand.Rand
	budget *budget
	groups map[string]*group
}

type group struct {
	share
	probedAt                 time.Time
	logged                   float64
	chosenBytes, forcedBytes int64
}

// New returns a policy that sends nothing out yet. The budget is in bytes a second, 0
// for no limit.
func New(bytesPerSecond int64, random *rand.Rand, now time.Time) *Policy {
	return &Policy{random: random, budget: newBudget(bytesPerSecond, now), groups: make(map[string]*group)}
}

// Decide updates the group's share and returns whether one read may leave the failure
// domain. Each read is drawn on its own, so that daemons which see the same load at the
// same moment move a share of it together and not all of it.
func (p *Policy) Decide(name string, comparison Comparison, now time.Time) Decision {
	g := p.group(name)
	hasBudget := p.budget.left(now) > 0
	reason := g.update(comparison, hasBudget, now)
	isAllowed := hasBudget && (p.random.Float64() < g.value || g.probe(comparison, now))
	return Decision{IsAllowed: isAllowed, Change: g.change(name, reason)}
}

// Sent records bytes of a group's work that crossed the border of the failure domain,
// request and response together.
func (p *Policy) Sent(name string, bytes int64, hasChoice bool, now time.Time) {
	g := p.group(name)
	if hasChoice {
		g.chosenBytes += bytes
	} else {
		g.forcedBytes += bytes
	}
	p.budget.spend(bytes, now)
}

// BudgetLeft returns how many bytes may be sent by choice now. It returns false when
// there is no limit.
func (p *Policy) BudgetLeft(now time.Time) (int64, bool) {
	return p.budget.left(now), p.budget.isLimited()
}

// States returns the state of all groups, ordered by name.
func (p *Policy) States(now time.Time) []GroupState {
	states := make([]GroupState, 0, len(p.groups))
	for name, g := range p.groups {
		states = append(states, GroupState{
			Group: name, Share: g.at(now), ChosenBytes: g.chosenBytes, ForcedBytes: g.forcedBytes,
		})
	}
	slices.SortFunc(states, func(a, b GroupState) int { return cmp.Compare(a.Group, b.Group) })
	return states
}

func (p *Policy) group(name string) *group {
	g, ok := p.groups[name]
	if !ok {
		g = &group{}
		p.groups[name] = g
	}
	return g
}

// probeInterval separates two reads of a group that leave although nothing is known of
// the load outside. The response to such a read has a report.
const probeInterval = time.Second

// probe reports whether a read is to find out the load outside: none is known, and an
// idle endpoint there would be faster.
func (g *group) probe(comparison Comparison, now time.Time) bool {
	gain := comparison.Local - comparison.Remote
	if comparison.HasReport || gain <= margin(comparison.Local) || now.Sub(g.probedAt) < probeInterval {
		return false
	}
	g.probedAt = now
	return true
}

// loggedChange is the change of a share that is logged, besides the return to zero.
const loggedChange = 0.25

// change returns the change since the last one that was logged, if it is to be logged.
func (g *group) change(name string, reason Reason) *Change {
	difference := max(g.value-g.logged, g.logged-g.value)
	if difference < loggedChange && (g.value > 0 || g.logged == 0) {
		return nil
	}
	g.logged = g.value
	return &Change{Group: name, Share: g.value, Reason: reason}
}
