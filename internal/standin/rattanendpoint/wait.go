package rattanendpoint

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const behind = rattanv1.EndpointFaultKind_ENDPOINT_FAULT_KIND_BEHIND

// WaitPosition implements EndpointService. A response without an error is one
// confirmation of an entry: at that moment the instance held the entry, was in the
// entry's term and had not promised a higher one.
func (i *Instance) WaitPosition(ctx context.Context, request *connect.Request[rattanv1.WaitPositionRequest]) (*connect.Response[rattanv1.WaitPositionResponse], error) {
	term, index := request.Msg.GetTerm(), request.Msg.GetIndex()
	response := &rattanv1.WaitPositionResponse{}
	err := i.wait(ctx, i.clock.After(fromMilliseconds(request.Msg.GetMaxWaitMs())), func() (bool, error) {
		if i.state.PromisedTerm > term {
			return false, i.endpointFaultLocked(promised, "term %d is promised, position %d/%d refused", i.state.PromisedTerm, term, index)
		}
		_, last := i.state.last()
		response.Status = i.status()
		return i.state.Term == term && last >= index, nil
	})
	if errors.Is(err, errTimeout) {
		return nil, i.endpointFault(behind, "position %d/%d not reached", term, index)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// waitFresh waits until the log has reached the minimum position of a call. It
// then checks the maximum age of the data, for which it does not wait.
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
		return i.endpointFault(behind, "position %d/%d not reached", c.GetMinPosition().GetTerm(), c.GetMinPosition().GetIndex())
	}
	return err
}

// holds reports whether the log contains every acknowledged entry up to the
// position. Entries of an ended term at or after the start index of the next term
// were never acknowledged. The caller holds mu.
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

// checkAge returns an EndpointFault when the data is older than the call allows or
// its age is not known. The caller holds mu.
func (i *Instance) checkAge(c *call) error {
	if c.GetMaxAgeMs() == 0 {
		return nil
	}
	dataAge, known := i.dataAge()
	if !known || dataAge > fromMilliseconds(c.GetMaxAgeMs()) {
		return i.endpointFaultLocked(behind, "data age is %s (known: %t), want at most %d ms", dataAge, known, c.GetMaxAgeMs())
	}
	return nil
}
