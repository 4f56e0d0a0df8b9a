package rattanchecker

import "github.com/rattanstream/rattanstream/internal/base/rattanerr"

// checkResponses checks P9: a caller gets exactly one complete response to its
// own request, with a value that was written to the requested key.
func checkResponses(h *history) []Violation {
	var violations []Violation
	for _, e := range h.unmatched {
		violations = append(violations, newViolation("P9", []Event{e}, "response %s does not belong to a pending request", e.ID))
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
			violations = append(violations, newViolation("P9", events, "response to request %s is incomplete", c.request.ID))
		case c.request.Operation != Read && c.request.Operation != Audit:
		case c.response.Key != c.request.Key:
			violations = append(violations, newViolation("P9", events,
				"request %s for key %s was answered with key %s", c.request.ID, c.request.Key, c.response.Key))
		case c.response.Value != "" && !counters[c.request.Key] && !written[c.request.Key][c.response.Value]:
			violations = append(violations, newViolation("P9", events,
				"request %s for key %s was answered with %q, which was never written to it", c.request.ID, c.request.Key, c.response.Value))
		}
	}
	return violations
}

// checkNotRun checks P10: a request that was refused with run state "not run"
// has no effect, neither before nor after the refusal.
func checkNotRun(h *history) []Violation {
	type keyValue struct{ key, value string }
	reads := make(map[keyValue]*call)
	for _, c := range h.calls {
		if c.ok() && (c.request.Operation == Read || c.request.Operation == Audit) {
			reads[keyValue{c.request.Key, c.response.Value}] = c
		}
	}
	var violations []Violation
	for _, c := range h.calls {
		if !c.answered || c.response.Outcome != Refused || c.response.RunState != rattanerr.NotRun {
			continue
		}
		if ran := h.committed(c.request.ID); len(ran) > 0 {
			violations = append(violations, newViolation("P10", []Event{c.response, ran[0]},
				"request %s was refused as not run but ran on endpoint %s", c.request.ID, ran[0].Endpoint))
			continue
		}
		if c.request.Operation != Write {
			continue
		}
		if read := reads[keyValue{c.request.Key, c.request.Value}]; read != nil {
			violations = append(violations, newViolation("P10", []Event{c.response, read.response},
				"request %s was refused as not run but its value was read", c.request.ID))
		}
	}
	return violations
}

// checkAtMostOnce checks P11: a request that is not idempotent runs at most
// once. Replicas apply the same write too, so only the executions that endpoints
// report for a request count.
func checkAtMostOnce(h *history) []Violation {
	var violations []Violation
	for _, c := range h.calls {
		if c.request.Idempotent || c.request.Operation == Read || c.request.Operation == Audit {
			continue
		}
		if ran := h.committed(c.request.ID); len(ran) > 1 {
			violations = append(violations, newViolation("P11", ran, "request %s is not idempotent but ran %d times", c.request.ID, len(ran)))
		}
	}
	return violations
}
