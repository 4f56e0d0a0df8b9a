package rattanchecker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Time limits of the guarantees that allow a change some seconds to take effect.
const (
	withdrawalLimit = 8 * time.Second
	drainLimit      = 3 * time.Second
	inForceLimit    = 8 * time.Second
)

// A Violation is one violation of a guarantee.
type Violation struct {
	// Guarantee is the violated guarantee, P1 to P14.
	Guarantee string
	// Lines are the trace lines of the events that show the violation.
	Lines []int
	// Why describes the violation.
	Why string
}

// String returns v as one line of text for test output.
func (v Violation) String() string {
	lines := make([]string, len(v.Lines))
	for i, line := range v.Lines {
		lines[i] = fmt.Sprint(line)
	}
	return fmt.Sprintf("%s violated: %s (trace lines %s)", v.Guarantee, v.Why, strings.Join(lines, ", "))
}

// Check returns all violations in a trace, in the order of the guarantees. A
// guarantee that no event of the trace concerns is not checked.
func Check(events []Event) []Violation {
	h := newHistory(events)
	var violations []Violation
	for _, check := range []func(*history) []Violation{
		checkSessions,         // P1
		checkPrimaries,        // P2
		checkTransactions,     // P3
		checkAccounts,         // P4
		checkSecrets,          // P5
		checkWithdrawals,      // P6
		checkRates,            // P7
		checkDrainedDomains,   // P8
		checkResponses,        // P9
		checkNotRun,           // P10
		checkAtMostOnce,       // P11
		checkDrainedEndpoints, // P12
		checkPlannedStops,     // P13
		checkInForce,          // P14
	} {
		violations = append(violations, check(h)...)
	}
	return violations
}

func newViolation(guarantee string, events []Event, format string, args ...any) Violation {
	lines := make([]int, 0, len(events))
	for _, event := range events {
		lines = append(lines, event.Line)
	}
	return Violation{Guarantee: guarantee, Lines: lines, Why: fmt.Sprintf(format, args...)}
}

// call is a request with its response, if there was one.
type call struct {
	request  Event
	response Event
	answered bool
}

func (c *call) ok() bool {
	return c.answered && c.response.Outcome == OK
}

// history holds the events of a trace grouped by type, each group in the order
// of time.
type history struct {
	calls          []*call
	callsByID      map[string]*call
	unmatched      []Event // responses without a request, and second responses
	executionsByID map[string][]Event
	executions     []Event
	terms          []Event
	changes        []Event
	inForce        []Event
	daemons        []Event
	faults         []Event
	end            time.Duration
}

func newHistory(events []Event) *history {
	events = slices.Clone(events)
	sortByTime(events)
	h := &history{callsByID: make(map[string]*call), executionsByID: make(map[string][]Event)}
	for _, event := range events {
		h.add(event)
	}
	return h
}

// sortByTime sorts events by time; events with equal times keep their order.
func sortByTime(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

func (h *history) add(event Event) {
	h.end = max(h.end, event.At)
	switch event.Type {
	case Request:
		c := &call{request: event}
		h.calls = append(h.calls, c)
		h.callsByID[event.ID] = c
	case Response:
		c := h.callsByID[event.ID]
		if c == nil || c.answered {
			h.unmatched = append(h.unmatched, event)
			return
		}
		c.response, c.answered = event, true
	case Execution:
		h.executionsByID[event.ID] = append(h.executionsByID[event.ID], event)
		h.executions = append(h.executions, event)
	case Term:
		h.terms = append(h.terms, event)
	case Operator:
		h.changes = append(h.changes, event)
	case InForce:
		h.inForce = append(h.inForce, event)
	case Daemon:
		h.daemons = append(h.daemons, event)
	case Fault:
		h.faults = append(h.faults, event)
	}
}

// deadlineAfter returns when a time limit that begins at start has passed. The
// limit starts again at the end of each fault that overlaps it and affects one
// of the targets.
func (h *history) deadlineAfter(start, limit time.Duration, targets ...string) time.Duration {
	deadline := start + limit
	for _, fault := range h.faults {
		if slices.Contains(targets, fault.Target) && fault.At < deadline && fault.Until > start {
			deadline = max(deadline, fault.Until+limit)
		}
	}
	return deadline
}

// committed returns the executions of a request that were committed.
func (h *history) committed(id string) []Event {
	return slices.DeleteFunc(slices.Clone(h.executionsByID[id]), func(e Event) bool {
		return e.Step != Single && e.Step != Commit
	})
}
