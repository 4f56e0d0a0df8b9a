package rattanproxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/limit/rattanquota"
	"github.com/rattanstream/rattanstream/internal/peer/rattanlink"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// tokenTimeout limits the call to the owner of an account's pool.
	tokenTimeout = 60 * time.Millisecond
	// poolOwnerBackoff is how long a pool owner that did not answer is not called
	// again.
	poolOwnerBackoff = 300 * time.Millisecond
	// endedOwnerBackoff is the same for a pool owner that accepts no connection: when a
	// daemon has ended, the next owner is known about 100 ms later.
	endedOwnerBackoff = 40 * time.Millisecond
	// endedOwnerWait is how long an operation waits for the next owner, before it is
	// refused although nobody knows whether the account is over its rate.
	endedOwnerWait = 160 * time.Millisecond
)

// An admission limits every client account to its rate and burst over all
// daemons. It admits operations of this daemon's sessions and owns the token
// pools of some accounts.
type admission struct {
	proxy *Proxy

	mu       sync.Mutex
	accounts map[string]*accountAdmission
	pools    map[string]*rattanquota.Pool
	owners   poolOwners
}

// An accountAdmission holds this daemon's tokens of an account, with the calls that
// request more.
type accountAdmission struct {
	rattanquota.AccountLimiter
	// waiting is the number of operations that wait for a token.
	waiting int64
	// backoffUntil is until when each pool owner is not called. Only the call in
	// progress uses it.
	backoffUntil map[string]time.Time
	// areOwnersGone is true when no pool owner accepted a connection at the last call.
	areOwnersGone bool
	// callDone is closed when the call to the pool owners that is in progress
	// ends.
	callDone chan struct{}
}

func newAdmission(p *Proxy) *admission {
	return &admission{
		proxy:    p,
		accounts: make(map[string]*accountAdmission),
		pools:    make(map[string]*rattanquota.Pool),
		owners:   poolOwners{vm: p.settings.VM(), window: p.settings.RateWindow()},
	}
}

// Take counts one operation of a client account. When the account has used up its
// rate, it returns false and the time after which to retry.
func (a *admission) Take(account rattancatalog.Account, snapshot *rattancache.Snapshot) (time.Duration, bool) {
	now := a.proxy.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.account(account.Name)
	state.RecordDemand(now)
	state.waiting++
	defer func() { state.waiting-- }()
	until := now.Add(endedOwnerWait)
	for {
		if state.Take(now) {
			return 0, true
		}
		wanted := state.TokensToRequest(state.waiting, now)
		switch {
		case wanted > 0:
			a.requestTokens(state, account, snapshot, wanted)
		case state.areOwnersGone && now.Before(until):
			a.waitForOwner(state.RetryAfter(now))
			snapshot = a.proxy.cache.Snapshot()
		default:
			return state.RetryAfter(now), false
		}
		now = a.proxy.clock.Now()
	}
}

// waitForOwner waits while no owner of an account's pools is known to live. The caller
// holds a.mu, which is released meanwhile and held again on return.
func (a *admission) waitForOwner(wait time.Duration) {
	a.mu.Unlock()
	<-a.proxy.clock.After(wait)
	a.mu.Lock()
}

// Return takes back the token of an operation of a client account that no endpoint has
// run.
func (a *admission) Return(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state, ok := a.accounts[name]; ok {
		state.Return(a.proxy.clock.Now())
	}
}

func (a *admission) account(name string) *accountAdmission {
	state, ok := a.accounts[name]
	if !ok {
		state = &accountAdmission{backoffUntil: make(map[string]time.Time)}
		a.accounts[name] = state
	}
	return state
}

// requestTokens requests tokens from the pool owners, or waits for a call that is
// in progress. The caller holds a.mu, which is released meanwhile and held again
// on return.
func (a *admission) requestTokens(state *accountAdmission, account rattancatalog.Account, snapshot *rattancache.Snapshot, wanted int64) {
	if callDone := state.callDone; callDone != nil {
		a.mu.Unlock()
		<-callDone
		a.mu.Lock()
		return
	}
	callDone := make(chan struct{})
	state.callDone = callDone
	owners := a.owners.nearestFirst(account, snapshot, a.proxy.settings.FailureDomain(), a.proxy.clock.Now())
	request := tokenRequest{account: account, waiting: state.waiting, wanted: wanted}
	a.mu.Unlock()
	granted, retryAfter, areGone := a.callOwners(state.backoffUntil, owners, request)
	a.mu.Lock()
	state.areOwnersGone = areGone
	state.AddTokens(granted, retryAfter, a.proxy.clock.Now())
	state.callDone = nil
	close(callDone)
}

// A tokenRequest requests tokens for the operations that wait, and for those expected
// soon: wanted includes both.
type tokenRequest struct {
	account         rattancatalog.Account
	waiting, wanted int64
}

