package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// A fault is injected into one attempt. run passes the request to the system.
type fault func(system *system, run func() (*http.Response, error)) (*http.Response, error)

func loseAnswer(_ *system, run func() (*http.Response, error)) (*http.Response, error) {
	_, _ = run()
	return nil, errors.New("connection reset")
}

func loseRequest(*system, func() (*http.Response, error)) (*http.Response, error) {
	return nil, errors.New("connection reset")
}

func failDial(*system, func() (*http.Response, error)) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

// shortenAnswer runs the request and takes everything out of the body of its answer.
func shortenAnswer(_ *system, run func() (*http.Response, error)) (*http.Response, error) {
	response, err := run()
	if err == nil {
		response.Body, response.ContentLength = http.NoBody, 0
	}
	return response, err
}

func refuse(refusal *rattanerr.Refusal) fault {
	return func(s *system, run func() (*http.Response, error)) (*http.Response, error) {
		s.refusal = refusal
		return run()
	}
}

// A system is two daemons in memory that share their state. It records, per
// request id, how often a write ran. Its session token is a list of the ids of the
// writes that the session has seen.
type system struct {
	rattanv1connect.UnimplementedCallerServiceHandler
	mu       sync.Mutex
	faults   []fault
	refusal  *rattanerr.Refusal
	hosts    []string
	starts   []time.Time
	ran      map[string]int
	canceled map[string]bool
	// unknown is how many of the next outcomes are reported as unknown.
	unknown int
	// seen are the session tokens of the last request.
	seen []string
}

func newSystem(faults ...fault) *system {
	return &system{faults: faults, ran: make(map[string]int), canceled: make(map[string]bool)}
}

func (s *system) RoundTrip(request *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, request.URL.Host)
	s.starts = append(s.starts, time.Now())
	s.seen = request.Header.Values(sessionHeader)
	run := func() (*http.Response, error) {
		recorder := httptest.NewRecorder()
		mux := http.NewServeMux()
		mux.Handle(rattanv1connect.NewCallerServiceHandler(s))
		mux.ServeHTTP(recorder, request)
		return recorder.Result(), nil
	}
	if len(s.faults) == 0 {
		return run()
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault(s, run)
}

// answer returns message with the session token and counts the writes as run, or
// returns the refusal that a fault has set.
func answer[A any](s *system, header http.Header, message *A, writes ...string) (*connect.Response[A], error) {
	if refusal := s.refusal; refusal != nil {
		s.refusal = nil
		err := connect.NewError(connect.CodeUnavailable, refusal)
		detail, _ := connect.NewErrorDetail(refusal.Wire())
		err.AddDetail(detail)
		return nil, err
	}
	for _, id := range writes {
		s.ran[id]++
	}
	response := connect.NewResponse(message)
	token := strings.Join(append(header.Values(sessionHeader), writes...), ".")
	response.Header().Set(sessionHeader, token)
	return response, nil
}

func (s *system) Execute(_ context.Context, request *connect.Request[rattanv1.ExecuteRequest]) (*connect.Response[rattanv1.ExecuteResponse], error) {
	if request.Header().Get("Authorization") != "Bearer rsk_test" {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("no key"))
	}
	id := request.Msg.GetRequestId()
	response := &rattanv1.ExecuteResponse{RequestId: id, Result: &rattanv1.Result{Affected: 1}}
	if request.Msg.GetReadOnly() {
		return answer(s, request.Header(), response)
	}
	return answer(s, request.Header(), response, id)
}

func (s *system) Begin(_ context.Context, request *connect.Request[rattanv1.BeginRequest]) (*connect.Response[rattanv1.BeginResponse], error) {
	return answer(s, request.Header(), &rattanv1.BeginResponse{Transaction: "t"})
}

func (s *system) ExecuteInTransaction(_ context.Context, request *connect.Request[rattanv1.ExecuteInTransactionRequest]) (*connect.Response[rattanv1.ExecuteInTransactionResponse], error) {
	return answer(s, request.Header(), &rattanv1.ExecuteInTransactionResponse{Result: &rattanv1.Result{Affected: 1}}, "statement "+strconv.Itoa(int(request.Msg.GetSequence())))
}

