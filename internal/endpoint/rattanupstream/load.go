package rattanupstream

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
)

const (
	// serviceSmoothing and failureSmoothing are the weights of a new answer in the mean
	// time of a read and in the share of failures.
	serviceSmoothing = 0.1
	failureSmoothing = 0.05
	// failureHalving is the time without an answer after which the share of failures is
	// halved, so that an endpoint that has got nothing for long is tried again.
	failureHalving = 2 * time.Second
)

// answers are the time and the failures of an endpoint's last answers.
type answers struct {
	// service is the mean time of a successful read at the endpoint, from the request on
	// an open connection to the answer. Failures do not count, as they may be fast, but
	// reads without an answer do.
	service time.Duration
	// failures is the share of failures as of failuresAt.
	failures   float64
	failuresAt time.Time
}

// observeRead records the time of a read that was answered with success, or that was not
// answered at all.
func (a *answers) observeRead(took time.Duration) {
	if a.service == 0 {
		a.service = took
	}
	a.service += time.Duration(serviceSmoothing * float64(took-a.service))
}

func (a *answers) observe(isFailure bool, now time.Time) {
	sample := 0.0
	if isFailure {
		sample = 1
	}
	a.failures = a.failureShare(now)
	a.failures += failureSmoothing * (sample - a.failures)
	a.failuresAt = now
}

// failureShare returns the share of failures, halved for each failureHalving without an
// answer.
func (a *answers) failureShare(now time.Time) float64 {
	if a.failuresAt.IsZero() {
		return 0
	}
	share := a.failures
	for idle := now.Sub(a.failuresAt); idle >= failureHalving && share > 0.001; idle -= failureHalving {
		share /= 2
	}
	return share
}

// observeOutcome records what became of a request to the endpoint that was sent at a
// time. A refusal that says why it did not run is no failure.
func (u *Upstream) observeOutcome(result rattanstatement.Result, err error, isRead bool, sentAt time.Time) {
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	isFailure := err != nil || result.Code == rattanstatement.Failed || result.Code == rattanstatement.Timeout
	u.answers.observe(isFailure, now)
	if isRead && (err != nil || result.OK()) {
		u.answers.observeRead(now.Sub(sentAt))
	}
}

// Load returns the load of the endpoint as this daemon sees it from its own queue. The
// owner and the number of the report are not set.
func (u *Upstream) Load() rattanwork.Load {
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	limits := u.queue.Limits()
	load := rattanwork.Load{
		Endpoint: u.endpoint.ID, StartedUnixMS: u.endpoint.StartedUnixMS,
		Slots: limits.InFlight, FreeSlots: max(limits.InFlight-u.queue.Busy(), 0),
		FreeConnections: max(limits.Connections-u.queue.Connections(), 0),
		ServiceTime:     u.answers.service, FailureShare: u.answers.failureShare(now), Position: u.knownPosition,
	}
	for priority := range load.Wait {
		load.Wait[priority] = u.expectedWait(priority, now)
	}
	return load
}

// expectedWait returns the expected wait of a request of a priority that arrives now.
// The caller holds u.mu.
func (u *Upstream) expectedWait(_ int, _ time.Time) time.Duration { return u.queue.ExpectedWait() }
