package rattandispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanfreshness"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanoutlier"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanplacement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

const (
	ms = time.Millisecond
	// lateBound is how long after it could be known a refusal may be told.
	lateBound = 50 * ms
	objective = 400 * ms
)

// A jumpingClock stands still but for the waits on it, which end at once.
type jumpingClock struct{ now time.Time }

func (c *jumpingClock) Now() time.Time { return c.now }

func (c *jumpingClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	done := make(chan time.Time, 1)
	done <- c.now
	return done
}

// A site is a group of a primary and two replicas, with the answers of its endpoints. It
// implements Endpoints and Owners.
type site struct {
	clock     *jumpingClock
	upstreams []*rattanupstream.Upstream
	history   *rattanfreshness.History
	replicas  *rattanfreshness.Replicas
	loads     map[string]rattanwork.Load
	answers   map[string]func() (rattanstatement.Result, error)
	asked     []string
}

func (s *site) Upstreams(string) []*rattanupstream.Upstream { return s.upstreams }

func (s *site) Upstream(id string) (*rattanupstream.Upstream, bool) {
	for _, u := range s.upstreams {
		if u.Endpoint().ID == id {
			return u, true
		}
	}
	return nil, false
}

func (s *site) IsLocal(rattancatalog.Endpoint) bool     { return true }
func (s *site) History(string) *rattanfreshness.History { return s.history }
func (s *site) Replicas() *rattanfreshness.Replicas     { return s.replicas }
func (s *site) Expect(u *rattanupstream.Upstream) Expectation {
	return Expectation{Load: s.loads[u.Endpoint().ID]}
}

func (s *site) Read(u *rattanupstream.Upstream, _ rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	id := u.Endpoint().ID
	s.asked = append(s.asked, id)
	return s.answers[id]()
}

func (s *site) Write(u *rattanupstream.Upstream, request rattanupstream.StatementRequest) (rattanstatement.Result, error) {
	return s.Read(u, request)
}

func (s *site) Begin(u *rattanupstream.Upstream, begin rattanupstream.Begin) (rattanupstream.Transaction, rattanstatement.Result, error) {
	result, err := s.Read(u, begin.First)
	return nil, result, err
}

// newSite returns a group whose replicas lag 1.5 s, and its dispatcher. All endpoints
// have room.
func newSite() (*site, *Dispatcher) {
	clock := &jumpingClock{now: time.UnixMilli(1_000_000)}
	s := &site{
		clock: clock, history: &rattanfreshness.History{}, replicas: rattanfreshness.NewReplicas(),
		loads: make(map[string]rattanwork.Load), answers: make(map[string]func() (rattanstatement.Result, error)),
	}
	grants := rattangrant.New(clock, time.Minute)
	grants.UpdateRecord("orders", rattangrant.PrimaryRecord{Primary: "primary", Version: 1}, 1)
	grants.MarkInitialSync(clock.now)
	for _, id := range []string{"primary", "r1", "r2"} {
		s.upstreams = append(s.upstreams, rattanupstream.New(clock, nil, grants, rattancatalog.Endpoint{ID: id, Group: "orders"},
			rattanadmission.Limits{Connections: 6, InFlight: 6}, func() {}))
		s.loads[id] = rattanwork.Load{Slots: 6, FreeSlots: 6, ServiceTime: 30 * ms}
		s.answers[id] = s.answer(rattanstatement.Result{Rows: []string{"ROW"}, Position: s.position(0)}, nil)
	}
	for age := 3 * time.Second; age >= 0; age -= 100 * ms {
		s.history.Observe(s.position(age), clock.now.Add(-age))
	}
	for _, id := range []string{"r1", "r2"} {
		s.replicas.Observe(id, 0, s.position(1500*ms), clock.now)
		s.answers[id] = s.answer(rattanstatement.Result{Code: rattanstatement.Behind, Position: s.position(1500 * ms)}, nil)
	}
	placer := rattanplacement.New(rattanplacement.FixedEgress{}, func() float64 { return 0.5 })
	return s, New(clock, s, s, grants, rattangrant.NewSwitchoverEstimator(clock), placer, func(rattanoutlier.Change) {})
}

// position returns the position of the primary some time before the start.
func (s *site) position(before time.Duration) rattanmodel.Position {
	return rattanmodel.Position{Term: 1, Index: uint64(10_000 - before/ms)}
}

// answer answers after 5 ms.
func (s *site) answer(result rattanstatement.Result, err error) func() (rattanstatement.Result, error) {
	return func() (rattanstatement.Result, error) {
		s.clock.now = s.clock.now.Add(5 * ms)
		return result, err
	}
}

