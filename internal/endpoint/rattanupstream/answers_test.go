package rattanupstream

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattananswer"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// A stutterConn gets a part of a script after each request that is sent: the results that
// arrive then. Without one, the answer is lost.
type stutterConn struct {
	endpoint *stutterEndpoint
	script   [][]rattanstatement.Result
	arrived  []rattanstatement.Result
}

func (c *stutterConn) Open(string, string, string) (rattanstatement.Result, error) {
	return rattanstatement.Result{}, nil
}

func (c *stutterConn) Send(requests ...rattanstatement.Request) error {
	for _, request := range requests {
		c.endpoint.sent = append(c.endpoint.sent, request.Kind)
		if len(c.script) > 0 {
			c.arrived = append(c.arrived, c.script[0]...)
			c.script = c.script[1:]
		}
	}
	return nil
}

func (c *stutterConn) Receive() (rattanstatement.Result, error) {
	if len(c.arrived) == 0 {
		return rattanstatement.Result{}, os.ErrDeadlineExceeded
	}
	result := c.arrived[0]
	c.arrived = c.arrived[1:]
	return result, nil
}

func (c *stutterConn) ParseStatus(result rattanstatement.Result) (rattanstatement.EndpointStatus, error) {
	return rattanstatement.EndpointStatus{IsPrimary: true, Received: result.Position}, nil
}

func (c *stutterConn) IsStale() bool               { return len(c.arrived) > 0 }
func (c *stutterConn) HasSurplus() bool            { return len(c.arrived) > 0 }
func (c *stutterConn) SetDeadline(time.Time) error { return nil }
func (c *stutterConn) Close() error                { return nil }
func (c *stutterConn) Abort() error                { return nil }

// A stutterEndpoint serves one connection for each script.
type stutterEndpoint struct {
	scripts [][][]rattanstatement.Result
	dialed  int
	sent    []rattanstatement.Kind
}

var errNoScript = errors.New("the test has no further connection")

func (e *stutterEndpoint) dial(string, time.Duration) (Conn, error) {
	if e.dialed == len(e.scripts) {
		return nil, errNoScript
	}
	e.dialed++
	return &stutterConn{endpoint: e, script: e.scripts[e.dialed-1]}, nil
}

// allGrants grant every endpoint as the primary.
type allGrants struct{}

func (allGrants) Primary(string) (string, bool)                       { return "e1", true }
func (allGrants) Track(string, string, func()) (done func(), ok bool) { return func() {}, true }
func (allGrants) ObserveTerm(string, uint64) bool                     { return false }

// newStuttering returns an upstream whose endpoint serves one connection for each script.
func newStuttering(scripts ...[][]rattanstatement.Result) (*Upstream, *stutterEndpoint) {
	endpoint := &stutterEndpoint{scripts: scripts}
	limits := rattanadmission.Limits{InFlight: 3, Connections: 3}
	upstream := New(rattanclock.System(), endpoint.dial, allGrants{}, rattancatalog.Endpoint{ID: "e1", Group: "orders"}, limits, func(string) {}, func() {})
	return upstream, endpoint
}

func stutterRequest(id string) StatementRequest {
	deadline := time.Now().Add(time.Second)
	return StatementRequest{AcquireRequest: AcquireRequest{Account: "miny", Kind: rattanwork.Kind{Operation: rattanwork.Read}, Objective: deadline, Deadline: deadline}, StatementID: id, Text: "text " + id}
}

func stutterWrite(id string) StatementRequest {
	request := stutterRequest(id)
	request.IsWrite, request.Kind.Operation = true, rattanwork.Write
	return request
}

// row returns the signed answer with a row; every n has a signature of its own.
func row(n int, status rattanstatement.TransactionStatus) rattanstatement.Result {
	text := strconv.Itoa(n)
	return rattanstatement.Result{
		Rows: []string{"row " + text}, Signature: "signature " + text, TransactionStatus: status,
		Position: rattanmodel.Position{Term: 1, Index: uint64(n)},
	}
}

var (
	done  = rattanstatement.Result{}
	begun = rattanstatement.Result{TransactionStatus: rattanstatement.InTransaction}
	busy  = rattanstatement.Refuse(rattanstatement.Busy, "e1")
)

func assertRow(t *testing.T, result rattanstatement.Result, err error, n int) {
	t.Helper()
	if want := "signature " + strconv.Itoa(n); err != nil || result.Signature != want {
		t.Errorf("got %+v, %v, want the answer with %q", result, err, want)
	}
}

