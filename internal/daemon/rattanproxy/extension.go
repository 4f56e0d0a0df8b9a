package rattanproxy

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanquorum"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// collectTimeout limits the call to one daemon for its answer.
	collectTimeout = 150 * time.Millisecond
	// collectInterval separates two rounds of calls to all members.
	collectInterval = 200 * time.Millisecond
)

// errOtherIncarnation is returned for a message to another process of this VM.
var errOtherIncarnation = errors.New("the message is for another process of this VM")

// An extension extends the grants while the store is unavailable to all daemons:
// one daemon, the collector, collects the answers of a quorum, and the others
// call the collector.
type extension struct {
	proxy *Proxy
	// isExtended is true while the last attempt to extend the grants succeeded.
	isExtended bool
	// collectorRank selects the collector to call; it advances after a failed
	// call.
	collectorRank int

	// mu is held during a round of calls, so that concurrent requests share its
	// result.
	mu sync.Mutex
	// roundStart is when the last round began, digest identifies the membership
	// that it called, and until is when its answers expire.
	roundStart time.Time
	digest     uint64
	until      time.Time
}

func newExtension(p *Proxy) *extension { return &extension{proxy: p} }

// extend extends the grants if enough members, all but a tolerated few, answer
// with the groups' records that they know.
func (e *extension) extend(ctx context.Context) {
	snapshot := e.proxy.cache.Snapshot()
	membership := membershipOf(snapshot)
	if membership[e.proxy.settings.VM()].Incarnation != e.proxy.registration.incarnation {
		return
	}
	collectors := membership.Collectors()
	collector := collectors[e.collectorRank%len(collectors)]
	until := e.callCollector(ctx, collector, snapshot, membership)
	isExtended := !until.IsZero()
	if isExtended {
		e.proxy.grants.Extend(until.Add(-rattanquorum.Margin), rattanquorum.MaxLifetime)
	} else {
		e.collectorRank++
	}
	if isExtended != e.isExtended {
		e.isExtended = isExtended
		e.proxy.logger.Info("grants_extended", "extended", isExtended, "collector", collector, "daemons", len(membership),
			"remaining_ms", e.proxy.grants.Remaining().Milliseconds())
	}
}

// callCollector returns until when the answers of the members may be relied on, or
// the zero time when too few answered.
func (e *extension) callCollector(ctx context.Context, collector string, snapshot *rattancache.Snapshot, membership rattanquorum.Membership) time.Time {
	if collector == e.proxy.settings.VM() {
		return e.collect(ctx)
	}
	return e.requestAnswer(ctx, snapshot.Members[collector].Address, &rattanv1.PromiseRequest{
		Incarnation: membership[collector].Incarnation, RollDigest: membership.Digest(), Collects: true,
	}, 2*collectTimeout)
}

// collect calls every member for the groups' records and returns until when
// enough of the answers may be relied on, or the zero time.
func (e *extension) collect(ctx context.Context) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot := e.proxy.cache.Snapshot()
	membership := membershipOf(snapshot)
	now, digest := e.proxy.boot.Now(), membership.Digest()
	if now.Sub(e.roundStart) < collectInterval && e.digest == digest {
		return e.until
	}
	e.roundStart, e.digest, e.until = now, digest, time.Time{}
	answers := make(chan time.Time, len(membership))
	for vm, entry := range membership {
		go func() {
			if vm == e.proxy.settings.VM() {
				answers <- now.Add(e.answerLifetime(digest))
				return
			}
			answers <- e.requestAnswer(ctx, snapshot.Members[vm].Address,
				&rattanv1.PromiseRequest{Incarnation: entry.Incarnation, RollDigest: digest}, collectTimeout)
		}()
	}
	until, needed := now.Add(rattanquorum.AnswerLifetime), len(membership)-rattanquorum.Tolerated(len(membership))
	for range membership {
		answer := <-answers
		if !answer.After(now) {
			continue
		}
		if answer.Before(until) {
			until = answer
		}
		if needed--; needed == 0 {
			e.until = until
			break
		}
	}
	e.proxy.logger.Debug("promises_collected", "daemons", len(membership), "missing", needed)
	return e.until
}

// answerLifetime returns for how long another daemon may rely on the groups'
// records that this one knows: 0 unless both have the same membership.
func (e *extension) answerLifetime(digest uint64) time.Duration {
	if membershipOf(e.proxy.cache.Snapshot()).Digest() != digest {
		return 0
	}
	return rattanquorum.AnswerLifetime
}

// requestAnswer calls another daemon, applies the groups' records from its
// response, and returns until when the answer may be relied on, or the zero time.
func (e *extension) requestAnswer(ctx context.Context, address string, request *rattanv1.PromiseRequest, timeout time.Duration) time.Time {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := e.proxy.boot.Now()
	reply, err := e.proxy.peers.Call(callCtx, address, &rattanv1.PeerFrame{
		Body: &rattanv1.PeerFrame_PromiseRequest{PromiseRequest: request},
	})
	if err != nil {
		e.proxy.logger.Debug("promise_not_answered", "address", address, "error", err)
		return time.Time{}
	}
	response := reply.GetPromiseResponse()
	e.proxy.applyItems(ctx, itemsFromWire(response.GetItems()))
	if response.GetPromiseMs() == 0 {
		return time.Time{}
	}
	return sentAt.Add(time.Duration(response.GetPromiseMs()) * time.Millisecond)
}

// handleGrantExtension answers a daemon that extends its grants or collects the
// answers of all.
func (e *extension) handleGrantExtension(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetPromiseRequest()
	if request.GetIncarnation() != e.proxy.registration.incarnation {
		return nil, errOtherIncarnation
	}
	validFor := e.answerLifetime(request.GetRollDigest())
	if request.GetCollects() && validFor > 0 {
		validFor = max(0, e.collect(ctx).Sub(e.proxy.boot.Now()))
	}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_PromiseResponse{PromiseResponse: &rattanv1.PromiseResponse{
		PromiseMs: uint32(validFor.Milliseconds()), Items: e.proxy.groupItems(),
	}}}, nil
}

// removeMembers removes the members that have been unregistered for so long that
// they no longer rely on any answer.
func (p *Proxy) removeMembers(ctx context.Context, snapshot *rattancache.Snapshot, held *leadership) {
	if p.cache.SyncedAt().IsZero() {
		return
	}
	now := p.boot.Now()
	membership := membershipOf(snapshot)
	for name := range snapshot.Members {
		if _, isRegistered := snapshot.VMs[name]; isRegistered || now.Sub(p.cache.UnregisteredSince(name)) < rattanquorum.MaxLifetime+rattanquorum.Margin {
			continue
		}
		if !membership.CanRemove(held.sinceToleranceLowered()) {
			return
		}
		p.removeMember(ctx, name)
		before := rattanquorum.Tolerated(len(membership))
		if delete(membership, name); rattanquorum.Tolerated(len(membership)) < before {
			held.markToleranceLowered()
		}
	}
}

// removeMember removes a VM's member entry, unless the entry has changed.
func (p *Proxy) removeMember(ctx context.Context, name string) {
	item, ok := p.cache.Item(rattancache.MemberPrefix + name)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := p.platform.Store.Commit(callCtx, rattankv.Txn{
		Expect: []rattankv.Expectation{{Key: item.Key, Revision: item.Revision}},
		Remove: []string{item.Key},
	})
	var conflict *rattankv.ConflictError
	switch {
	case err == nil:
		p.logger.Info("roll_swept", "daemon", name)
	case !errors.As(err, &conflict):
		p.markStoreLost(ctx, "roll", err)
	}
}
