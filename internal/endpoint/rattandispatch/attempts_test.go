package rattandispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

// newRunner returns a runner of a request that has just arrived, and two endpoints.
func newRunner() (*attemptRunner, *clockwork.FakeClock, []*rattanupstream.Upstream) {
	clock := clockwork.NewFakeClock()
	var upstreams []*rattanupstream.Upstream
	for _, id := range []string{"first", "second"} {
		endpoint := rattancatalog.Endpoint{ID: id}
		upstreams = append(upstreams, rattanupstream.New(clock, nil, nil, endpoint, rattanadmission.Limits{}, func(string) {}, func() {}))
	}
	request := Request{Arrived: clock.Now(), Route: rattancatalog.Route{LatencyObjective: 400 * time.Millisecond, Timeout: 2 * time.Second}}
	return &attemptRunner{dispatcher: &Dispatcher{clock: clock}, request: request}, clock, upstreams
}

// refuseFor returns an attempt that an owner refuses for lack of room, and counts the
// attempts.
func refuseFor(retryAfter time.Duration, attempts *int) func(*rattanupstream.Upstream) (Outcome, bool) {
	return func(upstream *rattanupstream.Upstream) (Outcome, bool) {
		*attempts++
		refusal := rattanwork.Refusal{Reason: "no room", RetryAfter: retryAfter}
		return Outcome{Endpoint: upstream.Endpoint().ID, Cause: &rattanupstream.OverloadedError{Refusal: refusal}}, false
	}
}

// TestRefusalIsToldAtOnce guards against a refusal that all owners have given and that the
// caller is told only after further attempts.
func TestRefusalIsToldAtOnce(t *testing.T) {
	runner, _, upstreams := newRunner()
	attempts := 0
	runner.try(upstreams, rattanmodel.Position{}, refuseFor(300*time.Millisecond, &attempts))
	if runner.pause(runner.request.deadline()) {
		t.Error("a request waits for room that comes too late for another attempt")
	}
	if detail := runner.refuseBusy().Detail; !strings.HasSuffix(detail, "come back in 300 ms") {
		t.Errorf("detail %q, want the time to come back", detail)
	}
}

// TestNoAttemptBeforeRoom guards against attempts at an owner that has just refused the
// statement for lack of room.
func TestNoAttemptBeforeRoom(t *testing.T) {
	runner, clock, upstreams := newRunner()
	attempts := 0
	refuse := refuseFor(60*time.Millisecond, &attempts)
	runner.try(upstreams, rattanmodel.Position{}, refuse)
	runner.try(upstreams, rattanmodel.Position{}, refuse)
	if attempts != 2 {
		t.Fatalf("%d attempts at 2 endpoints without room, want 2", attempts)
	}
	clock.Advance(60 * time.Millisecond)
	runner.try(upstreams, rattanmodel.Position{}, refuse)
	if attempts != 4 {
		t.Errorf("%d attempts once there is room, want 4", attempts)
	}
}

// TestMayHaveRun guards against the token of an operation that is returned although an
// endpoint may have run it, and against one that is lost with a refusal.
func TestMayHaveRun(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause []error
		want  bool
	}{
		{"no attempt", nil, false},
		{"no room", []error{rattanupstream.ErrOverloaded}, false},
		{"no answer, then no room", []error{rattanupstream.ErrTimeout, rattanupstream.ErrOverloaded}, true},
		{"unreachable, then no grant", []error{rattanupstream.ErrUnreachable, rattanupstream.ErrNoGrant}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runner, _, upstreams := newRunner()
			for _, cause := range test.cause {
				runner.try(upstreams[:1], rattanmodel.Position{}, func(*rattanupstream.Upstream) (Outcome, bool) {
					return Outcome{Cause: cause}, false
				})
			}
			if got := runner.refuse(rattanstatement.Busy, "", nil).MayHaveRun; got != test.want {
				t.Errorf("may have run: %t, want %t", got, test.want)
			}
			if got := runner.refuseBusy().MayHaveRun; got != test.want {
				t.Errorf("may have run when refused as busy: %t, want %t", got, test.want)
			}
		})
	}
}
