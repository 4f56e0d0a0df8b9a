package rattantransaction

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

type fakeConnection struct {
	executed   atomic.Int32
	rolledBack atomic.Int32
	running    atomic.Int32
	overlapped atomic.Bool
	done       chan struct{}
	// refusal is the error of the first statement.
	refusal error
	// rollbackTime is how long a rollback takes.
	rollbackTime time.Duration
}

func (c *fakeConnection) Execute(context.Context, *rattanv1.Statement) (*rattanv1.Result, error) {
	if c.running.Add(1) > 1 {
		c.overlapped.Store(true)
	}
	time.Sleep(10 * time.Millisecond)
	c.running.Add(-1)
	executed := c.executed.Add(1)
	if executed == 1 && c.refusal != nil {
		return nil, c.refusal
	}
	return &rattanv1.Result{Affected: int64(executed)}, nil
}

func (c *fakeConnection) Commit(context.Context, string) (rattanmodel.Position, error) {
	return rattanmodel.Position{Term: 1, Index: 7}, nil
}

func (c *fakeConnection) Rollback() {
	time.Sleep(c.rollbackTime)
	c.rolledBack.Add(1)
}

func (c *fakeConnection) Done() <-chan struct{} { return c.done }

var owner = Owner{ClientAccount: "shop/dealer", KeyID: "k1"}

func begin(ctx context.Context, t *testing.T, r *Registry) (ID, *fakeConnection) {
	t.Helper()
	connection := &fakeConnection{done: make(chan struct{})}
	id, err := r.Begin(ctx, owner, "shop/orders", func() (Connection, error) { return connection, nil })
	if err != nil {
		t.Fatalf("Begin: %v", err)
	}
	return id, connection
}

func assertReason(t *testing.T, err error, want rattanv1.Reason) {
	t.Helper()
	refusal, ok := rattanerr.AsRefusal(err)
	if !ok || refusal.Reason != want || refusal.RunState != rattanerr.NotRun {
		t.Fatalf("got %v, want a refusal with run state not_run and reason %s", err, want)
	}
}

// TestRegistry guards against statements of one transaction that overlap or run
// twice, transactions that another client account can use, and transactions that
// hold their connection after their end.
func TestRegistry(t *testing.T) {
	const idle = 30 * time.Second
	for _, tc := range []struct {
		name string
		run  func(ctx context.Context, t *testing.T, cancel func(), r *Registry)
	}{
		{"repeated statement number runs once", func(ctx context.Context, t *testing.T, _ func(), r *Registry) {
			id, connection := begin(ctx, t, r)
			first, err := r.Execute(ctx, id, owner, 1, nil)
			if err != nil {
				t.Fatal(err)
			}
			second, err := r.Execute(ctx, id, owner, 1, nil)
			if err != nil || first != second || connection.executed.Load() != 1 {
				t.Errorf("repeated statement: error %v, same result %t, executed %d times, want the same result and 1 execution", err, first == second, connection.executed.Load())
			}
			_, err = r.Execute(ctx, id, owner, 3, nil)
			assertReason(t, err, rattanv1.Reason_REASON_BAD_REQUEST)
		}},
		{"calls of one transaction do not overlap", func(ctx context.Context, t *testing.T, _ func(), r *Registry) {
			id, connection := begin(ctx, t, r)
			for range 4 {
				go func() { _, _ = r.Execute(ctx, id, owner, 1, nil) }()
			}
			time.Sleep(time.Second)
			if connection.overlapped.Load() || connection.executed.Load() != 1 {
				t.Errorf("calls overlapped %t, executed %d times, want no overlap and 1 execution", connection.overlapped.Load(), connection.executed.Load())
			}
		}},
		{"another client account cannot reach the transaction", func(ctx context.Context, t *testing.T, _ func(), r *Registry) {
			id, _ := begin(ctx, t, r)
			_, err := r.Execute(ctx, id, Owner{ClientAccount: "shop/other"}, 1, nil)
			assertReason(t, err, rattanv1.Reason_REASON_TRANSACTION_LOST)
		}},
		{"idle transaction is rolled back", func(ctx context.Context, t *testing.T, _ func(), r *Registry) {
			id, connection := begin(ctx, t, r)
			time.Sleep(idle + time.Second)
			if connection.rolledBack.Load() != 1 || r.Len() != 0 {
				t.Errorf("rolled back %d times with %d transactions open, want 1 rollback and none open", connection.rolledBack.Load(), r.Len())
			}
			_, err := r.Execute(ctx, id, owner, 1, nil)
			assertReason(t, err, rattanv1.Reason_REASON_TRANSACTION_LOST)
		}},
		{"end of the lifetime rolls the transaction back", func(ctx context.Context, t *testing.T, cancel func(), r *Registry) {
			_, connection := begin(ctx, t, r)
			cancel()
			synctest.Wait()
			if connection.rolledBack.Load() != 1 {
				t.Error("connection was not rolled back")
			}
		}},
		{"repeated commit has an unknown outcome", func(ctx context.Context, t *testing.T, _ func(), r *Registry) {
			id, _ := begin(ctx, t, r)
			if _, _, err := r.Commit(ctx, id, owner, "r1"); err != nil {
				t.Fatal(err)
			}
			_, _, err := r.Commit(ctx, id, owner, "r1")
			refusal, ok := rattanerr.AsRefusal(err)
			if !ok || refusal.RunState != rattanerr.Unknown || refusal.RequestID != "r1" {
				t.Errorf("repeated commit: got %v, want a refusal with unknown run state and request identifier r1", err)
			}
		}},
		{"drain rolls back the open transactions at its deadline", func(ctx context.Context, t *testing.T, _ func(), r *Registry) {
			_, connection := begin(ctx, t, r)
			drainCtx, cancelDrain := context.WithTimeout(ctx, time.Second)
			defer cancelDrain()
			if remaining := r.Drain(drainCtx); remaining != 1 || connection.rolledBack.Load() != 1 {
				t.Errorf("%d transactions left, rolled back %d times, want 1 of each", remaining, connection.rolledBack.Load())
			}
			_, err := r.Begin(ctx, owner, "g", nil)
			assertReason(t, err, rattanv1.Reason_REASON_SHUTTING_DOWN)
		}},
		{"drain waits for slow rollbacks once and not for each", func(ctx context.Context, t *testing.T, _ func(), r *Registry) {
			for range 5 {
				_, connection := begin(ctx, t, r)
				connection.rollbackTime = time.Second
			}
			drainCtx, cancelDrain := context.WithTimeout(ctx, time.Second)
			defer cancelDrain()
			start := time.Now()
			if remaining := r.Drain(drainCtx); remaining != 5 || time.Since(start) > 3*time.Second {
				t.Errorf("%d transactions were left and Drain took %s, want 5 and 2s", remaining, time.Since(start))
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := New(rattanclock.System(), "vm-a1", 3, Limits{MaxOpen: 10, IdleTimeout: idle})
				tc.run(ctx, t, cancel, r)
			})
		})
	}
}

