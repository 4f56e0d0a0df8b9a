package rattanexecutor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadapter"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A fakeEndpoint answers each request with the next error of its script, and with
// success after the last one.
type fakeEndpoint struct {
	Endpoint
	status  *rattanv1.EndpointStatus
	script  []error
	ran     int
	waitErr error
	outcome rattanv1.RunState
}

func (e *fakeEndpoint) Blocked() bool { return false }

func (e *fakeEndpoint) Run(context.Context, Attempt, *rattanv1.RunStatementsRequest) (*rattanv1.RunStatementsResponse, error) {
	e.ran++
	if len(e.script) > 0 {
		err := e.script[0]
		e.script = e.script[1:]
		if err != nil {
			return nil, err
		}
	}
	return &rattanv1.RunStatementsResponse{
		Results:  []*rattanv1.Result{{Affected: 1}},
		Position: &rattanv1.Position{Term: 1, Index: 5},
		Status:   e.status,
	}, nil
}

func (e *fakeEndpoint) WaitPosition(context.Context, rattanmodel.Position) (*rattanv1.EndpointStatus, error) {
	return e.status, e.waitErr
}

func (e *fakeEndpoint) FindOutcome(context.Context, *rattanv1.FindOutcomeRequest) (*rattanv1.FindOutcomeResponse, error) {
	return &rattanv1.FindOutcomeResponse{RunState: e.outcome, Position: &rattanv1.Position{Term: 1, Index: 6}}, nil
}

// fakeGroup is a group of a primary "p" and replicas "r" and "s".
type fakeGroup struct {
	view      rattanmodel.GroupView
	endpoints map[string]*fakeEndpoint
}

func newFakeGroup(now time.Time) *fakeGroup {
	g := &fakeGroup{endpoints: make(map[string]*fakeEndpoint)}
	g.view = rattanmodel.GroupView{Group: "g", Term: 1, Primary: "p", TermHistory: rattanmodel.TermHistory{{Term: 1, StartIndex: 1}}}
	for _, name := range []string{"p", "r", "s"} {
		role := rattanv1.EndpointRole_ENDPOINT_ROLE_REPLICA
		if name == "p" {
			role = rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY
		}
		g.endpoints[name] = &fakeEndpoint{status: &rattanv1.EndpointStatus{Role: role, Term: 1}}
		g.view.Endpoints = append(g.view.Endpoints, rattanmodel.EndpointView{
			Name: name, Reachable: true, AgeKnown: true, ObservedAt: now, Position: rattanmodel.Position{Term: 1, Index: 9},
		})
	}
	return g
}

func (g *fakeGroup) View(string) rattanmodel.GroupView        { return g.view }
func (g *fakeGroup) Observe(string, *rattanv1.EndpointStatus) {}
func (g *fakeGroup) Refresh(string)                           {}
func (g *fakeGroup) Changed(string) <-chan struct{}           { return nil }
func (g *fakeGroup) Endpoint(name string) (Endpoint, bool) {
	endpoint, ok := g.endpoints[name]
	return endpoint, ok
}

func fault(kind rattanv1.EndpointFaultKind) error {
	return &rattanadapter.Fault{Kind: kind, Code: connect.CodeFailedPrecondition, Message: "fault"}
}

