package rattandispatch

import (
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// attempts are those made for one statement.
type attempts struct {
	dispatcher *Dispatcher
	attempts   Attempts
	last       Outcome
}

// try runs an attempt at one endpoint after the other until an outcome is final,
// which it reports. The last outcome has the trail of all attempts.
func (a *attempts) try(upstreams []*rattanupstream.Upstream, floor rattanmodel.Position, attempt func(*rattanupstream.Upstream) (Outcome, bool)) bool {
	clock := a.dispatcher.clock
	for _, upstream := range upstreams {
		begun := clock.Now()
		outcome, isFinal := attempt(upstream)
		a.attempts.add(outcome, clock.Now().Sub(begun))
		outcome.Attempts, outcome.MinPosition = a.attempts, floor
		a.last = outcome
		if isFinal {
			return true
		}
	}
	return false
}
