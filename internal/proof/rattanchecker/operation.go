package rattanchecker

import (
	"maps"
	"slices"
	"time"
)

// checkDrainedDomains judges P8.
func checkDrainedDomains(h *history) []Violation {
	return checkDrained(h, "P8", DrainDomain, ReturnDomain, func(e Event) string { return e.FailureDomain })
}

// checkLeaving judges P12.
func checkLeaving(h *history) []Violation {
	return checkDrained(h, "P12", DrainEndpoint, ReturnEndpoint, func(e Event) string { return e.Endpoint })
}

// checkDrained looks for new work on a target later than 3 s after it was taken
// out and before it was returned. Statements of transactions that are already
// open are no new work.
func checkDrained(h *history, promise, drain, giveBack string, target func(Event) string) []Violation {
	var violations []Violation
	for i, change := range h.changes {
		if change.Action != drain {
			continue
		}
		until := h.end + 1
		for _, later := range h.changes[i+1:] {
			if later.Action == giveBack && later.Target == change.Target {
				until = later.At
				break
			}
		}
		deadline := h.after(change.At, drainLimit, change.Target)
		for _, e := range h.ran {
			isNew := e.Step == Single || e.Step == Begin
			if isNew && target(e) == change.Target && e.At > deadline && e.At < until {
				violations = append(violations, violation(promise, []Event{change, e},
					"%s got new work %s after it was taken out", change.Target, e.At-change.At))
			}
		}
	}
	return violations
}

// checkStops judges P13: a daemon that is stopped as planned answers every
// request that it has, and refuses the others as not run; no caller loses its
// answer.
func checkStops(h *history) []Violation {
	var violations []Violation
	for i, stop := range h.daemons {
		if stop.Action != StopBegin {
			continue
		}
		end := h.end + 1
		for _, later := range h.daemons[i+1:] {
			if later.Daemon != stop.Daemon {
				continue
			}
			if later.Action == Crash {
				violations = append(violations, violation("P13", []Event{stop, later}, "daemon %s crashed during its planned stop", stop.Daemon))
			}
			if later.Action == StopEnd || later.Action == Crash || later.Action == Start {
				end = later.At
				break
			}
		}
		for _, c := range h.calls {
			running := c.request.Daemon == stop.Daemon && c.request.At < end && c.answered && c.response.At > stop.At
			if running && c.response.Outcome == Lost && c.request.At < stop.At {
				violations = append(violations, violation("P13", []Event{stop, c.request, c.response},
					"request %s was running when daemon %s was stopped, and lost its answer", c.request.ID, stop.Daemon))
			}
		}
	}
	return violations
}

// checkInForce judges P14: every running daemon has an accepted revision, or a
// later one, in force within 8 s and never goes back.
func checkInForce(h *history) []Violation {
	violations := checkReverts(h)
	for _, change := range h.changes {
		if change.Action != Apply {
			continue
		}
		for _, start := range h.daemons {
			if start.Action == Start {
				violations = append(violations, checkReached(h, change, start)...)
			}
		}
	}
	return violations
}

// checkReverts looks for a running daemon that goes back. A daemon that starts
// again may have to learn the newest revision anew, within the usual limit.
func checkReverts(h *history) []Violation {
	type place struct{ daemon, document string }
	highest := make(map[place]Event)
	var violations []Violation
	events := append(slices.Clone(h.daemons), h.inForce...)
	sortByTime(events)
	for _, e := range events {
		if e.Type == Daemon {
			if e.Action == Start {
				maps.DeleteFunc(highest, func(at place, _ Event) bool { return at.daemon == e.Daemon })
			}
			continue
		}
		at := place{e.Daemon, e.Target}
		if old, ok := highest[at]; ok && e.Revision < old.Revision {
			violations = append(violations, violation("P14", []Event{old, e},
				"daemon %s went from revision %d of %s back to %d", e.Daemon, old.Revision, e.Target, e.Revision))
			continue
		}
		highest[at] = e
	}
	return violations
}

// checkReached looks whether the daemon that started with start has the change
// in force in time. The limit begins with the later of the two.
func checkReached(h *history, change, start Event) []Violation {
	stopped := h.end + 1
	for _, e := range h.daemons {
		if e.Daemon == start.Daemon && e.At > start.At && (e.Action == StopBegin || e.Action == Crash || e.Action == Start) {
			stopped = min(stopped, e.At)
		}
	}
	deadline := h.after(max(change.At, start.At), inForceLimit, start.Daemon)
	if stopped <= deadline || h.end < deadline || stopped < change.At {
		return nil
	}
	var reached time.Duration = -1
	for _, e := range h.inForce {
		if e.Daemon == start.Daemon && e.Target == change.Target && e.Revision >= change.Revision && e.At >= start.At && e.At < stopped {
			reached = e.At
			break
		}
	}
	if reached >= 0 && reached <= deadline {
		return nil
	}
	return []Violation{violation("P14", []Event{change, start},
		"daemon %s did not have revision %d of %s in force within %s", start.Daemon, change.Revision, change.Target, deadline-change.At)}
}
