package rattanchecker

import (
	"container/heap"
	"time"
)

// checkAccounts checks P4: a request that is not on an open route runs only for
// the client account to which its key was given.
func checkAccounts(h *history) []Violation {
	owners := make(map[string]Event)
	for _, change := range h.changes {
		if change.Action == GiveKey {
			owners[change.Target] = change
		}
	}
	var violations []Violation
	for _, c := range h.calls {
		if c.request.Open {
			continue
		}
		given, known := owners[c.request.KeyID]
		if !known && c.ok() {
			violations = append(violations, newViolation("P4", []Event{c.request, c.response},
				"request %s was served with key %q, which was not given to any client account", c.request.ID, c.request.KeyID))
		}
		for _, e := range h.executionsByID[c.request.ID] {
			if !known || e.ClientAccount != given.ClientAccount {
				violations = append(violations, newViolation("P4", []Event{c.request, e},
					"request %s with key %q of client account %q ran for %q", c.request.ID, c.request.KeyID, given.ClientAccount, e.ClientAccount))
			}
		}
	}
	return violations
}

// checkSecrets checks P5: no endpoint receives a caller's key.
func checkSecrets(h *history) []Violation {
	var violations []Violation
	for _, e := range h.executions {
		if e.KeySeen {
			violations = append(violations, newViolation("P5", []Event{e}, "endpoint %s received the caller's key of request %s", e.Endpoint, e.ID))
		}
	}
	return violations
}

// checkWithdrawals checks P6: no request with a withdrawn key succeeds later
// than 8 s after the withdrawal was accepted, even if it was sent before.
func checkWithdrawals(h *history) []Violation {
	var violations []Violation
	for _, change := range h.changes {
		if change.Action != WithdrawKey {
			continue
		}
		for _, c := range h.calls {
			if c.request.KeyID != change.Target || c.request.Open || !c.ok() {
				continue
			}
			// A daemon that cannot find out about withdrawals must refuse
			// requests, so faults do not extend the limit.
			if c.response.At > change.At+withdrawalLimit {
				violations = append(violations, newViolation("P6", []Event{change, c.request, c.response},
					"request %s succeeded %s after the withdrawal of key %s was accepted", c.request.ID, c.response.At-change.At, change.Target))
			}
		}
	}
	return violations
}

// checkRates checks P7: each request can be assigned an admission time between
// the request and its response such that one token bucket with the client
// account's rate and burst allows all of them. Requests are admitted in the
// order of their responses as soon as a token is available; this finds valid
// times if any exist.
func checkRates(h *history) []Violation {
	limits := make(map[string][]Event)
	for _, change := range h.changes {
		if change.Action == SetRate {
			limits[change.Target] = append(limits[change.Target], change)
		}
	}
	served := make(map[string][]*call)
	for _, c := range h.calls {
		if c.ok() {
			served[c.request.ClientAccount] = append(served[c.request.ClientAccount], c)
		}
	}
	var violations []Violation
	for _, change := range h.changes {
		account := change.Target
		if change.Action != SetRate || change.Line != limits[account][0].Line {
			continue
		}
		if late := firstOverRate(served[account], limits[account]); late != nil {
			violations = append(violations, newViolation("P7", []Event{change, late.request, late.response},
				"client account %s exceeded its rate and burst with request %s", account, late.request.ID))
		}
	}
	return violations
}

// bucketAt returns the allowed rate and burst at a time. For inForceLimit after
// a change, the larger of the old and new values is allowed.
func bucketAt(limits []Event, at time.Duration) (rate, burst float64) {
	for i, limit := range limits {
		if i > 0 && limit.At > at {
			break
		}
		if i == 0 || at >= limit.At+inForceLimit {
			rate, burst = limit.Rate, limit.Burst
			continue
		}
		rate, burst = max(rate, limit.Rate), max(burst, limit.Burst)
	}
	return rate, burst
}

// firstOverRate returns the first call that cannot be given a token before its
// response, or nil. Calls are in the order of their requests.
func firstOverRate(calls []*call, limits []Event) *call {
	if len(calls) == 0 {
		return nil
	}
	// roundingTokens allows for floating-point error, and resolution for the
	// rounding of the times in a trace.
	const (
		roundingTokens = 1e-6
		resolution     = time.Microsecond
	)
	now := calls[0].request.At
	_, tokens := bucketAt(limits, now)
	var waiting responseHeap
	for len(calls) > 0 || len(waiting) > 0 {
		if len(waiting) == 0 {
			rate, burst := bucketAt(limits, calls[0].request.At)
			tokens = min(burst, tokens+rate*(calls[0].request.At-now).Seconds())
			now = calls[0].request.At
		}
		for len(calls) > 0 && calls[0].request.At <= now {
			heap.Push(&waiting, calls[0])
			calls = calls[1:]
		}
		if tokens+roundingTokens >= 1 {
			tokens--
			if c := heap.Pop(&waiting).(*call); c.response.At+resolution < now {
				return c
			}
			continue
		}
		rate, _ := bucketAt(limits, now)
		next := now + time.Hour
		if rate > 0 {
			next = now + time.Duration((1-tokens)/rate*float64(time.Second)) + 1
		}
		if len(calls) > 0 {
			next = min(next, max(calls[0].request.At, now+1))
		}
		if latest := waiting[0].response.At + resolution; latest < next {
			next = max(latest, now) + 1
		}
		tokens += rate * (next - now).Seconds()
		now = next
		if waiting[0].response.At+resolution < now && tokens+roundingTokens < 1 {
			return waiting[0]
		}
	}
	return nil
}

// responseHeap is a min-heap of calls by the time of their responses.
type responseHeap []*call

func (h responseHeap) Len() int           { return len(h) }
func (h responseHeap) Less(i, j int) bool { return h[i].response.At < h[j].response.At }
func (h responseHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *responseHeap) Push(x any) { *h = append(*h, x.(*call)) }

// Pop implements heap.Interface.
func (h *responseHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
