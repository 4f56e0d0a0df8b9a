package rattanupstream

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// probeTimeout limits one probe of an endpoint. Opening a connection to a
	// healthy one takes a few milliseconds.
	probeTimeout = 150 * time.Millisecond
	// probeInterval is the wait between two probes of an endpoint that does not
	// answer but does not count as unreachable yet.
	probeInterval = 50 * time.Millisecond
	// unreachableInterval is the wait between two probes of an endpoint that counts
	// as unreachable.
	unreachableInterval = 150 * time.Millisecond
	// answeredPause is how long an endpoint that answered a probe is not probed again. A
	// statement that is sent after the answer counts as late only after lateAnswerDelay.
	answeredPause = 100 * time.Millisecond
	// lateAnswerDelay is how long an answer may take before the endpoint is probed,
	// while the request goes on waiting.
	lateAnswerDelay = 120 * time.Millisecond
	// unreachableAfterProbes is how many probes in a row must fail before the endpoint
	// counts as unreachable.
	unreachableAfterProbes = 2
)

// errProbeFailed says that no connection for a probe could be opened.
var errProbeFailed = errors.New("the endpoint did not answer a probe")

// reachability is whether an endpoint accepts connections. A request that gets no
// answer does not make the endpoint unreachable by itself; only failed probes do.
type reachability struct {
	isProbing    bool
	failedProbes int
	// answeredAt is when the endpoint last answered a probe.
	answeredAt time.Time
	// unreachable is closed while the endpoint is unreachable.
	unreachable   chan struct{}
	isUnreachable bool
	// onChange is called, without the lock, when the endpoint becomes unreachable or
	// reachable again.
	onChange func()
}

func newReachability(onChange func()) reachability {
	return reachability{unreachable: make(chan struct{}), onChange: onChange}
}

func (r *reachability) isSuspect() bool { return r.isUnreachable }

func (r *reachability) markReachable() {
	r.failedProbes = 0
	if r.isUnreachable {
		r.isUnreachable = false
		r.unreachable = make(chan struct{})
		go r.onChange()
	}
}

func (r *reachability) markUnreachable() {
	if !r.isUnreachable {
		r.isUnreachable = true
		close(r.unreachable)
		go r.onChange()
	}
}

// startProbing probes the endpoint in the background after a request or connection
// failed, unless it is being probed already.
func (u *Upstream) startProbing() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reachability.isProbing || u.isClosed || u.clock.Now().Sub(u.reachability.answeredAt) < answeredPause {
		return
	}
	u.reachability.isProbing = true
	go u.probe()
}

// ObserveTimeout records that a request got no answer in time. The endpoint is
// probed.
func (u *Upstream) ObserveTimeout() { u.startProbing() }

// IsSuspect reports whether the endpoint counts as unreachable.
func (u *Upstream) IsSuspect() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reachability.isSuspect()
}

// probe connects to the endpoint again and again until it answers or the Upstream is
// closed. While the endpoint is unreachable, idle connections are closed.
func (u *Upstream) probe() {
	for {
		err := u.probeOnce()
		u.mu.Lock()
		done := u.observeProbe(err)
		idle := []*PooledConn(nil)
		if u.reachability.isUnreachable {
			idle = u.queue.TakeIdle()
		}
		u.mu.Unlock()
		closeAll(idle)
		if done {
			return
		}
		interval := probeInterval
		if u.IsSuspect() {
			interval = unreachableInterval
		}
		<-u.clock.After(interval)
	}
}

// observeProbe records the result of a probe. It reports whether probing ends.
func (u *Upstream) observeProbe(err error) (done bool) {
	if u.isClosed {
		return true
	}
	if err == nil {
		u.reachability.answeredAt = u.clock.Now()
		u.reachability.markReachable()
		u.reachability.isProbing = false
		return true
	}
	u.reachability.failedProbes++
	if u.reachability.failedProbes >= unreachableAfterProbes {
		u.reachability.markUnreachable()
	}
	return false
}

func (u *Upstream) probeOnce() error {
	u.count(CountProbed)
	conn, err := u.dial(u.Endpoint().Address, probeTimeout)
	if err != nil {
		return errors.Wrap(errProbeFailed, err.Error())
	}
	return conn.Close()
}

// Status requests the endpoint's state over a connection outside the queue.
func (u *Upstream) Status(timeout time.Duration) (Status, error) {
	return u.control(timeout, statusRequest)
}
