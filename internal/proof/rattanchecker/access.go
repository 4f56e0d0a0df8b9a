package rattanchecker

import (
	"container/heap"
	"time"
)

// checkAccounts judges P4: a request that is not on an open route runs only for
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
			violations = append(violations, violation("P4", []Event{c.request, c.response},
				"request %s was served with key %q, which was never given", c.request.ID, c.request.KeyID))
		}
		for _, e := range h.executions[c.request.ID] {
			if !known || e.ClientAccount != given.ClientAccount {
				violations = append(violations, violation("P4", []Event{c.request, e},
					"request %s with key %q of client account %q ran for %q", c.request.ID, c.request.KeyID, given.ClientAccount, e.ClientAccount))
			}
		}
	}
	return violations
}

// checkSecrets judges P5.
func checkSecrets(h *history) []Violation {
	var violations []Violation
	for _, e := range h.ran {
		if e.KeySeen {
			violations = append(violations, violation("P5", []Event{e}, "endpoint %s saw the key of request %s", e.Endpoint, e.ID))
		}
	}
	return violations
}

// checkWithdrawals judges P6: no call with a withdrawn key succeeds later than
// 8 s after the withdrawal was accepted, whenever it began.
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
			// A daemon that cannot know of the withdrawal has to refuse, so
			// faults do not lengthen the limit.
			if c.response.At > change.At+withdrawalLimit {
				violations = append(violations, violation("P6", []Event{change, c.request, c.response},
					"request %s succeeded %s after the withdrawal of key %s was accepted", c.request.ID, c.response.At-change.At, change.Target))
			}
		}
	}
	return violations
}

// checkRates judges P7: there are times of admission, each between a request
// and its answer, that a single token bucket of the client account's rate and
// burst allows. Requests are admitted in the order of their answers as soon as
// there is a token, which finds such times if they exist.
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
			violations = append(violations, violation("P7", []Event{change, late.request, late.response},
				"client account %s got more than its rate and burst when request %s was answered", account, late.request.ID))
		}
	}
	return violations
}

// bucketAt returns the rate and burst at a time: during inForceLimit after a
// change the larger of the old and new values.
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

// firstOverRate returns the first call that no token was left for in time.
// Calls are in the order of their requests.
func firstOverRate(calls []*call, limits []Event) *call {
	if len(calls) == 0 {
		return nil
	}
	// roundingTokens absorbs floating point error, and resolution that of the
	// trace's times.
	const (
		roundingTokens = 1e-6
		resolution     = time.Microsecond
	)
	now := calls[0].request.At
	_, tokens := bucketAt(limits, now)
	var waiting deadlines
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

// deadlines is a heap of calls by the time of their answers.
type deadlines []*call

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].response.At < d[j].response.At }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*call)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}