// callOwners calls the owners of an account's pools until one grants tokens. It also
// reports whether none of them accepts a connection.
func (a *admission) callOwners(backoffUntil map[string]time.Time, owners []poolOwner, request tokenRequest) (granted int64, retryAfter time.Duration, areGone bool) {
	wait := poolOwnerBackoff
	areGone = true
	for _, owner := range owners {
		now := a.proxy.clock.Now()
		if until := backoffUntil[owner.vm]; now.Before(until) {
			wait = min(wait, until.Sub(now))
			areGone = false
			continue
		}
		granted, retryAfter, isGone := a.callOwner(owner, request)
		if granted > 0 {
			return granted, 0, false
		}
		areGone = areGone && isGone
		backoffUntil[owner.vm] = a.proxy.clock.Now().Add(retryAfter)
		wait = min(wait, retryAfter)
	}
	return 0, wait, areGone && len(owners) > 0
}

// callOwner calls one owner. It also reports whether the owner accepts no connection.
func (a *admission) callOwner(owner poolOwner, request tokenRequest) (granted int64, retryAfter time.Duration, isGone bool) {
	if owner.vm == a.proxy.settings.VM() {
		granted, retryAfter = a.grant(request)
		return granted, retryAfter, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_TokenRequest{TokenRequest: &rattanv1.TokenRequest{
		Account: request.account.Name, Wanted: uint32(request.wanted), Waiting: uint32(request.waiting),
	}}}
	reply, err := a.proxy.peers.Call(ctx, owner.address, frame)
	if err != nil {
		a.proxy.logger.Info("tokens_unavailable", "account", request.account.Name, "keeper", owner.vm, "wanted", request.wanted, "error", err)
		if rattanlink.IsUnsent(err) {
			return 0, endedOwnerBackoff, true
		}
		return 0, poolOwnerBackoff, false
	}
	tokens := reply.GetTokenResponse()
	return int64(tokens.GetGranted()), time.Duration(tokens.GetRetryAfterMs()) * time.Millisecond, false
}

// grant grants tokens from a pool that this daemon owns. It grants none while another
// daemon owns the pool according to the cached store.
func (a *admission) grant(request tokenRequest) (int64, time.Duration) {
	snapshot := a.proxy.cache.Snapshot()
	unregistered := a.proxy.registration.unregisteredTime()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.proxy.clock.Now()
	a.owners.recordUnregistered(unregistered, now)
	owners := a.owners.of(request.account, snapshot, now)
	index := slices.Index(owners, a.proxy.settings.VM())
	if index < 0 {
		return 0, poolOwnerBackoff
	}
	pool, ok := a.pools[request.account.Name]
	if !ok {
		pool = rattanquota.NewPool(now.Sub(a.owners.since))
		a.pools[request.account.Name] = pool
	}
	part := rattanquota.Part{
		Rate: request.account.Rate, Burst: request.account.Burst, Window: a.proxy.settings.RateWindow(),
		Pools: len(owners), Index: index,
	}
	return pool.Grant(part, unregistered, request.waiting, request.wanted, now)
}

// watchOwners keeps track of which pools this daemon owns.
func (a *admission) watchOwners(ctx context.Context) error {
	for ctx.Err() == nil {
		snapshot, changed := a.proxy.cache.Changed()
		a.updateOwned(snapshot)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

func (a *admission) updateOwned(snapshot *rattancache.Snapshot) {
	if snapshot.Catalog == nil {
		return
	}
	now := a.proxy.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owners.update(snapshot, now)
	for name, pool := range a.pools {
		account, ok := snapshot.Catalog.Account(name)
		if !ok {
			delete(a.pools, name)
			continue
		}
		isOwned := slices.Contains(a.owners.of(account, snapshot, now), a.proxy.settings.VM())
		pool.SetOwned(isOwned, now)
	}
}

// errUnknownAccount is returned to a daemon whose configuration has an account
// that this one's lacks.
var errUnknownAccount = errors.New("the client account is not in the configuration of this daemon")

// handleTokens handles another daemon's request for tokens.
func (a *admission) handleTokens(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetTokenRequest()
	catalog := a.proxy.cache.Snapshot().Catalog
	if catalog == nil {
		return nil, errUnknownAccount
	}
	account, ok := catalog.Account(request.GetAccount())
	if !ok {
		return nil, errUnknownAccount
	}
	granted, retryAfter := a.grant(tokenRequest{
		account: account, waiting: max(int64(request.GetWaiting()), 1), wanted: int64(request.GetWanted()),
	})
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_TokenResponse{TokenResponse: &rattanv1.TokenResponse{
		Granted: uint32(granted), RetryAfterMs: uint32(retryAfter.Milliseconds()),
	}}}, nil
}
