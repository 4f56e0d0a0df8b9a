package rattanupstream

import (
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

// A scriptedConn answers each request with the next result; after them, answers are lost.
// Successes of callers' statements are signed.
type scriptedConn struct {
	Conn
	results []rattanstatement.Result
	// sent are the requests that have no answer yet, signed counts the signatures.
	sent   []rattanstatement.Request
	signed int
}

func (c *scriptedConn) Send(requests ...rattanstatement.Request) error {
	c.sent = append(c.sent, requests...)
	return nil
}

func (c *scriptedConn) SetDeadline(time.Time) error { return nil }

func (c *scriptedConn) Receive() (rattanstatement.Result, error) {
	if len(c.results) == 0 {
		return rattanstatement.Result{}, errors.New("the connection was closed")
	}
	result, request := c.results[0], c.sent[0]
	c.results, c.sent = c.results[1:], c.sent[1:]
	if request.ID != "" && result.OK() {
		c.signed++
		result.Signature = strconv.Itoa(c.signed)
	}
	return result, nil
}

// A runCounts counts the requests of each account.
type runCounts map[string]int

func (c runCounts) CountRun(account string, _ time.Time) { c[account]++ }

// TestCountRun guards against an account that is billed for what did not run, for each
// statement of a transaction, or not at all.
func TestCountRun(t *testing.T) {
	begin, rollback := rattanstatement.Request{Kind: rattanstatement.Begin}, rattanstatement.Request{Kind: rattanstatement.Rollback}
	statement := rattanstatement.Request{ID: "1", Kind: rattanstatement.Read, Text: "READ i1"}
	atPosition := rattanstatement.Request{ID: "1", Kind: rattanstatement.Read, Text: "READ i1", MinPosition: rattanmodel.Position{Term: 1, Index: 1}}
	commit := rattanstatement.Request{ID: "1", Kind: rattanstatement.Commit, Text: "COMMIT"}
	repeat := rattanstatement.Request{ID: "1", Kind: rattanstatement.Read, Text: "READ i1", IsRepeat: true}
	idle, open := rattanstatement.Result{}, rattanstatement.Result{TransactionStatus: rattanstatement.InTransaction}
	refused := func(code rattanstatement.Code) rattanstatement.Result { return rattanstatement.Refuse(code, "") }
	for _, test := range []struct {
		name     string
		requests []rattanstatement.Request
		results  []rattanstatement.Result
		want     int
	}{
		{"statements", []rattanstatement.Request{statement, statement}, []rattanstatement.Result{idle, idle}, 2},
		{"refused", []rattanstatement.Request{statement, atPosition}, []rattanstatement.Result{refused(rattanstatement.Busy), refused(rattanstatement.Behind)}, 0},
		{"refused without a minimum position", []rattanstatement.Request{statement, statement}, []rattanstatement.Result{refused(rattanstatement.Busy), refused(rattanstatement.Behind)}, 0},
		{"refused twice alike", []rattanstatement.Request{atPosition, atPosition}, []rattanstatement.Result{refused(rattanstatement.Behind), refused(rattanstatement.Behind)}, 0},
		{"failed", []rattanstatement.Request{statement}, []rattanstatement.Result{refused(rattanstatement.Failed)}, 1},
		{"repeated", []rattanstatement.Request{statement, repeat}, []rattanstatement.Result{refused(rattanstatement.Failed), idle}, 1},
		{"repeated transaction", []rattanstatement.Request{begin, repeat, commit}, []rattanstatement.Result{open, open, idle}, 0},
		{"answer lost", []rattanstatement.Request{statement}, nil, 1},
		{"transaction", []rattanstatement.Request{begin, statement, statement, commit}, []rattanstatement.Result{open, open, open, idle}, 1},
		{"transaction and statement", []rattanstatement.Request{begin, statement, commit, statement}, []rattanstatement.Result{open, open, idle, idle}, 2},
		{"transactions", []rattanstatement.Request{begin, statement, rollback, begin, statement, commit}, []rattanstatement.Result{open, open, idle, open, open, idle}, 2},
		{"no statement runs", []rattanstatement.Request{begin, statement, rollback}, []rattanstatement.Result{open, refused(rattanstatement.Busy), idle}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			counts := make(runCounts)
			upstream := New(rattanclock.System(), nil, rattangrant.New(rattanclock.System(), time.Second), rattancatalog.Endpoint{}, rattanadmission.Limits{}, func(string) {}, func() {})
			upstream.SetRunCounter(counts)
			conn := newPooledConn(upstream, &scriptedConn{results: test.results}, rattanstatement.Result{}, "miny")
			for _, request := range test.requests {
				// The result is that of the script.
				_, _ = conn.Run(nil, request, time.Now().Add(time.Second))
			}
			if counts["miny"] != test.want {
				t.Errorf("got %d requests, want %d", counts["miny"], test.want)
			}
		})
	}
}
