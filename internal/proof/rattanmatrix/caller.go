package rattanmatrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

const (
	// callTimeout is the deadline of every request.
	callTimeout = 4 * time.Second
	// thinkTime is the mean pause between two requests of a session.
	thinkTime = 60 * time.Millisecond
	// outcomeAttempts limits the attempts to look up an unknown outcome.
	outcomeAttempts = 8
)

// A caller is one session. It sends each request to a randomly chosen VM.
type caller struct {
	env     *environment
	session int
	account string
	random  *rand.Rand
	token   string
	// acknowledged lists the identifiers of acknowledged inserts.
	acknowledged []string
	next         int
}

// run sends a random mix of requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch n := c.random.IntN(100); {
		case n < 40:
			c.insert()
		case n < 75:
			c.read("")
		case n < 85:
			c.read(rattancluster.StaleRoute)
		case n < 95:
			c.transfer()
		default:
			c.readSum()
		}
		time.Sleep(thinkTime/2 + time.Duration(c.random.Int64N(int64(thinkTime))))
	}
}

func (c *caller) vm() *rattancluster.VM {
	vms := c.env.cluster.VMs()
	return vms[c.random.IntN(len(vms))]
}

func (c *caller) begin(kind kind, vm *rattancluster.VM) event {
	return event{kind: kind, session: c.session, account: c.account, vm: vm.Name(), start: time.Now(), acknowledged: len(c.acknowledged)}
}

// finish completes an event with the result of its request and records it.
func (c *caller) finish(e event, err error) {
	e.end = time.Now()
	e.ok = err == nil
	e.err = err
	if err != nil {
		e.state = runState(err)
	}
	if !e.lost && isLost(err) {
		e.lost, e.lostAt = true, e.end
	}
	c.env.record.add(e)
}

func (c *caller) insert() {
	vm := c.vm()
	e := c.begin(kindInsert, vm)
	e.id = fmt.Sprintf("s%d-%d", c.session, c.next)
	c.next++
	response, err := call(c, vm, rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
		Service:   service,
		RequestId: e.id,
		Statement: &rattanv1.Statement{
			Text:      "INSERT INTO items (id, amount) VALUES (?, ?)",
			Arguments: []*rattanv1.Value{text(e.id), integer(int64(c.session))},
		},
	})
	e.whole = response.GetRequestId() == e.id
	if err != nil && runState(err) == rattanerr.Unknown {
		e.lost, e.lostAt = isLost(err), time.Now()
		err = c.resolve(e.id, err)
		e.whole = err == nil
	}
	if err == nil {
		e.endpoint = response.GetEndpoint()
		c.acknowledged = append(c.acknowledged, e.id)
	}
	c.finish(e, err)
}

// resolve looks up the unknown outcome of a write. It returns nil if the write ran,
// an error with run state "not run" if it did not, and unknown if the outcome
// could not be looked up.
func (c *caller) resolve(id string, unknown error) error {
	for range outcomeAttempts {
		response, err := call(c, c.vm(), rattanv1connect.CallerServiceClient.GetOutcome,
			&rattanv1.GetOutcomeRequest{Service: service, RequestId: id})
		switch {
		case err != nil:
			time.Sleep(time.Second)
		case response.GetRunState() == rattanv1.RunState_RUN_STATE_RAN:
			return nil
		default:
			return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, 0, "outcome lookup returned not run")
		}
	}
	return unknown
}

func (c *caller) read(route string) {
	vm := c.vm()
	e := c.begin(kindRead, vm)
	response, err := call(c, vm, rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
		Service:  service,
		Route:    route,
		ReadOnly: true,
		Statement: &rattanv1.Statement{
			Text:      "SELECT id FROM items WHERE amount = ?",
			Arguments: []*rattanv1.Value{integer(int64(c.session))},
		},
	})
	e.endpoint = response.GetEndpoint()
	e.whole = response.GetResult() != nil
	for _, row := range response.GetResult().GetRows() {
		e.ids = append(e.ids, row.GetValues()[0].GetText())
	}
	c.finish(e, err)
}

func (c *caller) readSum() {
	vm := c.vm()
	e := c.begin(kindSum, vm)
	response, err := call(c, vm, rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
		Service: service, ReadOnly: true, Statement: &rattanv1.Statement{Text: "SELECT SUM(amount) FROM pair"},
	})
	e.endpoint = response.GetEndpoint()
	if err == nil {
		e.whole = len(response.GetResult().GetRows()) == 1
		e.sum = response.GetResult().GetRows()[0].GetValues()[0].GetInteger()
	}
	c.finish(e, err)
}

// transfer moves one unit between two rows in a transaction. Each call of the
// transaction goes to a randomly chosen VM.
func (c *caller) transfer() {
	e := c.begin(kindTransfer, c.vm())
	c.next++
	e.id = fmt.Sprintf("t%d-%d", c.session, c.next)
	err := c.runTransfer(e.id)
	e.whole = err == nil
	c.finish(e, err)
}