func (s *system) Commit(_ context.Context, request *connect.Request[rattanv1.CommitRequest]) (*connect.Response[rattanv1.CommitResponse], error) {
	return answer(s, request.Header(), &rattanv1.CommitResponse{RequestId: request.Msg.GetRequestId()}, request.Msg.GetRequestId())
}

func (s *system) GetOutcome(_ context.Context, request *connect.Request[rattanv1.GetOutcomeRequest]) (*connect.Response[rattanv1.GetOutcomeResponse], error) {
	id := request.Msg.GetRequestId()
	response := &rattanv1.GetOutcomeResponse{RunState: rattanv1.RunState_RUN_STATE_RAN, Results: []*rattanv1.Result{{Affected: 1}}}
	switch {
	case s.unknown > 0:
		s.unknown--
		response = &rattanv1.GetOutcomeResponse{RunState: rattanv1.RunState_RUN_STATE_UNKNOWN}
	case s.ran[id] == 0:
		s.canceled[id] = true
		response = &rattanv1.GetOutcomeResponse{RunState: rattanv1.RunState_RUN_STATE_NOT_RUN}
	}
	return answer(s, request.Header(), response)
}

func newClient(t *testing.T, s *system, options ...Option) *Client {
	t.Helper()
	options = append([]Option{WithHTTPClient(&http.Client{Transport: s})}, options...)
	c, err := New([]string{"http://one", "http://two"}, "rsk_test", options...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// run runs f against a system with injected faults, in simulated time.
func run(t *testing.T, f func(t *testing.T, s *system, c *Client), faults ...fault) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(faults...)
		f(t, s, newClient(t, s))
	})
}

// assertState fails the test unless err is an *Error with the run state.
func assertState(t *testing.T, err error, want RunState) *Error {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.RunState != want {
		t.Fatalf("got error %v, want run state %s", err, want)
	}
	return e
}

var (
	insert    = Statement{Text: "insert", Arguments: []any{1, "a", nil, 2.5, true, []byte("b")}}
	overRate  = rattanerr.NewNotRun(rattanv1.Reason_REASON_OVER_RATE, 300*time.Millisecond, "used up")
	permanent = rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0, "no such table")
	lost      = rattanerr.NewUnknown(rattanv1.Reason_REASON_ENDPOINT_FAILED, "", "answer lost")
)

// TestExecute guards against a write that, after each kind of failure, runs more
// often than it may or whose outcome is reported wrongly.
func TestExecute(t *testing.T) {
	for _, tc := range []struct {
		name     string
		faults   []fault
		options  []CallOption
		state    RunState // "" when the call succeeds
		ran      int
		attempts int
	}{
		{name: "no fault", ran: 1, attempts: 1},
		{name: "answer lost", faults: []fault{loseAnswer}, ran: 1, attempts: 2},
		{name: "request lost", faults: []fault{loseRequest}, state: NotRun, attempts: 2},
		{name: "unknown", faults: []fault{refuse(lost)}, state: NotRun, attempts: 2},
		{name: "not run", faults: []fault{refuse(overRate)}, ran: 1, attempts: 2},
		{name: "not run for good", faults: []fault{refuse(permanent)}, state: NotRun, attempts: 1},
		{name: "no connection", faults: []fault{failDial}, ran: 1, attempts: 2},
		{name: "not run, then answer lost", faults: []fault{refuse(overRate), loseAnswer}, ran: 1, attempts: 3},
		{name: "answer of the outcome lost too", faults: []fault{loseAnswer, loseAnswer}, ran: 1, attempts: 3},
		{name: "idempotent, answer lost", faults: []fault{loseAnswer}, options: []CallOption{Idempotent()}, ran: 2, attempts: 2},
		{name: "idempotent, answer lost, refused", faults: []fault{loseAnswer, refuse(permanent)}, options: []CallOption{Idempotent()}, ran: 1, attempts: 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, s *system, c *Client) {
				answer, err := c.Execute(t.Context(), "orders", insert, append(tc.options, WithRequestID("w1"))...)
				if tc.state != "" {
					if e := assertState(t, err, tc.state); e.RequestID != "w1" {
						t.Errorf("error has request id %q, want w1", e.RequestID)
					}
				} else if err != nil || answer.Affected != 1 || answer.RequestID != "w1" {
					t.Errorf("got %v, %v, want 1 affected row under request id w1", answer, err)
				}
				if s.ran["w1"] != tc.ran || len(s.ran) > 1 || len(s.hosts) != tc.attempts {
					t.Errorf("ran %v in %d attempts, want %d in %d", s.ran, len(s.hosts), tc.ran, tc.attempts)
				}
			}, tc.faults...)
		})
	}
}