// read runs a read of a session that has observed the primary's position some time before.
func (s *site) read(d *Dispatcher, observed, timeout time.Duration) (outcome Outcome, took time.Duration) {
	start := s.clock.now
	outcome = d.RunAutocommit(Request{
		Route: rattancatalog.Route{
			Name: "r", Group: "orders", Consistency: rattancatalog.ReadYourWrites, MaxStaleness: 2500 * ms,
			Timeout: timeout, LatencyObjective: objective,
		},
		SessionPosition: s.position(observed), Arrived: start,
	}, rattanstatemachine.Operation{})
	return outcome, s.clock.now.Sub(start)
}

func (s *site) assertAsked(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(s.asked) != fmt.Sprint(want) {
		t.Errorf("asked %v, want %v", s.asked, want)
	}
}

func assertRefused(t *testing.T, outcome Outcome, late time.Duration) {
	t.Helper()
	if outcome.Code != rattanstatement.Busy || !strings.Contains(outcome.Detail, "come back in") {
		t.Errorf("outcome %s %q, want a refusal with the time to come back", outcome.Code, outcome.Detail)
	}
	if late > lateBound {
		t.Errorf("refused %s after it could be known, want at most %s", late, lateBound)
	}
}

// TestReadsOfLaggingReplicas guards against reads that are sent to replicas which lack
// their position, and against refusals that come after rounds of attempts. The bound is
// that of issue 27, 50 ms after a refusal could be known.
func TestReadsOfLaggingReplicas(t *testing.T) {
	t.Run("to the primary", func(t *testing.T) {
		s, d := newSite()
		if outcome, _ := s.read(d, 0, time.Second); !outcome.OK() {
			t.Errorf("outcome %s", outcome.Code)
		}
		s.assertAsked(t, "primary")
	})
	t.Run("the primary is full: refused at once", func(t *testing.T) {
		s, d := newSite()
		load := s.loads["primary"]
		load.FreeSlots, load.Wait = 0, [rattanwork.Priorities]time.Duration{time.Second, time.Second, time.Second, time.Second}
		s.loads["primary"] = load
		outcome, took := s.read(d, 0, time.Second)
		assertRefused(t, outcome, took)
		s.assertAsked(t)
	})
	t.Run("the primary's owner refuses: not asked again", func(t *testing.T) {
		s, d := newSite()
		s.answers["primary"] = s.answer(rattanstatement.Result{}, errors.Wrap(rattanupstream.ErrOverloaded, "full"))
		outcome, took := s.read(d, 0, time.Second)
		assertRefused(t, outcome, took-5*ms)
		s.assertAsked(t, "primary")
	})
	t.Run("one holds the position before the deadline: late rather than not", func(t *testing.T) {
		s, d := newSite()
		s.answers["primary"] = s.answer(rattanstatement.Result{}, errors.Wrap(rattanupstream.ErrOverloaded, "full"))
		start := s.clock.now
		replica := func() (rattanstatement.Result, error) {
			lacks := start.Add(1500 * ms).Sub(s.clock.now)
			result := rattanstatement.Result{Position: s.position(lacks)}
			if lacks > 0 {
				result.Code = rattanstatement.Behind
			}
			return s.answer(result, nil)()
		}
		s.answers["r1"], s.answers["r2"] = replica, replica
		if outcome, _ := s.read(d, 0, 2*time.Second); !outcome.OK() {
			t.Errorf("outcome %s", outcome.Code)
		}
	})
	t.Run("a position that they hold: to a replica", func(t *testing.T) {
		s, d := newSite()
		for _, id := range []string{"r1", "r2"} {
			s.answers[id] = s.answer(rattanstatement.Result{Rows: []string{"ROW"}, Position: s.position(1400 * ms)}, nil)
		}
		if outcome, _ := s.read(d, 2*time.Second, 2*time.Second); !outcome.OK() || outcome.Endpoint == "primary" {
			t.Errorf("outcome %s of %s", outcome.Code, outcome.Endpoint)
		}
	})
}

// TestFailedReads guards against reads that end with the failure of one endpoint while
// others can serve them, and against attempts without end.
func TestFailedReads(t *testing.T) {
	fail := func(s *site, ids ...string) {
		for _, id := range ids {
			s.answers[id] = s.answer(rattanstatement.Result{Code: rattanstatement.Failed}, nil)
		}
	}
	t.Run("one replica fails: served by another endpoint", func(t *testing.T) {
		s, d := newSite()
		fail(s, "r1")
		s.answers["r2"] = s.answers["primary"]
		if outcome, took := s.read(d, 2*time.Second, 2*time.Second); !outcome.OK() || took > objective {
			t.Errorf("outcome %s after %s", outcome.Code, took)
		}
	})
	t.Run("all fail: told within the objective", func(t *testing.T) {
		s, d := newSite()
		fail(s, "primary", "r1", "r2")
		outcome, took := s.read(d, 2*time.Second, 2*time.Second)
		assertRefused(t, outcome, 0)
		if took > objective || len(s.asked) > maxPlacedAttempts {
			t.Errorf("%d attempts in %s", len(s.asked), took)
		}
	})
}