// TestWrite guards against a refusal that says that a write did not run although an
// earlier attempt may have run it, and against a write that succeeds when only the
// primary has acknowledged it.
func TestWrite(t *testing.T) {
	lost := connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))
	wrongTerm := fault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_WRONG_TERM)
	statement := fault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT)
	cancelled := fault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_CANCELLED)
	for _, tc := range []struct {
		name      string
		script    []error
		waitErr   error
		noPrimary bool
		ok        bool
		state     rattanerr.RunState
		reason    rattanv1.Reason
	}{
		{name: "served", ok: true},
		{name: "lost answer, repeated under the same identifier", script: []error{lost}, ok: true},
		{name: "wrong term, then the new primary", script: []error{wrongTerm}, ok: true},
		{name: "invalid statement", script: []error{statement}, state: rattanerr.NotRun, reason: rattanv1.Reason_REASON_BAD_REQUEST},
		{name: "lost answer, then invalid statement", script: []error{lost, statement}, state: rattanerr.Unknown, reason: rattanv1.Reason_REASON_BAD_REQUEST},
		{name: "lost answer, then cancelled", script: []error{lost, cancelled}, state: rattanerr.NotRun, reason: rattanv1.Reason_REASON_BAD_REQUEST},
		{name: "never acknowledged", waitErr: lost, state: rattanerr.Unknown, reason: rattanv1.Reason_REASON_NO_PRIMARY},
		{name: "no primary", noPrimary: true, state: rattanerr.NotRun, reason: rattanv1.Reason_REASON_NO_PRIMARY},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := newFakeGroup(time.Now())
				group.endpoints["p"].script = tc.script
				group.endpoints["r"].waitErr, group.endpoints["s"].waitErr = tc.waitErr, tc.waitErr
				if tc.noPrimary {
					group.view.Primary = ""
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				executor := New(rattanclock.System(), group, group, "a")
				start := time.Now()
				_, err := executor.Write(ctx, rattanservice.WriteRequest{Group: "g", RequestID: "1", AcknowledgeMajority: true})
				if tc.ok {
					if err != nil {
						t.Errorf("got %v, want success", err)
					}
					return
				}
				refusal, ok := rattanerr.AsRefusal(err)
				if !ok || refusal.RunState != tc.state || refusal.Reason != tc.reason {
					t.Errorf("got %v, want %s and %s", err, tc.state, tc.reason)
				}
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("final answer after %s, past the deadline", took)
				}
				synctest.Wait()
			})
		})
	}
}

// TestNoMajority guards against a write that waits for its whole deadline at a
// partitioned VM, although another VM could serve it.
func TestNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newFakeGroup(time.Now())
		group.view.Primary = ""
		group.view.Endpoints[0].Reachable, group.view.Endpoints[1].Reachable = false, false
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		_, err := New(rattanclock.System(), group, group, "a").Write(ctx, rattanservice.WriteRequest{Group: "g", RequestID: "1"})
		refusal, ok := rattanerr.AsRefusal(err)
		if took := time.Since(start); !ok || refusal.RunState != rattanerr.NotRun || refusal.RetryAfter == 0 || took > time.Second {
			t.Errorf("got %v after %s, want a refusal within 1 s", err, took)
		}
	})
}

// TestReadFallback guards against a read that is refused while another endpoint is
// not overloaded, and against one that is sent again although the statement is invalid.
func TestReadFallback(t *testing.T) {
	overloaded := rattanerr.NewNotRun(rattanv1.Reason_REASON_OVERLOADED, time.Second, "queue is full")
	read := func(t *testing.T, scripts map[string][]error) (*fakeGroup, error) {
		group := newFakeGroup(time.Now())
		for name, script := range scripts {
			group.endpoints[name].script = script
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := New(rattanclock.System(), group, group, "a").Read(ctx, rattanservice.ReadRequest{Group: "g"})
		return group, err
	}
	t.Run("next endpoint", func(t *testing.T) {
		if _, err := read(t, map[string][]error{"r": {overloaded}, "s": {overloaded}}); err != nil {
			t.Errorf("got %v, want the primary's answer", err)
		}
	})
	t.Run("all overloaded", func(t *testing.T) {
		_, err := read(t, map[string][]error{"p": {overloaded}, "r": {overloaded}, "s": {overloaded}})
		if refusal, ok := rattanerr.AsRefusal(err); !ok || refusal.Reason != rattanv1.Reason_REASON_OVERLOADED {
			t.Errorf("got %v, want a refusal for overload", err)
		}
	})
	t.Run("invalid statement", func(t *testing.T) {
		statement := fault(rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_STATEMENT)
		group, _ := read(t, map[string][]error{"p": {statement}, "r": {statement}, "s": {statement}})
		if ran := group.endpoints["p"].ran + group.endpoints["r"].ran + group.endpoints["s"].ran; ran != 1 {
			t.Errorf("statement was sent %d times, want once", ran)
		}
	})
}
