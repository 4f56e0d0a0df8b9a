package rattanchecker

import (
	"slices"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
)

// linearizabilityTimeout limits the linearizability search for one key. A search
// that times out is reported as a violation, not ignored.
const linearizabilityTimeout = 30 * time.Second

// checkSessions checks P1, read-your-writes and monotonic reads: within a session,
// a read returns no value older than the session's last acknowledged write of the
// key or than the value of an earlier read. A value counts as older than another
// only if its write was acknowledged before the other's was sent.
func checkSessions(h *history) []Violation {
	writes := make(map[string]*call)
	for _, c := range h.calls {
		if c.request.Operation == Write {
			writes[c.request.Key+"\x00"+c.request.Value] = c
		}
	}
	type sessionKey struct{ session, key string }
	// seen holds the writes that each session has written or read for each key,
	// with the response by which the session observed them.
	type knownWrite struct {
		write *call
		by    Event
	}
	seen := make(map[sessionKey][]knownWrite)
	var violations []Violation
	for _, c := range byResponse(h.calls) {
		if !c.ok() {
			continue
		}
		at := sessionKey{c.request.Session, c.request.Key}
		switch c.request.Operation {
		case Write:
			seen[at] = append(seen[at], knownWrite{c, c.response})
		case Read:
			read := writes[c.request.Key+"\x00"+c.response.Value]
			for _, known := range seen[at] {
				if known.by.At > c.request.At || !before(read, known.write) {
					continue
				}
				violations = append(violations, newViolation("P1", []Event{known.by, c.request, c.response},
					"session %s read %q of key %s, which is older than %q that it had written or read before", at.session,
					c.response.Value, at.key, known.write.request.Value))
				break
			}
			if read != nil {
				seen[at] = append(seen[at], knownWrite{read, c.response})
			}
		}
	}
	return violations
}

// before reports whether write a must have taken effect before write b. A nil
// write stands for the initial value.
func before(a, b *call) bool {
	if a == nil {
		return b != nil
	}
	return a != b && a.answered && a.response.Outcome == OK && a.response.At < b.request.At
}

func byResponse(calls []*call) []*call {
	ordered := slices.Clone(calls)
	slices.SortStableFunc(ordered, func(a, b *call) int { return int(a.response.At - b.response.At) })
	return ordered
}

// checkPrimaries checks P2: no write that was sent after a later term had begun is
// acknowledged in an earlier term, and audits find every acknowledged write.
func checkPrimaries(h *history) []Violation {
	var violations []Violation
	for _, c := range h.calls {
		if !c.ok() || (c.request.Operation != Write && c.request.Operation != Add) || c.response.Term == 0 {
			continue
		}
		for _, term := range h.terms {
			if term.Group == c.request.Group && term.Term > c.response.Term && term.At < c.request.At {
				violations = append(violations, newViolation("P2", []Event{term, c.request, c.response},
					"write %s was acknowledged in term %d after term %d of group %s had begun",
					c.request.ID, c.response.Term, term.Term, term.Group))
				break
			}
		}
	}
	return append(violations, checkAudits(h)...)
}

type registerInput struct {
	operation, value string
}

// register is the sequential specification of one key, which is a register or a
// counter. Writes do not check their output, since they may have no response.
func register() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			in := input.(registerInput)
			switch in.operation {
			case Write:
				return true, in.value
			case Add:
				count, _ := strconv.Atoi(state.(string))
				return true, strconv.Itoa(count + 1)
			default:
				return output.(string) == state.(string), state
			}
		},
	}
}

// checkAudits searches for a linearization of the writes and audits of each
// audited key. A write with an unknown outcome may take effect at any time after
// it was sent. It may also never take effect, which the search covers by ordering
// it after all audits.
func checkAudits(h *history) []Violation {
	operations := make(map[string][]porcupine.Operation)
	events := make(map[string][]Event)
	audited := make(map[string]bool)
	never := h.end + time.Hour
	for i, c := range h.calls {
		key := c.request.Key
		op := porcupine.Operation{
			ClientId: i,
			Input:    registerInput{c.request.Operation, c.request.Value},
			Call:     int64(c.request.At),
			Output:   c.response.Value,
			Return:   int64(c.response.At),
		}
		switch c.request.Operation {
		case Write, Add:
			if c.answered && c.response.Outcome == Refused && c.response.RunState == rattanerr.NotRun {
				continue
			}
			if !c.ok() {
				op.Return = int64(never)
			}
		case Audit:
			if !c.ok() {
				continue
			}
			audited[key] = true
			events[key] = append(events[key], c.request, c.response)
		default:
			continue
		}
		operations[key] = append(operations[key], op)
	}
	var violations []Violation
	for key := range audited {
		switch porcupine.CheckOperationsTimeout(register(), operations[key], linearizabilityTimeout) {
		case porcupine.Illegal:
			violations = append(violations, newViolation("P2", events[key],
				"audits of key %s match no order of its writes: an acknowledged write was lost or a write ran twice", key))
		case porcupine.Unknown:
			violations = append(violations, newViolation("P2", events[key],
				"linearizability search for key %s did not finish within %s", key, linearizabilityTimeout))
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return slices.Compare(a.Lines, b.Lines) })
	return violations
}

// checkTransactions checks P3: between the begin and the end of a transaction,
// its connection runs only statements of that transaction.
func checkTransactions(h *history) []Violation {
	open := make(map[string]Event)
	var violations []Violation
	for _, e := range h.executions {
		begin, ok := open[e.Connection]
		if ok && begin.Transaction != e.Transaction {
			violations = append(violations, newViolation("P3", []Event{begin, e},
				"connection %s ran %q of transaction %q inside transaction %q", e.Connection, e.ID, e.Transaction, begin.Transaction))
			continue
		}
		switch e.Step {
		case Begin:
			open[e.Connection] = e
		case Commit, Rollback:
			delete(open, e.Connection)
		case Continue:
			if !ok {
				violations = append(violations, newViolation("P3", []Event{e},
					"connection %s ran %q of transaction %q, which is not open there", e.Connection, e.ID, e.Transaction))
			}
		}
	}
	return violations
}
