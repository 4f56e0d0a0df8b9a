package rattanfailover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// attempts bounds the attempts of one call.
	attempts = 4
	// backoff is the mean wait before the second attempt; it doubles each time.
	backoff = 100 * time.Millisecond
	// promoteCalls bounds the calls of Promote in one attempt: an answer may be
	// lost after the endpoint has started the term.
	promoteCalls = 3
)

// A Coordinator changes primaries. It may die at any step and race with others:
// it promotes one endpoint per term, after a majority has promised that term to
// this attempt alone. It is safe for concurrent use; attempts on one group run
// one after the other.
type Coordinator struct {
	self      Daemon
	tracker   *Tracker
	endpoints EndpointLookup
	clock     rattanclock.Clock
	pause     func(ctx context.Context, group string) (resume func())
	random    func() float64

	mu      sync.Mutex
	attempt uint64
	turns   map[string]chan struct{}
}

// A CoordinatorOption changes a Coordinator.
type CoordinatorOption func(*Coordinator)

// WithPauseWrites sets the function that holds back new writes of a group before a
// planned switch. The writes go on when resume is called.
func WithPauseWrites(pause func(ctx context.Context, group string) (resume func())) CoordinatorOption {
	return func(c *Coordinator) { c.pause = pause }
}

// WithRandom sets the source of jitter: numbers from 0 up to 1.
func WithRandom(random func() float64) CoordinatorOption {
	return func(c *Coordinator) { c.random = random }
}