// TestOutcomeUnknown guards against an unknown outcome that is reported as known,
// and against a client that gives up during a switchover of the group.
func TestOutcomeUnknown(t *testing.T) {
	run(t, func(t *testing.T, s *system, c *Client) {
		s.unknown = 2
		if _, err := c.Batch(t.Context(), "orders", []Statement{insert}); err == nil {
			t.Error("a batch that the test system does not implement succeeded")
		}
		if s.unknown != 0 || len(s.canceled) != 1 {
			t.Errorf("outcome was not requested until it was known: %d unknown outcomes left, want 0 and one cancelled write", s.unknown)
		}
	}, loseRequest)
	run(t, func(t *testing.T, s *system, c *Client) {
		s.unknown = 1000
		_, err := c.Execute(t.Context(), "orders", insert)
		assertState(t, err, Unknown)
	}, loseAnswer)
}

// TestDeadline guards against a wait for a retry that would be after the deadline,
// and against a write that leaves no time to find its outcome.
func TestDeadline(t *testing.T) {
	run(t, func(t *testing.T, s *system, c *Client) {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := c.Query(ctx, "orders", Statement{Text: "select"})
		if e := assertState(t, err, NotRun); e.RetryAfter != 300*time.Millisecond || e.Reason != OverRate {
			t.Errorf("got %+v, want the refusal over the rate with its retry-after", e)
		}
		if time.Since(s.starts[0]) != 0 {
			t.Error("waited for a retry that would be after the deadline")
		}
	}, refuse(overRate))
	hang := func(_ *system, run func() (*http.Response, error)) (*http.Response, error) {
		_, _ = run()
		time.Sleep(750 * time.Millisecond)
		return nil, context.DeadlineExceeded
	}
	run(t, func(t *testing.T, _ *system, c *Client) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := c.Execute(ctx, "orders", insert); err != nil {
			t.Errorf("outcome was not found before the deadline: %v", err)
		}
	}, hang)
}

// TestRetries guards against retries that ignore retry-after, stay at a daemon that
// does not serve, or exceed the budget.
func TestRetries(t *testing.T) {
	run(t, func(t *testing.T, s *system, c *Client) {
		if _, err := c.Query(t.Context(), "orders", Statement{Text: "select"}); err != nil {
			t.Fatal(err)
		}
		if waited := s.starts[1].Sub(s.starts[0]); waited != 300*time.Millisecond {
			t.Errorf("retried after %s, want the stated 300ms", waited)
		}
		if s.hosts[0] != s.hosts[1] || s.hosts[1] == s.hosts[2] {
			t.Errorf("attempts went to %v, want the other daemon only after a lost answer", s.hosts)
		}
	}, refuse(overRate), loseAnswer)
	run(t, func(t *testing.T, s *system, c *Client) {
		for range 100 {
			s.faults = slices.Repeat([]fault{loseAnswer}, defaultMaxAttempts)
			_, err := c.Query(t.Context(), "orders", Statement{Text: "select"}, OnRoute("browse"))
			assertState(t, err, Unknown)
		}
		// 10 in the budget at the start, 10 for 100 calls, and one for each second.
		limit := 20 + int(time.Since(s.starts[0])/time.Second) + 1
		if retries := len(s.hosts) - 100; retries > limit {
			t.Errorf("%d retries for 100 calls, want at most %d", retries, limit)
		}
	})
}

// TestSession guards against a session that loses a write because the answer of
// a concurrent request replaced its token.
func TestSession(t *testing.T) {
	var s session
	s.restore("a,b")
	first := s.send(http.Header{})
	second := s.send(http.Header{})
	s.receive(http.Header{sessionHeader: {"ab1"}}, first)
	s.receive(http.Header{sessionHeader: {"ab2"}}, second)
	s.receive(http.Header{}, second)
	if got := s.text(); got != "ab1,ab2" {
		t.Errorf("session holds %q, want the tokens of both answers", got)
	}
	run(t, func(t *testing.T, s *system, c *Client) {
		for _, id := range []string{"w1", "w2"} {
			if _, err := c.Execute(t.Context(), "orders", insert, WithRequestID(id)); err != nil {
				t.Fatal(err)
			}
		}
		moved := newClient(t, s, WithSession(c.Session()))
		if _, err := moved.Query(t.Context(), "orders", insert); err != nil || !slices.Equal(s.seen, []string{"w1.w2"}) {
			t.Errorf("restored session sent tokens %q, error %v, want the token of both writes", s.seen, err)
		}
		if c.NewSession().Session() != "" {
			t.Error("new session has the token of the old one")
		}
	})
}