func assertError(t *testing.T, result rattanstatement.Result, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("got %+v, %v, want the error %v", result, err, want)
	}
}

func assertDialed(t *testing.T, endpoint *stutterEndpoint, want int) {
	t.Helper()
	if endpoint.dialed != want {
		t.Errorf("got %d connections, want %d", endpoint.dialed, want)
	}
}

func assertSent(t *testing.T, endpoint *stutterEndpoint, kind rattanstatement.Kind, want int) {
	t.Helper()
	sent := 0
	for _, k := range endpoint.sent {
		if k == kind {
			sent++
		}
	}
	if sent != want {
		t.Errorf("got %d requests %s, want %d", sent, kind, want)
	}
}

type script = [][]rattanstatement.Result

// TestRepeatedAnswer guards against the second copy of an answer that is taken for the
// answer to a later request.
func TestRepeatedAnswer(t *testing.T) {
	const idle, open = rattanstatement.Idle, rattanstatement.InTransaction
	t.Run("late", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{row(1, idle)}, {row(1, idle), row(2, idle)}}, script{{row(3, idle)}})
		for n := 1; n <= 3; n++ {
			result, err := upstream.Read(stutterRequest(strconv.Itoa(n)))
			assertRow(t, result, err, n)
		}
		assertDialed(t, endpoint, 2)
	})
	t.Run("of a write", func(t *testing.T) {
		upstream, _ := newStuttering(script{{row(1, idle)}, {row(1, idle), row(2, idle)}})
		for n := 1; n <= 2; n++ {
			result, err := upstream.Write(stutterWrite(strconv.Itoa(n)))
			assertRow(t, result, err, n)
		}
	})
	t.Run("before the next request", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{row(1, idle), row(1, idle)}}, script{{row(2, idle)}})
		for n := 1; n <= 2; n++ {
			result, err := upstream.Read(stutterRequest(strconv.Itoa(n)))
			assertRow(t, result, err, n)
		}
		assertDialed(t, endpoint, 2)
	})
	t.Run("own one lost", func(t *testing.T) {
		upstream, _ := newStuttering(script{{row(1, idle)}, {row(1, idle)}})
		result, err := upstream.Write(stutterWrite("1"))
		assertRow(t, result, err, 1)
		result, err = upstream.Write(stutterWrite("2"))
		assertError(t, result, err, ErrTimeout)
	})
	t.Run("in a transaction", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{begun}, {begun, row(1, open)}, {begun, row(1, open), row(2, idle)}}, script{{row(3, idle)}})
		transaction, result, err := upstream.Begin(Begin{First: stutterWrite("1"), AtPrimary: true})
		assertRow(t, result, err, 1)
		if transaction == nil {
			t.Fatal("the transaction did not begin")
		}
		commit := stutterRequest("2")
		commit.IsCommit = true
		result, err = transaction.Commit(commit)
		assertRow(t, result, err, 2)
		result, err = upstream.Read(stutterRequest("3"))
		assertRow(t, result, err, 3)
		assertDialed(t, endpoint, 2)
	})
	t.Run("position", func(t *testing.T) {
		upstream, _ := newStuttering(script{{row(9, idle)}, {rattanstatement.Result{Signature: "signature 9", Position: rattanmodel.Position{Term: 7, Index: 99}}}})
		_, _ = upstream.Read(stutterRequest("1"))
		_, _ = upstream.Read(stutterRequest("2"))
		if got, want := upstream.State().Position, row(9, idle).Position.String(); got != want {
			t.Errorf("got the position %s, want %s", got, want)
		}
	})
	t.Run("greeting before a status", func(t *testing.T) {
		greeting := rattanstatement.Result{IsPartial: true}
		report := rattanstatement.Result{Rows: []string{"primary 1 1.5"}, Position: rattanmodel.Position{Term: 1, Index: 5}}
		upstream, _ := newStuttering(script{{greeting, report}})
		status, err := upstream.Status(time.Second)
		if err != nil || status.Received != report.Position {
			t.Errorf("got %+v, %v", status, err)
		}
	})
}

