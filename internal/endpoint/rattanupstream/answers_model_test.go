package rattanupstream

import (
	"fmt"
	"maps"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// A modelRun is what the model of an endpoint ran.
type modelRun struct {
	vars          map[string]string
	inTransaction bool
	// mayLackSetup is true when a SET or RESET was refused on a connection on which answers
	// without a signature come twice.
	mayLackSetup bool
}

// A modelEndpoint runs statements, refuses some requests and repeats some answers later on
// the same connection.
type modelEndpoint struct {
	t       *rapid.T
	index   uint64
	runs    map[string]modelRun
	commits map[string]bool
}

func (e *modelEndpoint) dial(string, time.Duration) (Conn, error) {
	return &modelConn{endpoint: e, vars: make(map[string]string)}, nil
}

// A modelConn is a connection to the model. Copies of answers arrive before later answers,
// or at once after them.
type modelConn struct {
	endpoint *modelEndpoint
	status   rattanstatement.TransactionStatus
	vars     map[string]string
	written  []string
	// copies are answers that may come again, stream are those that were sent and not read.
	copies, stream []rattanstatement.Result
	// repeatsUnsigned is true when an answer without a signature comes twice.
	repeatsUnsigned bool
	// refusedSetup is true when a SET or RESET was refused.
	refusedSetup bool
	// arrived is how many answers of the stream can be read without waiting.
	arrived int
}

func (c *modelConn) Open(string, string, string) (rattanstatement.Result, error) {
	opened := c.finish(rattanstatement.Result{})
	copied := opened
	copied.IsPartial = true
	c.mayRepeat(copied)
	return opened, nil
}

func (c *modelConn) Send(requests ...rattanstatement.Request) error {
	for _, request := range requests {
		answer := c.finish(c.run(request))
		c.repeat()
		c.stream = append(c.stream, answer)
		c.mayRepeat(answer)
	}
	c.repeat()
	c.arrived = rapid.IntRange(c.arrived, len(c.stream)).Draw(c.endpoint.t, "arrived")
	return nil
}

func (c *modelConn) mayRepeat(answer rattanstatement.Result) {
	if rapid.IntRange(0, 2).Draw(c.endpoint.t, "twice") == 0 {
		c.copies = append(c.copies, answer)
		c.repeatsUnsigned = c.repeatsUnsigned || answer.OK() && answer.Signature == ""
	}
}

// repeat lets some of the copies arrive.
func (c *modelConn) repeat() {
	if n := len(c.copies); n > 0 && rapid.IntRange(0, 3).Draw(c.endpoint.t, "copies") == 0 {
		i := rapid.IntRange(0, n-1).Draw(c.endpoint.t, "copy")
		c.stream = append(c.stream, c.copies[i])
		c.copies = append(c.copies[:i:i], c.copies[i+1:]...)
	}
}

func (c *modelConn) finish(result rattanstatement.Result) rattanstatement.Result {
	result.TransactionStatus, result.Position = c.status, rattanmodel.Position{Term: 1, Index: c.endpoint.index}
	return result
}

func (c *modelConn) run(request rattanstatement.Request) rattanstatement.Result {
	if rapid.IntRange(0, 5).Draw(c.endpoint.t, "refused") == 0 {
		if c.status == rattanstatement.InTransaction {
			c.status = rattanstatement.FailedTransaction
		}
		c.refusedSetup = c.refusedSetup || request.Kind == rattanstatement.Set || request.Kind == rattanstatement.Reset
		codes := []rattanstatement.Code{rattanstatement.Busy, rattanstatement.Failed}
		if request.ID != "" || request.Kind == rattanstatement.Begin {
			codes = append(codes, rattanstatement.ReadOnly)
		}
		return rattanstatement.Refuse(rapid.SampledFrom(codes).Draw(c.endpoint.t, "code"), "e1")
	}
	switch request.Kind {
	case rattanstatement.Begin, rattanstatement.BeginRead:
		c.status = rattanstatement.InTransaction
	case rattanstatement.Rollback:
		c.status, c.written = rattanstatement.Idle, nil
	case rattanstatement.Set:
		c.vars[request.Name] = request.Argument
	case rattanstatement.Reset:
		c.vars = make(map[string]string)
	default:
		return c.runStatement(request)
	}
	return rattanstatement.Result{}
}

func (c *modelConn) runStatement(request rattanstatement.Request) rattanstatement.Result {
	c.endpoint.runs[request.ID] = modelRun{vars: maps.Clone(c.vars), inTransaction: c.status == rattanstatement.InTransaction, mayLackSetup: c.refusedSetup && c.repeatsUnsigned}
	switch {
	case request.Kind == rattanstatement.Commit:
		for _, id := range c.written {
			c.endpoint.commits[id] = true
		}
		c.status, c.written = rattanstatement.Idle, nil
		c.endpoint.index++
	case request.Kind == rattanstatement.Write && c.status == rattanstatement.InTransaction:
		c.written = append(c.written, request.ID)
	case request.Kind == rattanstatement.Write:
		c.endpoint.commits[request.ID] = true
		c.endpoint.index++
	}
	return rattanstatement.Result{Rows: []string{"row of " + request.ID}, Signature: "signature of " + request.ID}
}

func (c *modelConn) Receive() (rattanstatement.Result, error) {
	if len(c.stream) == 0 {
		return rattanstatement.Result{}, os.ErrDeadlineExceeded
	}
	result := c.stream[0]
	c.stream, c.arrived = c.stream[1:], max(c.arrived-1, 0)
	return result, nil
}

func (c *modelConn) ParseStatus(rattanstatement.Result) (rattanstatement.EndpointStatus, error) {
	return rattanstatement.EndpointStatus{}, errUnused
}

func (c *modelConn) IsStale() bool               { return c.arrived > 0 }
func (c *modelConn) HasSurplus() bool            { return c.arrived > 0 }
func (c *modelConn) SetDeadline(time.Time) error { return nil }
func (c *modelConn) Close() error                { return nil }
func (c *modelConn) Abort() error                { return nil }

// A modelCaller sends statements and checks what it is told.
type modelCaller struct {
	t        *rapid.T
	endpoint *modelEndpoint
	upstream *Upstream
	next     int
	vars     map[string]string
}

func (m *modelCaller) statement(operation rattanwork.Operation) StatementRequest {
	m.next++
	deadline := time.Now().Add(time.Minute)
	return StatementRequest{
		AcquireRequest: AcquireRequest{Account: "miny", Kind: rattanwork.Kind{Operation: operation}, Objective: deadline, Deadline: deadline},
		StatementID:    strconv.Itoa(m.next), Text: fmt.Sprint("text ", m.next), SessionVars: m.vars,
	}
}

// check checks the answer to a statement: a success is its own, and after a promise it has
// not run outside a transaction that was rolled back.
func (m *modelCaller) check(statement StatementRequest, result rattanstatement.Result, err error, inTransaction bool) {
	id := statement.StatementID
	run, hasRun := m.endpoint.runs[id]
	if err == nil && result.OK() && result.Signature != "signature of "+id {
		m.t.Fatalf("statement %s: got %+v", id, result)
	}
	isPromise := isUnsent(err) || err == nil && result.Code.NotRun()
	if isPromise && m.endpoint.commits[id] {
		m.t.Fatalf("statement %s has taken effect and was told as %+v, %v", id, result, err)
	}
	// A SET that is refused while the answer to an earlier one arrives again cannot be told
	// from one that succeeds. What is told of the statement must hold all the same.
	if hasRun && !run.mayLackSetup && !maps.Equal(run.vars, m.vars) {
		m.t.Fatalf("statement %s ran with %v, want %v", id, run.vars, m.vars)
	}
	if hasRun && run.inTransaction != inTransaction {
		m.t.Fatalf("statement %s ran in a transaction: %t, want %t", id, run.inTransaction, inTransaction)
	}
}

func (m *modelCaller) read(*rapid.T) {
	statement := m.statement(rattanwork.Read)
	result, err := m.upstream.Read(statement)
	m.check(statement, result, err, false)
}

func (m *modelCaller) write(*rapid.T) {
	statement := m.statement(rattanwork.Write)
	statement.IsWrite = true
	result, err := m.upstream.Write(statement)
	m.check(statement, result, err, false)
}

func (m *modelCaller) transaction(t *rapid.T) {
	first := m.statement(rattanwork.Transaction)
	first.IsWrite = rapid.Bool().Draw(t, "write")
	transaction, result, err := m.upstream.Begin(Begin{First: first, AtPrimary: true})
	m.check(first, result, err, true)
	if transaction == nil {
		return
	}
	second := m.statement(rattanwork.Transaction)
	second.IsWrite = rapid.Bool().Draw(t, "writes then")
	result, err = transaction.Run(second, time.Now().Add(time.Minute))
	m.check(second, result, err, true)
	if err != nil || !result.OK() {
		transaction.Abort()
		m.checkCommit(second, false)
		return
	}
	if rapid.Bool().Draw(t, "rollback") {
		transaction.Rollback()
		m.checkCommit(second, false)
		return
	}
	commit := m.statement(rattanwork.Transaction)
	commit.IsCommit = true
	result, err = transaction.Commit(commit)
	m.check(commit, result, err, true)
	if err == nil {
		m.checkCommit(second, result.OK())
	}
}

func (m *modelCaller) checkCommit(write StatementRequest, want bool) {
	if got := m.endpoint.commits[write.StatementID]; write.IsWrite && got != want {
		m.t.Fatalf("the write %s is committed: %t, want %t", write.StatementID, got, want)
	}
}

func (m *modelCaller) set(t *rapid.T) {
	name := rapid.SampledFrom([]string{"zone", "unit"}).Draw(t, "name")
	m.vars = map[string]string{name: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "value")}
}

// TestRepeatedAnswersModel guards against an answer that is taken for that to another
// request, in any order of statements, refusals and repeated answers.
func TestRepeatedAnswersModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoint := &modelEndpoint{t: t, runs: make(map[string]modelRun), commits: make(map[string]bool)}
		limits := rattanadmission.Limits{InFlight: 1, Connections: 1}
		upstream := New(rattanclock.System(), endpoint.dial, allGrants{}, rattancatalog.Endpoint{ID: "e1", Group: "orders"}, limits, func(string) {}, func() {})
		caller := &modelCaller{t: t, endpoint: endpoint, upstream: upstream}
		t.Repeat(map[string]func(*rapid.T){"read": caller.read, "write": caller.write, "transaction": caller.transaction, "set": caller.set})
	})
}
