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
	// maxAttempts bounds the attempts of one call of Failover or Promote.
	maxAttempts = 4
	// initialBackoff is the mean wait before the second attempt; it doubles with
	// each further attempt.
	initialBackoff = 100 * time.Millisecond
	// maxPromoteCalls bounds the calls of Endpoint.Promote in one attempt. The call
	// is repeated because a response may be lost after the endpoint has started the
	// term.
	maxPromoteCalls = 3
)

// A Coordinator promotes endpoints to primary. It may be terminated at any step,
// and coordinators of several daemons may act on one group: each attempt promotes
// at most one endpoint in its term, and only after a majority has promised the
// term to this attempt. A Coordinator is safe for concurrent use; calls for the
// same group run one after the other.
type Coordinator struct {
	self        Daemon
	tracker     *Tracker
	endpoints   EndpointLookup
	clock       rattanclock.Clock
	pauseWrites func(ctx context.Context, group string) (resume func())
	random      func() float64

	mu         sync.Mutex
	attempt    uint64
	groupLocks map[string]chan struct{}
}

// A CoordinatorOption changes a Coordinator.
type CoordinatorOption func(*Coordinator)

// WithPauseWrites sets the function that holds back new writes of a group before
// a planned switchover, until resume is called.
func WithPauseWrites(pause func(ctx context.Context, group string) (resume func())) CoordinatorOption {
	return func(c *Coordinator) { c.pauseWrites = pause }
}

// WithRandom sets the source of jitter, which returns numbers from 0 up to, but
// not including, 1.
func WithRandom(random func() float64) CoordinatorOption {
	return func(c *Coordinator) { c.random = random }
}

