package rattanendpoint

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// maxQuestions bounds the answered questions that wait for the log to catch up.
const maxQuestions = 1024

// age bounds the age of the instance's data. A question is a call of GetStatus
// on all peers; when it was sent, the primary had no entry beyond the answered
// position, and no later primary had acknowledged anything, because a majority
// was still in the term when it answered.
type age struct {
	// confirmed is when the newest question was sent whose position the log has
	// reached; zero before the first.
	confirmed time.Time
	waiting   []question
}

type question struct {
	sent  time.Time
	index uint64
}

// dataAge returns the bound, on the primary as on a replica: a primary that no
// majority follows any more does not know what a later one has. It is not known before the first confirmation in
// the term. The caller holds mu.
func (i *Instance) dataAge() (time.Duration, bool) {
	if len(i.config.Peers) == 0 {
		return 0, true
	}
	_, last := i.state.last()
	reached := 0
	for reached < len(i.age.waiting) && i.age.waiting[reached].index <= last {
		if sent := i.age.waiting[reached].sent; sent.After(i.age.confirmed) {
			i.age.confirmed = sent
		}
		reached++
	}
	i.age.waiting = i.age.waiting[reached:]
	if i.age.confirmed.IsZero() {
		return 0, false
	}
	return i.clock.Now().Sub(i.age.confirmed), true
}

// ageLoop asks a question every QuestionInterval. Questions overlap, so that a
// peer that does not answer does not hold up the confirmation by the others.
func (i *Instance) ageLoop(ctx context.Context) {
	if len(i.config.Peers) == 0 {
		return
	}
	var asked sync.WaitGroup
	defer asked.Wait()
	for ctx.Err() == nil {
		i.mu.Lock()
		idle, term := i.idle(), i.state.Term
		i.mu.Unlock()
		if !idle {
			asked.Go(func() { i.ask(ctx, term) })
		}
		if i.sleep(ctx, i.config.QuestionInterval) != nil {
			return
		}
	}
}

// ask sends a question to all peers and keeps it as soon as a majority and the
// primary have answered in term.
func (i *Instance) ask(ctx context.Context, term uint64) {
	sent := i.clock.Now()
	answers := make(chan *rattanv1.EndpointStatus, len(i.config.Peers))
	for _, peer := range i.config.Peers {
		go func() {
			answer, err := callPeer(ctx, i, peer, &rattanv1.GetStatusRequest{}, i.config.Dial(peer).GetStatus)
			if err != nil {
				answers <- nil
				return
			}
			answers <- answer.GetStatus()
		}()
	}
	var arrived []*rattanv1.EndpointStatus
	kept := false
	for range i.config.Peers {
		arrived = append(arrived, <-answers)
		kept = kept || i.keepAnswers(term, sent, arrived)
	}
}

// keepAnswers reports whether the answers confirm a question, and keeps it then.
func (i *Instance) keepAnswers(term uint64, sent time.Time, answers []*rattanv1.EndpointStatus) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state.Term != term || i.state.PromisedTerm != term {
		return false
	}
	members := 1
	_, index := i.state.last()
	found := i.state.Primary
	for _, answer := range answers {
		if answer.GetTerm() != term || answer.GetPromisedTerm() != term {
			continue
		}
		members++
		if answer.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY {
			found = true
			index = answer.GetPosition().GetIndex()
		}
	}
	if !found || members < i.config.majority() || len(i.age.waiting) >= maxQuestions {
		return false
	}
	i.age.waiting = append(i.age.waiting, question{sent: sent, index: index})
	return true
}
