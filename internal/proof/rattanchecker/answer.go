package rattanchecker

import "github.com/rattanstream/rattanstream/internal/base/rattanerr"

// checkAnswers judges P9: a caller gets one answer, whole, to its own request,
// with a value that was written to the key that it asked for.
func checkAnswers(h *history) []Violation {
	var violations []Violation
	for _, e := range h.extra {
		violations = append(violations, violation("P9", []Event{e}, "answer %s belongs to no open request", e.ID))
	}
	written := make(map[string]map[string]bool)
	counters := make(map[string]bool)
	for _, c := range h.calls {
		if c.request.Operation == Add {
			counters[c.request.Key] = true
		}
		if c.request.Operation == Write {
			if written[c.request.Key] == nil {
				written[c.request.Key] = make(map[string]bool)
			}
			written[c.request.Key][c.request.Value] = true
		}
	}
	for _, c := range h.calls {
		if !c.ok() {
			continue
		}
		events := []Event{c.request, c.response}
		switch {
		case !c.response.Whole:
			violations = append(violations, violation("P9", events, "answer to request %s is not whole", c.request.ID))
		case c.request.Operation != Read && c.request.Operation != Audit:
		case c.response.Key != c.request.Key:
			violations = append(violations, violation("P9", events,
				"request %s for key %s was answered with key %s", c.request.ID, c.request.Key, c.response.Key))
		case c.response.Value != "" && !counters[c.request.Key] && !written[c.request.Key][c.response.Value]:
			violations = append(violations, violation("P9", events,
				"request %s for key %s was answered with %q, which nobody wrote to it", c.request.ID, c.request.Key, c.response.Value))
		}
	}
	return violations
}

// checkNotRun judges P10: a request whose refusal says "not run" has no effect,
// before or after the refusal.
func checkNotRun(h *history) []Violation {
	type place struct{ key, value string }
	reads := make(map[place]*call)
	for _, c := range h.calls {
		if c.ok() && (c.request.Operation == Read || c.request.Operation == Audit) {
			reads[place{c.request.Key, c.response.Value}] = c
		}
	}
	var violations []Violation
	for _, c := range h.calls {
		if !c.answered || c.response.Outcome != Refused || c.response.RunState != rattanerr.NotRun {
			continue
		}
		if ran := h.committed(c.request.ID); len(ran) > 0 {
			violations = append(violations, violation("P10", []Event{c.response, ran[0]},
				"request %s was refused as not run and ran on endpoint %s", c.request.ID, ran[0].Endpoint))
			continue
		}
		if c.request.Operation != Write {
			continue
		}
		if read := reads[place{c.request.Key, c.request.Value}]; read != nil {
			violations = append(violations, violation("P10", []Event{c.response, read.response},
				"request %s was refused as not run and its value was read", c.request.ID))
		}
	}
	return violations
}

// checkAtMostOnce judges P11. Replicas apply a write again; only the
// executions that endpoints report for a request count.
func checkAtMostOnce(h *history) []Violation {
	var violations []Violation
	for _, c := range h.calls {
		if c.request.Idempotent || c.request.Operation == Read || c.request.Operation == Audit {
			continue
		}
		if ran := h.committed(c.request.ID); len(ran) > 1 {
			violations = append(violations, violation("P11", ran, "request %s is not idempotent and ran %d times", c.request.ID, len(ran)))
		}
	}
	return violations
}
