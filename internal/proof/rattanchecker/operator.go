package rattanchecker

import (
	"maps"
	"slices"
	"time"
)

// checkDrainedDomains checks P8: a failure domain that is taken out gets no new
// work.
func checkDrainedDomains(h *history) []Violation {
	return checkDrained(h, "P8", DrainDomain, ReturnDomain, func(e Event) string { return e.FailureDomain })
}

// checkDrainedEndpoints checks P12: an endpoint that is taken out gets no new work.
func checkDrainedEndpoints(h *history) []Violation {
	return checkDrained(h, "P12", DrainEndpoint, ReturnEndpoint, func(e Event) string { return e.Endpoint })
}

// checkDrained looks for new work on a target later than 3 s after it was taken
// out and before it was returned. Statements of transactions that are already
// open do not count as new work.
func checkDrained(h *history, guarantee, drainAction, returnAction string, target func(Event) string) []Violation {
	var violations []Violation
	for i, change := range h.changes {
		if change.Action != drainAction {
			continue
		}
		until := h.end + 1
		for _, later := range h.changes[i+1:] {
			if later.Action == returnAction && later.Target == change.Target {
				until = later.At
				break
			}
		}
		deadline := h.deadlineAfter(change.At, drainLimit, change.Target)
		for _, e := range h.executions {
			isNew := e.Step == Single || e.Step == Begin
			if isNew && target(e) == change.Target && e.At > deadline && e.At < until {
				violations = append(violations, newViolation(guarantee, []Event{change, e},
					"%s got new work %s after it was taken out", change.Target, e.At-change.At))
			}
		}
	}
	return violations
}

// checkPlannedStops checks P13: during a planned stop, a daemon responds to every
// request that is in flight and refuses later ones as not run, so that no caller
// loses a response.
func checkPlannedStops(h *history) []Violation {
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
				violations = append(violations, newViolation("P13", []Event{stop, later}, "daemon %s crashed during its planned stop", stop.Daemon))
			}
			if later.Action == StopEnd || later.Action == Crash || later.Action == Start {
				end = later.At
				break
			}
		}
		for _, c := range h.calls {
			running := c.request.Daemon == stop.Daemon && c.request.At < end && c.answered && c.response.At > stop.At
			if running && c.response.Outcome == Lost && c.request.At < stop.At {
				violations = append(violations, newViolation("P13", []Event{stop, c.request, c.response},
					"request %s was in flight at the planned stop of daemon %s and lost its response", c.request.ID, stop.Daemon))
			}
		}
	}
	return violations
}

// checkInForce checks P14: every running daemon has an accepted revision, or a
// later one, in force within 8 s and never returns to an earlier one.
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

// checkReverts looks for a running daemon that returns to an earlier revision. A
// restarted daemon may begin with an earlier one; checkReached checks that it has
// the newest in force within the limit.
func checkReverts(h *history) []Violation {
	type daemonDocument struct{ daemon, document string }
	highest := make(map[daemonDocument]Event)
	var violations []Violation
	events := append(slices.Clone(h.daemons), h.inForce...)
	sortByTime(events)
	for _, e := range events {
		if e.Type == Daemon {
			if e.Action == Start {
				maps.DeleteFunc(highest, func(at daemonDocument, _ Event) bool { return at.daemon == e.Daemon })
			}
			continue
		}
		at := daemonDocument{e.Daemon, e.Target}
		if old, ok := highest[at]; ok && e.Revision < old.Revision {
			violations = append(violations, newViolation("P14", []Event{old, e},
				"daemon %s reverted from revision %d of %s to %d", e.Daemon, old.Revision, e.Target, e.Revision))
			continue
		}
		highest[at] = e
	}
	return violations
}

// checkReached checks that the daemon that the event start refers to has the
// change in force within the limit, which begins at the later of the two events.
func checkReached(h *history, change, start Event) []Violation {
	stopped := h.end + 1
	for _, e := range h.daemons {
		if e.Daemon == start.Daemon && e.At > start.At && (e.Action == StopBegin || e.Action == Crash || e.Action == Start) {
			stopped = min(stopped, e.At)
		}
	}
	deadline := h.deadlineAfter(max(change.At, start.At), inForceLimit, start.Daemon)
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
	return []Violation{newViolation("P14", []Event{change, start},
		"daemon %s did not have revision %d of %s in force within %s", start.Daemon, change.Revision, change.Target, deadline-change.At)}
}