// NewCoordinator returns a Coordinator. The incarnation of self must differ for
// each start of the daemon, because endpoints promise a term to a name that is
// made of the daemon's name and incarnation.
func NewCoordinator(self Daemon, tracker *Tracker, endpoints EndpointLookup, clock rattanclock.Clock, options ...CoordinatorOption) *Coordinator {
	c := &Coordinator{
		self:        self,
		tracker:     tracker,
		endpoints:   endpoints,
		clock:       clock,
		pauseWrites: func(context.Context, string) func() { return func() {} },
		random:      rand.Float64,
		groupLocks:  map[string]chan struct{}{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Failover replaces the failed primary of a term by the endpoint with the
// highest position. It returns ErrSuperseded when a higher term already has a
// primary; otherwise the error wraps that of the last attempt.
func (c *Coordinator) Failover(ctx context.Context, group string, term uint64) (Promotion, error) {
	return c.changePrimary(ctx, group, term, "")
}

// Promote makes target the primary. If the current primary responds, this is a
// planned switchover: new writes are held back until the target has caught up.
// With an empty target it acts as Failover of the current term.
//
// ErrUnknownEndpoint, ErrNoMajority and, with an empty Promotion, ErrTargetBehind
// come from checks before any endpoint is fenced: the attempt that returns them
// has changed nothing. If a fenced endpoint has a higher position than the target,
// the one with the highest position becomes primary, and Promote returns its
// Promotion together with ErrTargetBehind.
func (c *Coordinator) Promote(ctx context.Context, group, target string) (Promotion, error) {
	view := c.tracker.View(group)
	if _, ok := view.Endpoint(target); target != "" && !ok {
		return Promotion{}, errors.Wrapf(ErrUnknownEndpoint, "%s in group %s", target, group)
	}
	return c.changePrimary(ctx, group, view.Term, target)
}

func (c *Coordinator) changePrimary(ctx context.Context, group string, term uint64, target string) (Promotion, error) {
	unlock, err := c.lockGroup(ctx, group)
	if err != nil {
		return Promotion{}, err
	}
	defer unlock()
	started := c.clock.Now()
	for attempt := range maxAttempts {
		var promotion Promotion
		promotion, err = c.tryOnce(ctx, group, term, target)
		promotion.Took = c.clock.Now().Sub(started)
		if promotion.Primary != "" || err == nil || isPermanent(err) {
			return promotion, err
		}
		if waitErr := c.backOff(ctx, attempt); waitErr != nil {
			return Promotion{}, errors.Wrapf(err, "promotion in group %s cancelled in attempt %d", group, attempt+1)
		}
	}
	return Promotion{}, errors.Wrapf(err, "promotion in group %s failed after %d attempts", group, maxAttempts)
}

// isPermanent reports whether err rules out another attempt.
func isPermanent(err error) bool {
	for _, sentinel := range []error{ErrUnknownGroup, ErrSuperseded, ErrTargetBehind, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// tryOnce makes one attempt: it queries the status of all endpoints, fences a
// majority, chooses a candidate and promotes it.
func (c *Coordinator) tryOnce(ctx context.Context, group string, replaced uint64, target string) (Promotion, error) {
	view := c.tracker.View(group)
	if len(view.Endpoints) == 0 {
		return Promotion{}, errors.Wrap(ErrUnknownGroup, group)
	}
	// A coordinator that does not reach a majority must not fence any endpoint.
	statuses := c.callAll(ctx, view, func(ctx context.Context, e Endpoint) (*rattanv1.EndpointStatus, error) { return e.Status(ctx) })
	if len(statuses) < view.Majority() {
		return Promotion{}, errors.Wrapf(ErrNoMajority, "%d of %d responded to the status query", len(statuses), len(view.Endpoints))
	}
	if now := c.tracker.View(group); now.Term > replaced && now.Primary != "" {
		return Promotion{}, errors.Wrapf(ErrSuperseded, "%s is primary in term %d", now.Primary, now.Term)
	}
	if target != "" {
		resume := c.pauseWrites(ctx, group)
		defer resume()
		if err := c.catchUp(ctx, statuses, target); err != nil {
			return Promotion{}, err
		}
	}
	term, attemptName := nextTerm(view.Term, statuses), c.nextAttemptName()
	fenced := c.callAll(ctx, view, func(ctx context.Context, e Endpoint) (*rattanv1.EndpointStatus, error) {
		return e.Fence(ctx, term, attemptName)
	})
	if len(fenced) < view.Majority() {
		return Promotion{}, errors.Wrapf(ErrPreempted, "%d of %d promised term %d", len(fenced), len(view.Endpoints), term)
	}
	candidates := fenced
	if target == "" {
		candidates = withoutFailedPrimary(view, fenced)
	}
	chosen := choose(view, candidates, target)
	status, err := c.promoteInTerm(ctx, chosen, term, attemptName, fenced)
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

// promoteInTerm calls Endpoint.Promote until the chosen endpoint is primary of
// the term. Once the first call is sent, no other endpoint may be promoted in this
// term, since the call may take effect although its response was lost.
func (c *Coordinator) promoteInTerm(ctx context.Context, chosen string, term uint64, attemptName string, fenced []response) (*rattanv1.EndpointStatus, error) {
	var err error
	for range maxPromoteCalls {
		var status *rattanv1.EndpointStatus
		status, err = c.callPromote(ctx, chosen, term, attemptName, endpointNames(fenced))
		if err == nil {
			c.tracker.Observe(chosen, status)
			return status, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if status, statusErr := c.callStatus(ctx, chosen); statusErr == nil && status.GetTerm() == term && (response{status: status}).isPrimary() {
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

func (c *Coordinator) callPromote(ctx context.Context, chosen string, term uint64, attemptName string, fenced []string) (*rattanv1.EndpointStatus, error) {
	ctx, cancel := withTimeout(ctx, c.clock, CallTimeout)
	defer cancel()
	return c.endpoints(chosen).Promote(ctx, term, attemptName, fenced)
}

// nextAttemptName returns the coordinator name of one attempt, which no other
// attempt has. A term that was promised to one attempt must not be used by a later
// one, which may choose another endpoint.
func (c *Coordinator) nextAttemptName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt++
	return fmt.Sprintf("%s/%d#%d", c.self.Name, c.self.Incarnation, c.attempt)
}

// lockGroup waits until no other call for the group runs in this coordinator.
func (c *Coordinator) lockGroup(ctx context.Context, group string) (unlock func(), err error) {
	c.mu.Lock()
	lock := c.groupLocks[group]
	if lock == nil {
		lock = make(chan struct{}, 1)
		c.groupLocks[group] = lock
	}
	c.mu.Unlock()
	select {
	case lock <- struct{}{}:
		return func() { <-lock }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// backOff waits between half and one and a half times the mean backoff. The jitter
// keeps coordinators that preempt each other from retrying at the same time.
func (c *Coordinator) backOff(ctx context.Context, attempt int) error {
	mean := initialBackoff << attempt
	select {
	case <-c.clock.After(mean/2 + time.Duration(c.random()*float64(mean))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
