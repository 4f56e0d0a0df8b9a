package rattanchecker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Time limits of the promises that say "within seconds".
const (
	withdrawalLimit = 8 * time.Second
	drainLimit      = 3 * time.Second
	inForceLimit    = 8 * time.Second
)

// A Violation is one broken promise.
type Violation struct {
	// Promise is P1 to P14.
	Promise string
	// Lines are the trace lines of the events that prove it.
	Lines []int
	Why   string
}

// String returns v as one line of text.
func (v Violation) String() string {
	lines := make([]string, len(v.Lines))
	for i, line := range v.Lines {
		lines[i] = fmt.Sprint(line)
	}
	return fmt.Sprintf("%s broken: %s (trace lines %s)", v.Promise, v.Why, strings.Join(lines, ", "))
}

// Check returns all violations in a trace, in the order of the promises. What
// the trace has no events about is not judged.
func Check(events []Event) []Violation {
	h := newHistory(events)
	var violations []Violation
	for _, check := range []func(*history) []Violation{
		checkSessions,       // P1
		checkPrimaries,      // P2
		checkTransactions,   // P3
		checkAccounts,       // P4
		checkSecrets,        // P5
		checkWithdrawals,    // P6
		checkRates,          // P7
		checkDrainedDomains, // P8
		checkAnswers,        // P9
		checkNotRun,         // P10
		checkAtMostOnce,     // P11
		checkLeaving,        // P12
		checkStops,          // P13
		checkInForce,        // P14
	} {
		violations = append(violations, check(h)...)
	}
	return violations
}

func violation(promise string, events []Event, format string, args ...any) Violation {
	lines := make([]int, 0, len(events))
	for _, event := range events {
		lines = append(lines, event.Line)
	}
	return Violation{Promise: promise, Lines: lines, Why: fmt.Sprintf(format, args...)}
}

// call is a request with its answer.
type call struct {
	request  Event
	response Event
	answered bool
}

func (c *call) ok() bool {
	return c.answered && c.response.Outcome == OK
}

// history is a trace by what the checks need, everything in the order of time.
type history struct {
	calls      []*call
	byID       map[string]*call
	extra      []Event // answers without a request, and second answers
	executions map[string][]Event
	ran        []Event
	terms      []Event
	changes    []Event
	inForce    []Event
	daemons    []Event
	faults     []Event
	end        time.Duration
}

func newHistory(events []Event) *history {
	events = slices.Clone(events)
	sortByTime(events)
	h := &history{byID: make(map[string]*call), executions: make(map[string][]Event)}
	for _, event := range events {
		h.add(event)
	}
	return h
}

// sortByTime keeps the order of events of the same time.
func sortByTime(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

func (h *history) add(event Event) {
	h.end = max(h.end, event.At)
	switch event.Type {
	case Request:
		c := &call{request: event}
		h.calls = append(h.calls, c)
		h.byID[event.ID] = c
	case Response:
		c := h.byID[event.ID]
		if c == nil || c.answered {
			h.extra = append(h.extra, event)
			return
		}
		c.response, c.answered = event, true
	case Execution:
		h.executions[event.ID] = append(h.executions[event.ID], event)
		h.ran = append(h.ran, event)
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

// after returns when a time limit that begins at start has passed. It begins
// anew at the end of every fault of one of the targets that overlaps it.
func (h *history) after(start, limit time.Duration, targets ...string) time.Duration {
	deadline := start + limit
	for _, fault := range h.faults {
		if slices.Contains(targets, fault.Target) && fault.At < deadline && fault.Until > start {
			deadline = max(deadline, fault.Until+limit)
		}
	}
	return deadline
}

// committed returns the executions of a request that have taken effect.
func (h *history) committed(id string) []Event {
	return slices.DeleteFunc(slices.Clone(h.executions[id]), func(e Event) bool {
		return e.Step != Single && e.Step != Commit
	})
}
