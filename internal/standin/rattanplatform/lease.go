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

// GrantLease creates a lease. Keys put with it are deleted when it expires.
func (s *Server) GrantLease(ctx context.Context, request *connect.Request[rattanv1.GrantLeaseRequest]) (*connect.Response[rattanv1.GrantLeaseResponse], error) {
	if request.Msg.GetTtlMs() == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("lease TTL is zero"))
	}
	if err := s.begin(ctx, countWrite); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(request.Msg.GetTtlMs()) * time.Millisecond
	s.leases[s.lastID] = &lease{id: s.lastID, ttl: ttl, expires: s.clock.Now().Add(ttl)}
	if err := s.loseResponse(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&rattanv1.GrantLeaseResponse{Lease: s.lastID}), nil
}

// KeepAlive renews a lease for its whole TTL.
func (s *Server) KeepAlive(ctx context.Context, request *connect.Request[rattanv1.KeepAliveRequest]) (*connect.Response[rattanv1.KeepAliveResponse], error) {
	if err := s.begin(ctx, countWrite); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	found := s.leases[request.Msg.GetLease()]
	if found == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("lease does not exist or has expired"))
	}
	found.expires = s.clock.Now().Add(found.ttl)
	if err := s.loseResponse(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&rattanv1.KeepAliveResponse{TtlMs: uint32(found.ttl.Milliseconds())}), nil
}

// expireLeases deletes the leases that have expired and their keys, in the order in
// which they expired. The caller holds s.mu.
func (s *Server) expireLeases() {
	now := s.clock.Now()
	byEnd := slices.SortedFunc(maps.Values(s.leases), func(a, b *lease) int {
		return cmp.Or(a.expires.Compare(b.expires), cmp.Compare(a.id, b.id))
	})
	for _, l := range byEnd {
		if now.Before(l.expires) {
			return
		}
		delete(s.leases, l.id)
		s.deleteKeysOf(l)
	}
}

// deleteKeysOf deletes the keys that were put with a lease, as of its expiry.
func (s *Server) deleteKeysOf(l *lease) {
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if s.entries[key].GetLease() == l.id {
			s.applyChange(&rattanv1.KeyValue{Key: key, Deleted: true}, l.expires)
		}
	}
}

// extendLeases extends all leases by the length of an outage, during which no
// holder could keep its lease alive.
func (s *Server) extendLeases(outage time.Duration) {
	for _, l := range s.leases {
		l.expires = l.expires.Add(outage)
	}
}

// nextExpiry returns when the next lease expires, false when there is no lease.
func (s *Server) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, l := range s.leases {
		if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	return next, !next.IsZero()
}
