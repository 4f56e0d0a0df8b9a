package rattanplatform

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

type lease struct {
	id      uint64
	ttl     time.Duration
	expires time.Time
}

// GrantLease makes a lease. Keys put with it are deleted when it expires.
func (s *Server) GrantLease(ctx context.Context, request *connect.Request[rattanv1.GrantLeaseRequest]) (*connect.Response[rattanv1.GrantLeaseResponse], error) {
	if request.Msg.GetTtlMs() == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the lease has no length"))
	}
	if err := s.begin(ctx, countWrite); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(request.Msg.GetTtlMs()) * time.Millisecond
	s.leases[s.lastID] = &lease{id: s.lastID, ttl: ttl, expires: s.clock.Now().Add(ttl)}
	if err := s.loseAnswer(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&rattanv1.GrantLeaseResponse{Lease: s.lastID}), nil
}

// KeepAlive starts a lease's time anew.
func (s *Server) KeepAlive(ctx context.Context, request *connect.Request[rattanv1.KeepAliveRequest]) (*connect.Response[rattanv1.KeepAliveResponse], error) {
	if err := s.begin(ctx, countWrite); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	held := s.leases[request.Msg.GetLease()]
	if held == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("the lease does not exist or has expired"))
	}
	held.expires = s.clock.Now().Add(held.ttl)
	if err := s.loseAnswer(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&rattanv1.KeepAliveResponse{TtlMs: uint32(held.ttl.Milliseconds())}), nil
}

// expireLeases deletes the keys of the leases that have ended, in the order in
// which they ended.
func (s *Server) expireLeases() {
	now := s.clock.Now()
	byEnd := slices.SortedFunc(maps.Values(s.leases), func(a, b *lease) int {
		return cmp.Or(a.expires.Compare(b.expires), cmp.Compare(a.id, b.id))
	})
	for _, held := range byEnd {
		if now.Before(held.expires) {
			return
		}
		delete(s.leases, held.id)
		s.deleteLeased(held)
	}
}

func (s *Server) deleteLeased(held *lease) {
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if s.entries[key].GetLease() == held.id {
			s.store(&rattanv1.KeyValue{Key: key, Deleted: true}, held.expires)
		}
	}
}

// extendLeases gives back the time of an outage, in which no holder could keep
// its lease alive.
func (s *Server) extendLeases(outage time.Duration) {
	for _, held := range s.leases {
		held.expires = held.expires.Add(outage)
	}
}

// nextExpiry returns when the next lease ends.
func (s *Server) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, held := range s.leases {
		if next.IsZero() || held.expires.Before(next) {
			next = held.expires
		}
	}
	return next, !next.IsZero()
}