// NewCoordinator returns a Coordinator. self's incarnation must differ for each
// start of the daemon, because promises are given to its name and incarnation.
func NewCoordinator(self Daemon, tracker *Tracker, endpoints EndpointLookup, clock rattanclock.Clock, options ...CoordinatorOption) *Coordinator {
	c := &Coordinator{
		self:      self,
		tracker:   tracker,
		endpoints: endpoints,
		clock:     clock,
		pause:     func(context.Context, string) func() { return func() {} },
		random:    rand.Float64,
		turns:     map[string]chan struct{}{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Failover replaces the failed primary of a term by the endpoint with the
// highest position. The error is ErrSuperseded when a higher term has a primary
// already; otherwise it wraps the reason of the last attempt.
func (c *Coordinator) Failover(ctx context.Context, group string, term uint64) (Promotion, error) {
	return c.change(ctx, group, term, "")
}

// Promote makes target primary, in order when the present primary works: writes
// are held back and the target catches up first. With target empty it acts as
// Failover of the present term. Before any promise is asked for, it fails with
// ErrTargetBehind, ErrUnknownEndpoint or ErrNoMajority and changes nothing. If
// the fenced majority turns out to hold more than the target, the endpoint that
// holds most becomes primary, and the error is ErrTargetBehind.
func (c *Coordinator) Promote(ctx context.Context, group, target string) (Promotion, error) {
	view := c.tracker.View(group)
	if _, ok := view.Endpoint(target); target != "" && !ok {
		return Promotion{}, errors.Wrapf(ErrUnknownEndpoint, "%s in group %s", target, group)
	}
	return c.change(ctx, group, view.Term, target)
}

func (c *Coordinator) change(ctx context.Context, group string, term uint64, target string) (Promotion, error) {
	done, err := c.takeTurn(ctx, group)
	if err != nil {
		return Promotion{}, err
	}
	defer done()
	started := c.clock.Now()
	for attempt := range attempts {
		var promotion Promotion
		promotion, err = c.try(ctx, group, term, target)
		promotion.Took = c.clock.Now().Sub(started)
		if promotion.Primary != "" || err == nil || final(err) {
			return promotion, err
		}
		if waitErr := c.backOff(ctx, attempt); waitErr != nil {
			return Promotion{}, errors.Wrapf(err, "group %s, stopped in attempt %d", group, attempt+1)
		}
	}
	return Promotion{}, errors.Wrapf(err, "group %s, %d attempts", group, attempts)
}

// final reports whether another attempt makes no sense.
func final(err error) bool {
	for _, sentinel := range []error{ErrUnknownGroup, ErrSuperseded, ErrTargetBehind, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// try makes one attempt: survey, fence, choose, promote.
func (c *Coordinator) try(ctx context.Context, group string, replaced uint64, target string) (Promotion, error) {
	view := c.tracker.View(group)
	if len(view.Endpoints) == 0 {
		return Promotion{}, errors.Wrap(ErrUnknownGroup, group)
	}
	// The survey keeps a coordinator without a majority from fencing anything.
	surveyed := c.ask(ctx, view, func(ctx context.Context, e Endpoint) (*rattanv1.EndpointStatus, error) { return e.Status(ctx) })
	if len(surveyed) < view.Majority() {
		return Promotion{}, errors.Wrapf(ErrNoMajority, "%d of %d to the survey", len(surveyed), len(view.Endpoints))
	}
	if now := c.tracker.View(group); now.Term > replaced && now.Primary != "" {
		return Promotion{}, errors.Wrapf(ErrSuperseded, "%s in term %d", now.Primary, now.Term)
	}
	if target != "" {
		resume := c.pause(ctx, group)
		defer resume()
		if err := c.catchUp(ctx, surveyed, target); err != nil {
			return Promotion{}, err
		}
	}
	term, name := nextTerm(view.Term, surveyed), c.nextName()
	fenced := c.ask(ctx, view, func(ctx context.Context, e Endpoint) (*rattanv1.EndpointStatus, error) {
		return e.Fence(ctx, term, name)
	})
	if len(fenced) < view.Majority() {
		return Promotion{}, errors.Wrapf(ErrPreempted, "%d of %d promised term %d", len(fenced), len(view.Endpoints), term)
	}
	candidates := fenced
	if target == "" {
		candidates = withoutFailed(view, fenced)
	}
	chosen := choose(view, candidates, target)
	status, err := c.start(ctx, chosen, term, name, fenced)
	if err != nil {
		return Promotion{}, err
	}
	promotion := Promotion{
		Group:    group,
		Previous: view.Primary,
		Primary:  chosen,
		Term:     term,
		Position: rattanmodel.PositionFromWire(status.GetPosition()),
		Fenced:   endpointNames(fenced),
	}
	if target != "" && chosen != target {
		return promotion, errors.Wrapf(ErrTargetBehind, "%s is primary in place of %s", chosen, target)
	}
	return promotion, nil
}

// start calls Promote until the endpoint is primary of the term. After this
// term's first call no other endpoint may be tried in the same term.
func (c *Coordinator) start(ctx context.Context, chosen string, term uint64, name string, fenced []answer) (*rattanv1.EndpointStatus, error) {
	var err error
	for range promoteCalls {
		var status *rattanv1.EndpointStatus
		status, err = c.callPromote(ctx, chosen, term, name, endpointNames(fenced))
		if err == nil {
			c.tracker.Observe(chosen, status)
			return status, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if status, statusErr := c.callStatus(ctx, chosen); statusErr == nil && status.GetTerm() == term && (answer{status: status}).primary() {
		return status, nil
	}
	return nil, errors.Wrapf(err, "promote %s to term %d", chosen, term)
}

func (c *Coordinator) callStatus(ctx context.Context, endpoint string) (*rattanv1.EndpointStatus, error) {
	ctx, cancel := withTimeout(ctx, c.clock, CallTimeout)
	defer cancel()
	status, err := c.endpoints(endpoint).Status(ctx)
	if err == nil {
		c.tracker.Observe(endpoint, status)
	}
	return status, err
}

func (c *Coordinator) callPromote(ctx context.Context, chosen string, term uint64, name string, fenced []string) (*rattanv1.EndpointStatus, error) {
	ctx, cancel := withTimeout(ctx, c.clock, CallTimeout)
	defer cancel()
	return c.endpoints(chosen).Promote(ctx, term, name, fenced)
}

// nextName returns a name that no other attempt has: a promise to an attempt
// must not serve a later one, which may choose another endpoint.
func (c *Coordinator) nextName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt++
	return fmt.Sprintf("%s/%d#%d", c.self.Name, c.self.Incarnation, c.attempt)
}

// takeTurn waits until no other attempt on the group runs in this daemon.
func (c *Coordinator) takeTurn(ctx context.Context, group string) (done func(), err error) {
	c.mu.Lock()
	turn := c.turns[group]
	if turn == nil {
		turn = make(chan struct{}, 1)
		c.turns[group] = turn
	}
	c.mu.Unlock()
	select {
	case turn <- struct{}{}:
		return func() { <-turn }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// backOff waits between half and one and a half times the mean, so that
// coordinators that outbid each other do not stay in step.
func (c *Coordinator) backOff(ctx context.Context, attempt int) error {
	mean := backoff << attempt
	select {
	case <-c.clock.After(mean/2 + time.Duration(c.random()*float64(mean))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
