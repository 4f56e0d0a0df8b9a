package rattanupstream

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// probeTimeout limits one probe of an endpoint that failed: a connection to
	// a healthy one takes a few milliseconds.
	probeTimeout = 150 * time.Millisecond
	// probeInterval separates the probes of an endpoint that does not answer.
	probeInterval = 50 * time.Millisecond
	// lostInterval separates the probes of an endpoint that counts as unreachable.
	lostInterval = 150 * time.Millisecond
	// lateAnswer is after how long without an answer an endpoint is probed while
	// the answer is still awaited.
	lateAnswer = 120 * time.Millisecond
	// suspectAfter is how many probes in a row must fail until the endpoint
	// counts as unreachable.
	suspectAfter = 2
)

// errNoAnswer is reported when an endpoint that was given up is unreachable.
var errNoAnswer = errors.New("the endpoint did not answer a probe")

// reach says whether an endpoint answers connections. A request without an
// answer alone says nothing: only probes decide.
type reach struct {
	isProbing bool
	failed    int
	// lost is closed while the endpoint is unreachable.
	lost   chan struct{}
	isLost bool
	// onChange is called, without the lock, when the endpoint is lost or regained.
	onChange func()
}

func newReach(onChange func()) reach { return reach{lost: make(chan struct{}), onChange: onChange} }

func (r *reach) isSuspect() bool { return r.isLost }

func (r *reach) noteAnswer() {
	r.failed = 0
	if r.isLost {
		r.isLost = false
		r.lost = make(chan struct{})
		go r.onChange()
	}
}

func (r *reach) lose() {
	if !r.isLost {
		r.isLost = true
		close(r.lost)
		go r.onChange()
	}
}

// noteFailure begins to probe the endpoint after a request or connection failed.
func (u *Upstream) noteFailure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reach.isProbing || u.isClosed {
		return
	}
	u.reach.isProbing = true
	go u.probe()
}

// ObserveTimeout says that a request got no answer in time.
func (u *Upstream) ObserveTimeout() { u.noteFailure() }

// IsSuspect reports whether the endpoint does not answer probes.
func (u *Upstream) IsSuspect() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reach.isSuspect()
}

// probe connects to the endpoint until it answers.
func (u *Upstream) probe() {
	for {
		err := u.probeOnce()
		u.mu.Lock()
		done := u.noteProbe(err)
		idle := []*PooledConn(nil)
		if u.reach.isLost {
			idle = u.queue.TakeIdle()
		}
		u.mu.Unlock()
		closeAll(idle)
		if done {
			return
		}
		interval := probeInterval
		if u.IsSuspect() {
			interval = lostInterval
		}
		<-u.clock.After(interval)
	}
}

func (u *Upstream) noteProbe(err error) (done bool) {
	if u.isClosed {
		return true
	}
	if err == nil {
		u.reach.noteAnswer()
		u.reach.isProbing = false
		return true
	}
	u.reach.failed++
	if u.reach.failed >= suspectAfter {
		u.reach.lose()
	}
	return false
}

func (u *Upstream) probeOnce() error {
	conn, err := u.dial(u.Endpoint().Address, probeTimeout)
	if err != nil {
		return errors.Wrap(errNoAnswer, err.Error())
	}
	return conn.Close()
}

// Status asks the endpoint for its state over a connection of its own.
func (u *Upstream) Status(timeout time.Duration) (Status, error) {
	return u.control(timeout, statusRequest)
}
