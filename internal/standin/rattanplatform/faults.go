package rattanplatform

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// faults are the injected faults; see SetFaultRequest.
type faults struct {
	down          bool
	downSince     time.Time
	delay         time.Duration
	loseResponses uint32
	stallWatches  bool
	vms           []*rattanv1.VM
}

// counters are the numbers of calls since the start.
type counters struct {
	reads, writes, watches uint64
}

func countRead(c *counters)  { c.reads++ }
func countWrite(c *counters) { c.writes++ }
func countWatch(c *counters) { c.watches++ }

var errDown = errors.New("platform is down")

// begin counts a call, applies the injected faults and ends expired leases. When it
// returns nil, s.mu is held and the caller releases it.
func (s *Server) begin(ctx context.Context, count func(*counters)) error {
	s.mu.Lock()
	count(&s.counters)
	delay := s.faults.delay
	if delay > 0 {
		s.mu.Unlock()
		select {
		case <-s.clock.After(delay):
		case <-ctx.Done():
			return connect.NewError(connect.CodeCanceled, ctx.Err())
		}
		s.mu.Lock()
	}
	if s.faults.down {
		s.mu.Unlock()
		return connect.NewError(connect.CodeUnavailable, errDown)
	}
	s.expireLeases()
	return nil
}

// loseResponse returns an error for a write that has taken effect, as long as
// responses are to be lost. The caller holds s.mu.
func (s *Server) loseResponse() error {
	if s.faults.loseResponses == 0 {
		return nil
	}
	s.faults.loseResponses--
	return connect.NewError(connect.CodeUnavailable, errors.New("response dropped by an injected fault"))
}

// SetFault replaces all injected faults. It works while the platform is down.
// Leases do not expire during an outage: its end extends them by its length.
func (s *Server) SetFault(_ context.Context, request *connect.Request[rattanv1.SetFaultRequest]) (*connect.Response[rattanv1.SetFaultResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	before := s.faults
	if !before.down {
		s.expireLeases()
	}
	s.faults = faults{
		down:          request.Msg.GetDown(),
		downSince:     now,
		delay:         time.Duration(request.Msg.GetDelayMs()) * time.Millisecond,
		loseResponses: request.Msg.GetLoseAnswers(),
		stallWatches:  request.Msg.GetStallWatches(),
		vms:           request.Msg.GetVms(),
	}
	switch {
	case before.down && s.faults.down:
		s.faults.downSince = before.downSince
	case before.down:
		s.extendLeases(now.Sub(before.downSince))
	}
	s.wakeWatches()
	return connect.NewResponse(&rattanv1.SetFaultResponse{}), nil
}

// GetCounters returns the number of calls since the start, failed ones
// included. It does not count itself and works while the platform is down.
func (s *Server) GetCounters(context.Context, *connect.Request[rattanv1.GetCountersRequest]) (*connect.Response[rattanv1.GetCountersResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&rattanv1.GetCountersResponse{
		Reads: s.counters.reads, Writes: s.counters.writes, Watches: s.counters.watches,
	}), nil
}