// TestRepeatedError guards against a write that ran and is told as refused, because the
// error of an earlier request has come twice.
func TestRepeatedError(t *testing.T) {
	const idle, open = rattanstatement.Idle, rattanstatement.InTransaction
	t.Run("write", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{busy}, {busy, row(1, idle)}}, script{{row(2, idle)}})
		if result, err := upstream.Write(stutterWrite("1")); err != nil || result.Code != rattanstatement.Busy {
			t.Errorf("got %+v, %v", result, err)
		}
		result, err := upstream.Write(stutterWrite("2"))
		assertRow(t, result, err, 2)
		assertDialed(t, endpoint, 2)
	})
	t.Run("transaction", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{busy}, {busy, begun}}, script{{begun}, {row(2, open)}})
		_, _ = upstream.Read(stutterRequest("1"))
		first := stutterRequest("2")
		first.Kind.Operation = rattanwork.Transaction
		_, result, err := upstream.Begin(Begin{First: first})
		assertRow(t, result, err, 2)
		assertDialed(t, endpoint, 2)
	})
	t.Run("read", func(t *testing.T) {
		first := busy
		first.Position = rattanmodel.Position{Term: 1, Index: 1}
		upstream, endpoint := newStuttering(script{{first}, {first, row(1, idle)}}, script{{row(2, idle)}})
		for _, position := range []rattanmodel.Position{first.Position, {}} {
			if result, err := upstream.Read(stutterRequest("1")); err != nil || result.Code != rattanstatement.Busy || result.Position != position {
				t.Errorf("got %+v, %v, want busy at %s", result, err, position)
			}
		}
		result, err := upstream.Read(stutterRequest("2"))
		assertRow(t, result, err, 2)
		assertDialed(t, endpoint, 2)
	})
}

// TestSetupBeforeStatement guards against a statement that runs although the session
// variable or prepared statement that it needs was refused, or may have been.
func TestSetupBeforeStatement(t *testing.T) {
	const idle = rattanstatement.Idle
	withValue := func(request StatementRequest) StatementRequest {
		request.SessionVars = map[string]string{"zone": "a"}
		return request
	}
	t.Run("refused", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{rattanstatement.Refuse(rattanstatement.Failed, "e1")}, {row(1, idle)}})
		result, err := upstream.Write(withValue(stutterWrite("1")))
		assertError(t, result, err, ErrOverloaded)
		assertSent(t, endpoint, rattanstatement.Write, 0)
	})
	t.Run("unanswered", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{}, {row(1, idle)}})
		result, err := upstream.Write(withValue(stutterWrite("1")))
		assertError(t, result, err, ErrOverloaded)
		assertSent(t, endpoint, rattanstatement.Write, 0)
	})
	t.Run("answered twice", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{done, done}, {row(1, idle)}})
		result, err := upstream.Write(withValue(stutterWrite("1")))
		assertError(t, result, err, ErrOverloaded)
		assertSent(t, endpoint, rattanstatement.Write, 0)
	})
	t.Run("answered", func(t *testing.T) {
		upstream, _ := newStuttering(script{{done}, {row(1, idle)}})
		result, err := upstream.Write(withValue(stutterWrite("1")))
		assertRow(t, result, err, 1)
	})
	t.Run("write in a transaction that may not have begun", func(t *testing.T) {
		first := script{{begun}, {row(2, rattanstatement.InTransaction)}, {row(3, idle)}, {begun, busy}, {row(4, idle)}}
		upstream, endpoint := newStuttering(first, script{{begun}, {row(5, rattanstatement.InTransaction)}})
		transaction, result, err := upstream.Begin(Begin{First: stutterWrite("1"), AtPrimary: true})
		assertRow(t, result, err, 2)
		commit := stutterRequest("2")
		commit.IsCommit = true
		result, err = transaction.Commit(commit)
		assertRow(t, result, err, 3)
		_, result, err = upstream.Begin(Begin{First: stutterWrite("3"), AtPrimary: true})
		assertRow(t, result, err, 5)
		assertSent(t, endpoint, rattanstatement.Write, 2)
	})
	t.Run("commit", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{begun}, {row(1, rattanstatement.InTransaction)}, {busy}})
		transaction, result, err := upstream.Begin(Begin{First: stutterWrite("1"), AtPrimary: true})
		assertRow(t, result, err, 1)
		commit := withValue(stutterRequest("2"))
		commit.IsCommit = true
		result, err = transaction.Commit(commit)
		assertError(t, result, err, ErrOverloaded)
		assertSent(t, endpoint, rattanstatement.Commit, 0)
	})
	t.Run("empty value", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{done}, {row(1, idle)}})
		request := stutterRequest("1")
		request.SessionVars = map[string]string{"zone": ""}
		result, err := upstream.Read(request)
		assertRow(t, result, err, 1)
		assertSent(t, endpoint, rattanstatement.Set, 1)
	})
}