// FuzzParseID guards against a panic on an identifier that a caller sends, and
// against an identifier that is accepted without a VM to forward to.
func FuzzParseID(f *testing.F) {
	f.Add(NewID("vm-a1", 3).String())
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err == nil && id.VM() == "" {
			t.Error("identifier without a VM was accepted")
		}
	})
}

// TestNumberOfAnotherStatement guards against a statement that gets the recorded
// answer of another one because both have the same number.
func TestNumberOfAnotherStatement(t *testing.T) {
	text := func(value string) *rattanv1.Value { return &rattanv1.Value{Kind: &rattanv1.Value_Text{Text: value}} }
	first := &rattanv1.Statement{Text: "SELECT amount FROM stock WHERE sku = ?", Arguments: []*rattanv1.Value{text("a"), text("b")}}
	for _, tc := range []struct {
		name  string
		other *rattanv1.Statement
	}{
		{"other text", &rattanv1.Statement{Text: "SELECT 1", Arguments: first.GetArguments()}},
		{"other argument", &rattanv1.Statement{Text: first.GetText(), Arguments: []*rattanv1.Value{text("a"), text("c")}}},
		{"arguments that are joined", &rattanv1.Statement{Text: first.GetText(), Arguments: []*rattanv1.Value{text("ab")}}},
		{"argument of another type", &rattanv1.Statement{
			Text: first.GetText(), Arguments: []*rattanv1.Value{text("a"), {Kind: &rattanv1.Value_Blob{Blob: []byte("b")}}},
		}},
		{"no arguments", &rattanv1.Statement{Text: first.GetText()}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := New(rattanclock.System(), "vm-1", 1, Limits{MaxOpen: 1, IdleTimeout: time.Minute})
				id, connection := begin(ctx, t, r)
				if _, err := r.Execute(ctx, id, owner, 1, first); err != nil {
					t.Fatal(err)
				}
				_, err := r.Execute(ctx, id, owner, 1, tc.other)
				assertReason(t, err, rattanv1.Reason_REASON_BAD_REQUEST)
				if _, err := r.Execute(ctx, id, owner, 1, first); err != nil || connection.executed.Load() != 1 {
					t.Errorf("repeated statement: error %v, executed %d times, want the recorded answer", err, connection.executed.Load())
				}
			})
		})
	}
}

// TestStatementAfterRefusedOne guards against a statement that gets the recorded
// refusal of another one: a caller uses the number of a statement that did not run
// again.
func TestStatementAfterRefusedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := New(rattanclock.System(), "vm-1", 1, Limits{MaxOpen: 1, IdleTimeout: time.Minute})
		id, connection := begin(ctx, t, r)
		connection.refusal = rattanerr.NewNotRun(rattanv1.Reason_REASON_CONFLICT, 0, "row is locked")
		for range 2 {
			_, err := r.Execute(ctx, id, owner, 1, &rattanv1.Statement{Text: "first"})
			assertReason(t, err, rattanv1.Reason_REASON_CONFLICT)
		}
		result, err := r.Execute(ctx, id, owner, 1, &rattanv1.Statement{Text: "second"})
		if err != nil || result.GetAffected() != 2 {
			t.Errorf("second statement: result %v, error %v, want a result of its own", result, err)
		}
	})
}
