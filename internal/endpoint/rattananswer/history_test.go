package rattananswer

import (
	"strconv"
	"testing"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// An exchange is a request with what arrives after it and what that is.
type exchange struct {
	request rattanstatement.Request
	result  rattanstatement.Result
	want    Judgement
}

func request(kind rattanstatement.Kind) rattanstatement.Request {
	return rattanstatement.Request{Kind: kind}
}

func signed(signature string, rows ...string) rattanstatement.Result {
	return rattanstatement.Result{Signature: signature, Rows: rows}
}

func inTransaction(result rattanstatement.Result) rattanstatement.Result {
	result.TransactionStatus = rattanstatement.InTransaction
	return result
}

func at(result rattanstatement.Result, index uint64) rattanstatement.Result {
	result.Position = rattanmodel.Position{Term: 1, Index: index}
	return result
}

func refused(code rattanstatement.Code) rattanstatement.Result {
	return rattanstatement.Refuse(code, "i-1")
}

var (
	own      = Judgement{Verdict: Own}
	repeated = Judgement{Verdict: Repeated, Reason: ReasonRepeated}
	opened   = at(rattanstatement.Result{}, 7)
)

func invalid(reason Reason) Judgement { return Judgement{Verdict: Invalid, Reason: reason} }

func uncertain(reason Reason) Judgement { return Judgement{Verdict: Uncertain, Reason: reason} }

// TestJudge guards against the answer to one request that counts as that to another, and
// against a success that is not whole.
func TestJudge(t *testing.T) {
	read, write, set, commit := request(rattanstatement.Read), request(rattanstatement.Write), request(rattanstatement.Set), request(rattanstatement.Commit)
	begin, rollback, status := request(rattanstatement.Begin), request(rattanstatement.Rollback), request(rattanstatement.Status)
	execute := request(rattanstatement.Execute)
	readAfter := rattanstatement.Request{Kind: rattanstatement.Read, MinPosition: rattanmodel.Position{Term: 1, Index: 1}}
	done, busy, behind := rattanstatement.Result{}, refused(rattanstatement.Busy), refused(rattanstatement.Behind)
	partial := rattanstatement.Result{IsPartial: true}
	for _, test := range []struct {
		name      string
		exchanges []exchange
	}{
		{"repeated row", []exchange{{read, signed("1", "a"), own}, {read, signed("1", "a"), repeated}, {read, signed("2", "b"), own}}},
		{"signature once more with another row", []exchange{{read, signed("1", "a"), own}, {read, signed("1", "b"), invalid(ReasonMixed)}}},
		{"success without a signature", []exchange{{read, at(done, 9), invalid(ReasonNoSignature)}}},
		{"write without a signature", []exchange{{write, at(done, 9), invalid(ReasonNoSignature)}}},
		{"answer of a setup request, late", []exchange{{set, done, own}, {write, done, repeated}, {write, signed("1"), own}}},
		{"answer of a begin, late", []exchange{{begin, inTransaction(done), own}, {rollback, inTransaction(done), repeated}, {rollback, done, own}}},
		{"greeting, late", []exchange{{read, at(partial, 7), repeated}, {read, signed("1"), own}}},
		{"only the end of an answer", []exchange{{read, at(partial, 8), invalid(ReasonIncomplete)}}},
		{"row without an outcome", []exchange{{read, rattanstatement.Result{Rows: []string{"a"}, IsPartial: true, Position: opened.Position}, invalid(ReasonIncomplete)}}},
		{"signature for a setup request", []exchange{{set, signed("1"), invalid(ReasonSignature)}}},
		{"row for a setup request", []exchange{{set, rattanstatement.Result{Rows: []string{"a"}}, invalid(ReasonRows)}}},
		{"status without a row", []exchange{{status, done, invalid(ReasonRows)}}},
		{"status", []exchange{{status, rattanstatement.Result{Rows: []string{"replica 1 1.1"}}, own}}},
		{"begin that begins nothing", []exchange{{begin, done, invalid(ReasonStatus)}}},
		{"statement outside its transaction", []exchange{{begin, inTransaction(done), own}, {read, signed("1"), invalid(ReasonStatus)}}},
		{"commit that ends nothing", []exchange{{begin, inTransaction(done), own}, {commit, inTransaction(signed("1")), invalid(ReasonStatus)}}},
		{"transaction", []exchange{{begin, inTransaction(done), own}, {write, inTransaction(signed("1")), own}, {commit, signed("2"), own}, {write, signed("3"), own}}},
		{"the same error twice", []exchange{{write, busy, own}, {write, busy, uncertain(ReasonRepeatedError)}}},
		{"the same error with another position", []exchange{{write, busy, own}, {write, at(busy, 9), uncertain(ReasonRepeatedError)}}},
		{"another error", []exchange{{write, busy, own}, {write, refused(rattanstatement.Failed), own}}},
		{"error after an answer that may be a repeat", []exchange{{set, done, own}, {set, done, own}, {write, busy, uncertain(ReasonTentative)}}},
		{"error after a new answer that may be that to the request before", []exchange{{set, done, own}, {set, done, own}, {set, at(done, 9), own}, {write, busy, uncertain(ReasonTentative)}}},
		{"error after a new answer to a begin", []exchange{{set, done, own}, {set, done, own}, {begin, inTransaction(at(done, 9)), own}, {write, busy, own}}},
		{"error that no setup request ends with", []exchange{{set, done, own}, {set, done, own}, {write, refused(rattanstatement.ReadOnly), own}}},
		{"error after a signature", []exchange{{set, done, own}, {set, done, own}, {write, signed("1"), own}, {write, busy, own}}},
		{"behind without a minimum position", []exchange{{read, behind, uncertain(ReasonCode)}}},
		{"behind", []exchange{{readAfter, behind, own}}},
		{"unknown prepared statement for a read", []exchange{{read, refused(rattanstatement.UnknownPrepared), uncertain(ReasonCode)}}},
		{"unknown prepared statement", []exchange{{execute, refused(rattanstatement.UnknownPrepared), own}}},
		{"wrong endpoint in an open session", []exchange{{write, refused(rattanstatement.WrongEndpoint), uncertain(ReasonCode)}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := New(opened)
			for i, e := range test.exchanges {
				if got := history.Judge(e.request, e.result); got != e.want {
					t.Errorf("answer %d to %s: got %+v, want %+v", i, e.request.Kind, got, e.want)
				}
			}
		})
	}
}

// TestHistorySize guards against memory that grows with each answer on a connection.
func TestHistorySize(t *testing.T) {
	history := New(opened)
	for i := range 4 * keptSigned {
		history.Judge(request(rattanstatement.Read), signed(strconv.Itoa(i)))
		history.Judge(request(rattanstatement.Set), at(rattanstatement.Result{}, uint64(i)))
		history.Judge(request(rattanstatement.Write), rattanstatement.Refuse(rattanstatement.Failed, strconv.Itoa(i)))
	}
	assertSize(t, history.signed, keptSigned)
	assertSize(t, history.unsigned, keptUnsigned)
	assertSize(t, history.errors, keptErrors)
	newest := signed(strconv.Itoa(4*keptSigned - 1))
	if got := history.Judge(request(rattanstatement.Read), newest); got != repeated {
		t.Errorf("the newest answer once more: got %+v, want %+v", got, repeated)
	}
}

func assertSize(t *testing.T, r ring, want int) {
	t.Helper()
	if len(r.entries) != want {
		t.Errorf("got %d entries, want %d", len(r.entries), want)
	}
}
