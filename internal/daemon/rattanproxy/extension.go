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
	// collectTimeout limits the answer of one daemon that is asked for a promise.
	collectTimeout = 150 * time.Millisecond
	// collectInterval separates two rounds of such questions.
	collectInterval = 200 * time.Millisecond
)

// errOtherIncarnation answers a message for another process of this VM.
var errOtherIncarnation = errors.New("another process of this VM is meant")

// An extension extends the grants while the store is away for all: one daemon
// collects the promises of all, the others ask that one.
type extension struct {
	proxy *Proxy
	// isExtended is true while the last attempt to extend the grants succeeded.
	isExtended bool
	// collector is the rank of the daemon that is asked for the answers of all.
	collector int

	// mu is held during a round of questions, which those who ask meanwhile share.
	mu sync.Mutex
	// begun is when the last round began, digest the roll that it asked, and
	// until when its promises last.
	begun  time.Time
	digest uint64
	until  time.Time
}

func newExtension(p *Proxy) *extension { return &extension{proxy: p} }

// extend extends the grants if the daemons on the roll, less a few, answer with
// their records.
func (e *extension) extend(ctx context.Context) {
	view := e.proxy.cache.Snapshot()
	membership := rollOf(view)
	if membership[e.proxy.settings.VM()].Incarnation != e.proxy.register.incarnation {
		return
	}
	collectors := membership.Collectors()
	collector := collectors[e.collector%len(collectors)]
	until := e.askCollector(ctx, collector, view, membership)
	isExtended := !until.IsZero()
	if isExtended {
		e.proxy.grants.Extend(until.Add(-rattanquorum.Margin), rattanquorum.MaxLifetime)
	} else {
		e.collector++
	}
	if isExtended != e.isExtended {
		e.isExtended = isExtended
		e.proxy.logger.Info("grants_extended", "extended", isExtended, "collector", collector, "daemons", len(membership),
			"remaining_ms", e.proxy.grants.Remaining().Milliseconds())
	}
}

// askCollector returns until when the answers of the daemons on the roll may be
// relied on, or the zero time.
func (e *extension) askCollector(ctx context.Context, collector string, view *rattancache.Snapshot, membership rattanquorum.Membership) time.Time {
	if collector == e.proxy.settings.VM() {
		return e.collect(ctx)
	}
	return e.ask(ctx, view.Members[collector].Address, &rattanv1.PromiseRequest{
		Incarnation: membership[collector].Incarnation, RollDigest: membership.Digest(), Collects: true,
	}, 2*collectTimeout)
}

// collect asks every daemon on the roll for its records and returns until when
// enough of the answers may be relied on, or the zero time.
func (e *extension) collect(ctx context.Context) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	view := e.proxy.cache.Snapshot()
	membership := rollOf(view)
	now, digest := e.proxy.boot.Now(), membership.Digest()
	if now.Sub(e.begun) < collectInterval && e.digest == digest {
		return e.until
	}
	e.begun, e.digest, e.until = now, digest, time.Time{}
	answers := make(chan time.Time, len(membership))
	for vm, entry := range membership {
		go func() {
			if vm == e.proxy.settings.VM() {
				answers <- now.Add(e.promise(digest))
				return
			}
			answers <- e.ask(ctx, view.Members[vm].Address,
				&rattanv1.PromiseRequest{Incarnation: entry.Incarnation, RollDigest: digest}, collectTimeout)
		}()
	}
	until, missing := now.Add(rattanquorum.AnswerLifetime), len(membership)-rattanquorum.Tolerated(len(membership))
	for range membership {
		answer := <-answers
		if !answer.After(now) {
			continue
		}
		if answer.Before(until) {
			until = answer
		}
		if missing--; missing == 0 {
			e.until = until
			break
		}
	}
	e.proxy.logger.Debug("promises_collected", "daemons", len(membership), "missing", missing)
	return e.until
}

// promise returns for how long another daemon may rely on the groups' records
// that this one knows, if both have the same roll.
func (e *extension) promise(digest uint64) time.Duration {
	if rollOf(e.proxy.cache.Snapshot()).Digest() != digest {
		return 0
	}
	return rattanquorum.AnswerLifetime
}

// ask asks another daemon for a promise, takes the groups' records from it, and
// returns until when it lasts, or the zero time.
func (e *extension) ask(ctx context.Context, address string, request *rattanv1.PromiseRequest, timeout time.Duration) time.Time {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := e.proxy.boot.Now()
	answer, err := e.proxy.peers.Call(call, address, &rattanv1.PeerFrame{
		Body: &rattanv1.PeerFrame_PromiseRequest{PromiseRequest: request},
	})
	if err != nil {
		e.proxy.logger.Debug("promise_not_answered", "address", address, "error", err)
		return time.Time{}
	}
	response := answer.GetPromiseResponse()
	e.proxy.learnItems(ctx, itemsFromWire(response.GetItems()))
	if response.GetPromiseMs() == 0 {
		return time.Time{}
	}
	return asked.Add(time.Duration(response.GetPromiseMs()) * time.Millisecond)
}

// handlePromise answers a daemon that asks for a promise.
func (e *extension) handlePromise(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetPromiseRequest()
	if request.GetIncarnation() != e.proxy.register.incarnation {
		return nil, errOtherIncarnation
	}
	promised := e.promise(request.GetRollDigest())
	if request.GetCollects() && promised > 0 {
		promised = max(0, e.collect(ctx).Sub(e.proxy.boot.Now()))
	}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_PromiseResponse{PromiseResponse: &rattanv1.PromiseResponse{
		PromiseMs: uint32(promised.Milliseconds()), Items: e.proxy.groupItems(),
	}}}, nil
}

// sweepRoll removes daemons from the roll that were not listed for so long that
// they rely on no promise.
func (p *Proxy) sweepRoll(ctx context.Context, view *rattancache.Snapshot, held *leadership) {
	if p.cache.SyncedAt().IsZero() {
		return
	}
	now := p.boot.Now()
	membership := rollOf(view)
	for name := range view.Members {
		if _, isListed := view.VMs[name]; isListed || now.Sub(p.cache.UnregisteredSince(name)) < rattanquorum.MaxLifetime+rattanquorum.Margin {
			continue
		}
		if !membership.CanRemove(held.quiet()) {
			return
		}
		p.forgetMembership(ctx, name)
		before := rattanquorum.Tolerated(len(membership))
		if delete(membership, name); rattanquorum.Tolerated(len(membership)) < before {
			held.noteLowered()
		}
	}
}

// forgetMembership removes a daemon's name from the roll, unless it has changed.
func (p *Proxy) forgetMembership(ctx context.Context, name string) {
	item, ok := p.cache.Item(rattancache.MemberPrefix + name)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := p.protocol.Store.Commit(call, rattankv.Txn{
		Expect: []rattankv.Expectation{{Key: item.Key, Revision: item.Revision}},
		Remove: []string{item.Key},
	})
	var conflict *rattankv.ConflictError
	switch {
	case err == nil:
		p.logger.Info("roll_swept", "daemon", name)
	case !errors.As(err, &conflict):
		p.storeFailed(ctx, "roll", err)
	}
}
