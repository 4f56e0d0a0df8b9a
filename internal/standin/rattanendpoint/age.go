package rattanendpoint

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// maxPendingQueries bounds the status queries that wait for the log to catch up.
const maxPendingQueries = 1024

// age holds what the upper bound for the age of the instance's data is computed
// from. A status query calls GetStatus on all peers. When it was sent, the primary
// had no entry beyond the position in its response, and no later primary had
// acknowledged anything, because a majority was still in the term when it
// responded. So once the log has reached that position, the data is not older than
// the query.
type age struct {
	// confirmedAt is when the newest query was sent whose position the log has
	// reached; zero before the first.
	confirmedAt time.Time
	// pending are the confirmed queries whose position the log has not yet reached.
	pending []statusQuery
}

type statusQuery struct {
	sent time.Time
	// index is the primary's log index in its response.
	index uint64
}

// dataAge returns the upper bound for the age of the data; false means that none
// is known, as before the first confirmed query in the term. It holds for a
// primary as for a replica: a primary that no majority follows any more does not
// know what a later one has. The caller holds mu.
func (i *Instance) dataAge() (time.Duration, bool) {
	if len(i.config.Peers) == 0 {
		return 0, true
	}
	_, last := i.state.last()
	reached := 0
	for reached < len(i.age.pending) && i.age.pending[reached].index <= last {
		if sent := i.age.pending[reached].sent; sent.After(i.age.confirmedAt) {
			i.age.confirmedAt = sent
		}
		reached++
	}
	i.age.pending = i.age.pending[reached:]
	if i.age.confirmedAt.IsZero() {
		return 0, false
	}
	return i.clock.Now().Sub(i.age.confirmedAt), true
}

// ageLoop sends a status query every StatusQueryInterval. Queries overlap, so that
// a peer that does not respond does not delay the confirmation by the others.
func (i *Instance) ageLoop(ctx context.Context) {
	if len(i.config.Peers) == 0 {
		return
	}
	var queries sync.WaitGroup
	defer queries.Wait()
	for ctx.Err() == nil {
		i.mu.Lock()
		inactive, term := i.inactive(), i.state.Term
		i.mu.Unlock()
		if !inactive {
			queries.Go(func() { i.queryPeers(ctx, term) })
		}
		if i.sleep(ctx, i.config.StatusQueryInterval) != nil {
			return
		}
	}
}

// queryPeers sends a status query to all peers. It is confirmed as soon as a
// majority and the primary have responded in term.
func (i *Instance) queryPeers(ctx context.Context, term uint64) {
	sent := i.clock.Now()
	statuses := make(chan *rattanv1.EndpointStatus, len(i.config.Peers))
	for _, peer := range i.config.Peers {
		go func() {
			response, err := callPeer(ctx, i, peer, &rattanv1.GetStatusRequest{}, i.config.Dial(peer).GetStatus)
			if err != nil {
				statuses <- nil
				return
			}
			statuses <- response.GetStatus()
		}()
	}
	var responses []*rattanv1.EndpointStatus
	confirmed := false
	for range i.config.Peers {
		responses = append(responses, <-statuses)
		confirmed = confirmed || i.confirmQuery(term, sent, responses)
	}
}

// confirmQuery reports whether the responses confirm a status query, and then adds
// it to the pending ones.
func (i *Instance) confirmQuery(term uint64, sent time.Time, responses []*rattanv1.EndpointStatus) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state.Term != term || i.state.PromisedTerm != term {
		return false
	}
	members := 1
	_, index := i.state.last()
	primaryResponded := i.state.Primary
	for _, response := range responses {
		if response.GetTerm() != term || response.GetPromisedTerm() != term {
			continue
		}
		members++
		if response.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY {
			primaryResponded = true
			index = response.GetPosition().GetIndex()
		}
	}
	if !primaryResponded || members < i.config.majority() || len(i.age.pending) >= maxPendingQueries {
		return false
	}
	i.age.pending = append(i.age.pending, statusQuery{sent: sent, index: index})
	return true
}
