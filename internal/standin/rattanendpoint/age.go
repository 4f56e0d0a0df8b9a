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

// dataAge returns the bound. It is not known before the first confirmation in
// the term. The caller holds mu.
func (i *Instance) dataAge() (time.Duration, bool) {
	if len(i.config.Peers) == 0 {
		return 0, true
	}
	_, last := i.state.last()
	reached := 0
	for reached < len(i.age.waiting) && i.age.waiting[reached].index <= last {
		i.age.confirmed = i.age.waiting[reached].sent
		reached++
	}
	i.age.waiting = i.age.waiting[reached:]
	if i.age.confirmed.IsZero() {
		return 0, false
	}
	return i.clock.Now().Sub(i.age.confirmed), true
}

func (i *Instance) ageLoop(ctx context.Context) {
	if len(i.config.Peers) == 0 {
		return
	}
	for ctx.Err() == nil {
		i.mu.Lock()
		idle, term := i.idle(), i.state.Term
		i.mu.Unlock()
		if !idle {
			sent := i.clock.Now()
			i.keepAnswers(term, sent, i.askPeers(ctx))
		}
		if i.sleep(ctx, i.config.QuestionInterval) != nil {
			return
		}
	}
}

func (i *Instance) askPeers(ctx context.Context) []*rattanv1.EndpointStatus {
	answers := make([]*rattanv1.EndpointStatus, len(i.config.Peers))
	var calls sync.WaitGroup
	for at, peer := range i.config.Peers {
		calls.Go(func() {
			answer, err := callPeer(ctx, i, peer, &rattanv1.GetStatusRequest{}, i.config.Dial(peer).GetStatus)
			if err == nil {
				answers[at] = answer.GetStatus()
			}
		})
	}
	calls.Wait()
	return answers
}

// keepAnswers keeps a question that a majority and the primary answered in term.
func (i *Instance) keepAnswers(term uint64, sent time.Time, answers []*rattanv1.EndpointStatus) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state.Term != term || i.state.PromisedTerm != term {
		return
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
	if found && members >= i.config.majority() && len(i.age.waiting) < maxQuestions {
		i.age.waiting = append(i.age.waiting, question{sent: sent, index: index})
	}
}