// TestNotWhole guards against a success that is told although the endpoint's answer lacks
// a part.
func TestNotWhole(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer rattanstatement.Result
	}{
		{"no signature", rattanstatement.Result{Rows: []string{"a"}, Position: rattanmodel.Position{Term: 1, Index: 1}}},
		{"neither success nor error", rattanstatement.Result{Rows: []string{"a"}, IsPartial: true}},
		{"in a transaction", row(1, rattanstatement.InTransaction)},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstream, endpoint := newStuttering(script{{test.answer}, {test.answer}}, script{{row(2, rattanstatement.Idle)}})
			result, err := upstream.Write(stutterWrite("1"))
			assertError(t, result, err, ErrTimeout)
			result, err = upstream.Read(stutterRequest("2"))
			assertRow(t, result, err, 2)
			assertDialed(t, endpoint, 2)
		})
	}
}

// TestErrorOfSetup guards against a write that ran and is told as refused, because the error
// of its setup came after the late copy of an earlier answer had been taken for another one.
func TestErrorOfSetup(t *testing.T) {
	const idle = rattanstatement.Idle
	at := func(index uint64) rattanstatement.Result {
		return rattanstatement.Result{Position: rattanmodel.Position{Term: 1, Index: index}}
	}
	with := func(request StatementRequest, name, value string) StatementRequest {
		request.SessionVars = map[string]string{name: value}
		return request
	}
	t.Run("the copy counts for the request before", func(t *testing.T) {
		upstream, endpoint := newStuttering(script{{at(1)}, {row(1, idle)}, {at(1), at(2)}, {}, {busy, row(2, idle)}})
		result, err := upstream.Write(with(stutterWrite("1"), "zone", "a"))
		assertRow(t, result, err, 1)
		// RESET gets the copy, SET the answer to RESET.
		result, err = upstream.Write(with(stutterWrite("2"), "unit", "a"))
		assertError(t, result, err, ErrOverloaded)
		assertSent(t, endpoint, rattanstatement.Write, 1)
	})
	t.Run("two copies", func(t *testing.T) {
		upstream, _ := newStuttering(script{{at(1)}, {row(1, idle)}, {at(1), at(2)}, {}, {at(1)}, {busy, row(2, idle)}})
		result, err := upstream.Write(with(stutterWrite("1"), "zone", "a"))
		assertRow(t, result, err, 1)
		result, err = upstream.Write(with(stutterWrite("2"), "unit", "a"))
		assertError(t, result, err, ErrTimeout)
	})
	t.Run("the copy has been forgotten", func(t *testing.T) {
		const writes = 30
		var answers script
		for n := 1; n <= writes; n++ {
			answers = append(answers, []rattanstatement.Result{at(uint64(n))}, []rattanstatement.Result{row(n, idle)})
		}
		upstream, endpoint := newStuttering(append(answers, []rattanstatement.Result{at(1)}, []rattanstatement.Result{busy, row(writes+1, idle)}))
		for n := 1; n <= writes; n++ {
			result, err := upstream.Write(with(stutterWrite(strconv.Itoa(n)), "zone", strconv.Itoa(n)))
			assertRow(t, result, err, n)
		}
		result, err := upstream.Write(with(stutterWrite("last"), "zone", "last"))
		assertError(t, result, err, ErrOverloaded)
		assertSent(t, endpoint, rattanstatement.Write, writes)
	})
}

// A malformedConn is a connection whose endpoint sends what the protocol does not allow.
type malformedConn struct{ stutterConn }

func (c *malformedConn) Receive() (rattanstatement.Result, error) {
	return rattanstatement.Result{}, errors.Wrap(rattanstatement.ErrMalformedAnswer, "no message")
}

// untrustedReasons counts the untrusted answers by their reasons.
type untrustedReasons map[rattananswer.Reason]int

func (r untrustedReasons) ObserveUntrusted(answer UntrustedAnswer) { r[answer.Reason]++ }

// TestMalformedAnswer guards against an answer that the protocol does not allow and that is
// told of as one that is missing, for which the endpoint is probed.
func TestMalformedAnswer(t *testing.T) {
	upstream, _ := newStuttering()
	dialed, reasons := 0, make(untrustedReasons)
	upstream.dial = func(string, time.Duration) (Conn, error) {
		dialed++
		return &malformedConn{stutterConn{endpoint: &stutterEndpoint{}}}, nil
	}
	upstream.SetAnswerObserver(reasons)
	result, err := upstream.Write(stutterWrite("1"))
	assertError(t, result, err, ErrTimeout)
	if reasons[rattananswer.ReasonMalformed] != 1 || dialed != 1 {
		t.Errorf("got %v and %d connections", reasons, dialed)
	}
}
