package rattanendpoint

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const behind = rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_BEHIND

// WaitPosition implements EndpointService. Its answer is one vote for an entry:
// the instance holds it and was in the entry's term, without a promise of a
// higher one, at that moment.
func (i *Instance) WaitPosition(ctx context.Context, request *connect.Request[rattanv1.WaitPositionRequest]) (*connect.Response[rattanv1.WaitPositionResponse], error) {
	term, index := request.Msg.GetTerm(), request.Msg.GetIndex()
	response := &rattanv1.WaitPositionResponse{}
	err := i.wait(ctx, i.clock.After(fromMilliseconds(request.Msg.GetMaxWaitMs())), func() (bool, error) {
		if i.state.PromisedTerm > term {
			return false, i.fault(promised, "term %d is promised, position %d/%d refused", i.state.PromisedTerm, term, index)
		}
		_, last := i.state.last()
		response.Status = i.status()
		return i.state.Term == term && last >= index, nil
	})
	if errors.Is(err, errTimeout) {
		return nil, i.lockedFault(behind, "position %d/%d not reached", term, index)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// waitFresh waits until the instance has the position and age that a call asks for.
func (i *Instance) waitFresh(ctx context.Context, c *call) error {
	var timeout <-chan time.Time
	if c.GetMaxWaitMs() > 0 {
		timeout = i.clock.After(fromMilliseconds(c.GetMaxWaitMs()))
	}
	err := i.wait(ctx, timeout, func() (bool, error) {
		if i.holds(c.GetMinPosition()) {
			return true, i.checkAge(c)
		}
		if c.GetMaxWaitMs() == 0 {
			return false, errTimeout
		}
		return false, nil
	})
	if errors.Is(err, errTimeout) {
		return i.lockedFault(behind, "position %d/%d not reached", c.GetMinPosition().GetTerm(), c.GetMinPosition().GetIndex())
	}
	return err
}

// holds reports whether the log contains every acknowledged entry up to the
// position. Entries of an ended term past the start of the next one were never
// acknowledged. The caller holds mu.
func (i *Instance) holds(position *rattanv1.Position) bool {
	term, index := i.state.last()
	if position.GetTerm() > term {
		return position.GetTerm() == 0
	}
	needed := position.GetIndex()
	for _, start := range i.state.termHistory() {
		if start.GetTerm() > position.GetTerm() {
			needed = min(needed, start.GetStartIndex()-1)
			break
		}
	}
	return index >= needed
}

func (i *Instance) checkAge(c *call) error {
	if c.GetMaxAgeMs() == 0 {
		return nil
	}
	dataAge, known := i.dataAge()
	if !known || dataAge > fromMilliseconds(c.GetMaxAgeMs()) {
		return i.fault(behind, "age %s (known: %t), want at most %d ms", dataAge, known, c.GetMaxAgeMs())
	}
	return nil
}
