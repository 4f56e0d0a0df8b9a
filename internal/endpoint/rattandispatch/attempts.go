package rattandispatch

import (
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// An attemptRunner makes the attempts of one statement and records them.
type attemptRunner struct {
	dispatcher *Dispatcher
	attempts   Attempts
	last       Outcome
}

// try runs attempt at the upstreams in their order until an outcome is final. It
// reports whether one was. The last outcome lists all attempts of the statement.
func (r *attemptRunner) try(upstreams []*rattanupstream.Upstream, minPosition rattanmodel.Position, attempt func(*rattanupstream.Upstream) (Outcome, bool)) bool {
	clock := r.dispatcher.clock
	for _, upstream := range upstreams {
		begun := clock.Now()
		outcome, isFinal := attempt(upstream)
		r.attempts.add(outcome, clock.Now().Sub(begun))
		outcome.Attempts, outcome.MinPosition = r.attempts, minPosition
		r.last = outcome
		if isFinal {
			return true
		}
	}
	return false
}