func (c *caller) runTransfer(id string) error {
	begun, err := call(c, c.vm(), rattanv1connect.CallerServiceClient.Begin, &rattanv1.BeginRequest{Service: service})
	if err != nil {
		return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, 0, "begin: %s", err)
	}
	for i, statement := range []string{
		"UPDATE pair SET amount = amount - 1 WHERE id = 1",
		"UPDATE pair SET amount = amount + 1 WHERE id = 2",
	} {
		_, err := call(c, c.vm(), rattanv1connect.CallerServiceClient.ExecuteInTransaction, &rattanv1.ExecuteInTransactionRequest{
			Transaction: begun.GetTransaction(),
			Sequence:    uint32(i + 1),
			Statement:   &rattanv1.Statement{Text: statement},
		})
		if err != nil {
			_, _ = call(c, c.vm(), rattanv1connect.CallerServiceClient.Rollback, &rattanv1.RollbackRequest{Transaction: begun.GetTransaction()})
			return rattanerr.NewNotRun(rattanv1.Reason_REASON_UNAVAILABLE, 0, "statement: %s", err)
		}
		c.intrude(begun.GetTransaction(), uint32(i+2))
	}
	_, err = call(c, c.vm(), rattanv1connect.CallerServiceClient.Commit, &rattanv1.CommitRequest{Transaction: begun.GetTransaction(), RequestId: id})
	if err != nil && runState(err) == rattanerr.Unknown {
		return c.resolve(id, err)
	}
	return err
}

// intrude sends a statement for the session's transaction with the key of another
// client account, which must be refused. sequence is the number of the session's next
// statement.
func (c *caller) intrude(transaction string, sequence uint32) {
	vm := c.vm()
	e := c.begin(kindIntrude, vm)
	e.account = intruderAccount
	_, _, err := send(vm, c.env.cluster.Key(intruderAccount), "", rattanv1connect.CallerServiceClient.ExecuteInTransaction,
		&rattanv1.ExecuteInTransactionRequest{
			Transaction: transaction,
			Sequence:    sequence,
			Statement:   &rattanv1.Statement{Text: "SELECT COUNT(*) FROM pair"},
		}, c.env)
	e.whole = true
	c.finish(e, err)
}

// flood sends reads at an interval that exceeds the rate of the client account, until
// ctx ends.
func (c *caller) flood(ctx context.Context, interval time.Duration) {
	vms := c.env.cluster.VMs()
	for i := 0; ctx.Err() == nil; i++ {
		// Half of the requests go to the first VM, the others to all VMs in
		// turn.
		vm := vms[0]
		if i%2 == 0 {
			vm = vms[i/2%len(vms)]
		}
		c.env.running.Go(func() {
			e := c.begin(kindFlood, vm)
			request := &rattanv1.ExecuteRequest{
				Service: service, ReadOnly: true, Statement: &rattanv1.Statement{Text: "SELECT COUNT(*) FROM pair"},
			}
			response, _, err := send(vm, c.env.cluster.Key(c.account), "", rattanv1connect.CallerServiceClient.Execute, request, c.env)
			e.whole = isPairCount(response)
			c.finish(e, err)
		})
		time.Sleep(interval)
	}
}

// call sends a request of the session and stores the new session token.
func call[Req, Res any](c *caller, vm *rattancluster.VM, method func(rattanv1connect.CallerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error), message *Req) (*Res, error) {
	response, token, err := send(vm, c.env.cluster.Key(c.account), c.token, method, message, c.env)
	if token != "" {
		c.token = token
	}
	return response, err
}

func send[Req, Res any](vm *rattancluster.VM, key, token string, method func(rattanv1connect.CallerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error), message *Req, env *environment) (*Res, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+key)
	request.Header().Set(rattanservice.SessionHeader, token)
	response, err := method(env.cluster.Caller(vm), ctx, request)
	if err != nil {
		var none Res
		return &none, "", err
	}
	return response.Msg, response.Header().Get(rattanservice.SessionHeader), nil
}

// runState returns the run state of an error that a caller got. A request is not run
// if its connection was refused, and unknown after any other error without a
// refusal, since its response was lost.
func runState(err error) rattanerr.RunState {
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		return refusal.RunState
	}
	if refusal := wireRefusal(err); refusal != nil {
		return rattanerr.RunStateFromWire(refusal.GetRunState())
	}
	if isDialError(err) {
		return rattanerr.NotRun
	}
	return rattanerr.Unknown
}

// isLost reports whether the caller got no response, because the connection ended or
// the request timed out.
func isLost(err error) bool {
	if err == nil || wireRefusal(err) != nil || isDialError(err) {
		return false
	}
	_, refused := rattanerr.AsRefusal(err)
	return !refused
}

// isPairCount reports whether a response is that to a count of the rows of pair. A
// read without a session may reach a replica that does not have both rows yet.
func isPairCount(response *rattanv1.ExecuteResponse) bool {
	const rows = 2
	got := response.GetResult().GetRows()
	return len(got) == 1 && len(got[0].GetValues()) == 1 && got[0].GetValues()[0].GetInteger() <= rows
}

func text(s string) *rattanv1.Value {
	return &rattanv1.Value{Kind: &rattanv1.Value_Text{Text: s}}
}

func integer(n int64) *rattanv1.Value {
	return &rattanv1.Value{Kind: &rattanv1.Value_Integer{Integer: n}}
}