// TestTx guards against a statement of a transaction that runs twice, and against a
// commit that is reported as failed because its answer was lost.
func TestTx(t *testing.T) {
	run(t, func(t *testing.T, s *system, c *Client) {
		tx, err := c.Begin(t.Context(), "orders")
		if err != nil {
			t.Fatal(err)
		}
		s.faults = []fault{loseRequest}
		for range 2 {
			if _, err := tx.Execute(t.Context(), insert); err != nil {
				t.Fatal(err)
			}
		}
		s.faults = []fault{loseAnswer}
		if err := tx.Commit(t.Context(), WithRequestID("c1")); err != nil {
			t.Fatal(err)
		}
		if s.ran["statement 1"] != 1 || s.ran["statement 2"] != 1 || s.ran["c1"] != 1 {
			t.Errorf("ran %v, want two statements and the commit once each", s.ran)
		}
	})
}

// TestBadInput guards against invalid input that causes a panic or is sent.
func TestBadInput(t *testing.T) {
	for _, urls := range [][]string{nil, {"localhost:7101"}, {"ftp://one"}, {"http://"}} {
		if _, err := New(urls, ""); !errors.Is(err, ErrBaseURL) {
			t.Errorf("New(%q): error %v, want ErrBaseURL", urls, err)
		}
	}
	run(t, func(t *testing.T, s *system, c *Client) {
		_, err := c.Execute(t.Context(), "orders", Statement{Arguments: []any{struct{}{}}})
		if e := assertState(t, err, NotRun); e.Reason != BadRequest || len(s.hosts) != 0 {
			t.Errorf("got %v after %d attempts, want a bad request without an attempt", e, len(s.hosts))
		}
	})
}

// TestShortenedAnswer guards against an answer that is not whole and is returned as a
// success without its result.
func TestShortenedAnswer(t *testing.T) {
	begin := func(t *testing.T, c *Client) *Tx {
		t.Helper()
		tx, err := c.Begin(t.Context(), "orders")
		if err != nil {
			t.Fatal(err)
		}
		return tx
	}
	for _, tc := range []struct {
		name string
		call func(t *testing.T, s *system, c *Client) (int64, error)
	}{
		{"write", func(t *testing.T, s *system, c *Client) (int64, error) {
			s.faults = []fault{shortenAnswer}
			answer, err := c.Execute(t.Context(), "orders", insert)
			return answer.Affected, err
		}},
		{"read", func(t *testing.T, s *system, c *Client) (int64, error) {
			s.faults = []fault{shortenAnswer}
			answer, err := c.Query(t.Context(), "orders", Statement{Text: "select"})
			return answer.Affected, err
		}},
		{"statement of a transaction", func(t *testing.T, s *system, c *Client) (int64, error) {
			tx := begin(t, c)
			s.faults = []fault{shortenAnswer}
			result, err := tx.Execute(t.Context(), insert)
			return result.Affected, err
		}},
		{"commit", func(t *testing.T, s *system, c *Client) (int64, error) {
			tx := begin(t, c)
			s.faults = []fault{shortenAnswer, shortenAnswer}
			err := tx.Commit(t.Context(), WithRequestID("c1"))
			return int64(len(s.hosts) - 3), err // the commit and two outcomes follow Begin
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, s *system, c *Client) {
				if affected, err := tc.call(t, s, c); err != nil || affected != 1 {
					t.Errorf("got %d, %v, want 1 from the whole answer", affected, err)
				}
			})
		})
	}
	t.Run("begin", func(t *testing.T) {
		run(t, func(t *testing.T, _ *system, c *Client) {
			_, err := c.Begin(t.Context(), "orders")
			assertState(t, err, Unknown)
		}, shortenAnswer)
	})
}
