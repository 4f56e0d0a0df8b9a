package rattanplatform

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// maxWatchWait is the longest time that a watch waits for a change.
const maxWatchWait = time.Minute

// Watch returns the newest change of each key under the prefix after the given
// revision, deletions included, ordered by revision. Without one it waits until the
// next change or the end of the wait. The next watch starts from the response's
// revision.
func (s *Server) Watch(ctx context.Context, request *connect.Request[rattanv1.WatchRequest]) (*connect.Response[rattanv1.WatchResponse], error) {
	if err := s.begin(ctx, countWatch); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	wait := min(time.Duration(request.Msg.GetMaxWaitMs())*time.Millisecond, maxWatchWait)
	end := s.clock.Now().Add(wait)
	for {
		if s.faults.down {
			return nil, connect.NewError(connect.CodeUnavailable, errDown)
		}
		s.expireLeases()
		if response := s.changesAfter(request.Msg); len(response.GetEntries()) > 0 {
			return connect.NewResponse(response), nil
		}
		now := s.clock.Now()
		if !now.Before(end) {
			return connect.NewResponse(s.emptyResponse(request.Msg)), nil
		}
		if err := s.waitForChange(ctx, s.wakeTime(end).Sub(now)); err != nil {
			return nil, err
		}
	}
}

func (s *Server) changesAfter(request *rattanv1.WatchRequest) *rattanv1.WatchResponse {
	response := &rattanv1.WatchResponse{Revision: s.revision}
	if s.faults.stallWatches {
		return response
	}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, request.GetPrefix()) && entry.GetRevision() > request.GetAfterRevision() {
			response.Entries = append(response.Entries, copyEntry(entry))
		}
	}
	slices.SortFunc(response.Entries, func(a, b *rattanv1.KeyValue) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
	return response
}

// emptyResponse returns the response of a watch without a change. While watches are
// stalled, its revision is that of the request, so that the client does not skip
// the changes in between.
func (s *Server) emptyResponse(request *rattanv1.WatchRequest) *rattanv1.WatchResponse {
	if s.faults.stallWatches {
		return &rattanv1.WatchResponse{Revision: request.GetAfterRevision()}
	}
	return &rattanv1.WatchResponse{Revision: s.revision}
}

// wakeTime returns when a watch looks for changes again: at its end or, if earlier,
// when the next lease expires.
func (s *Server) wakeTime(end time.Time) time.Time {
	if expiry, ok := s.nextExpiry(); ok && expiry.Before(end) {
		return expiry
	}
	return end
}

// waitForChange waits for the next change. It releases s.mu while it waits.
func (s *Server) waitForChange(ctx context.Context, wait time.Duration) error {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
	case <-s.clock.After(wait):
	case <-ctx.Done():
		return connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	return nil
}
