package rattanproxy

import (
	"context"
	"net"
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
)

// An admission limits every client account to its rate and burst over all
// daemons. It admits operations of this daemon's sessions and owns the token
// pools of some accounts.
type admission struct {
	proxy *Proxy

	mu       sync.Mutex
	accounts map[string]*accountAdmission
	pools    map[string]*rattanquota.Pool
}

// An accountAdmission is this daemon's share of an account's rate, with the calls
// that request more tokens.
type accountAdmission struct {
	rattanquota.AccountLimiter
	// backoffUntil is until when each pool owner is not called. Only the call in
	// progress uses it.
	backoffUntil map[string]time.Time
	// callDone is closed when the call to the pool owners that is in progress
	// ends.
	callDone chan struct{}
}

func newAdmission(p *Proxy) *admission {
	return &admission{
		proxy:    p,
		accounts: make(map[string]*accountAdmission),
		pools:    make(map[string]*rattanquota.Pool),
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
	for {
		if state.Take(account, len(snapshot.VMs), now) {
			return 0, true
		}
		wanted := state.TokensToRequest(now)
		if wanted == 0 {
			return state.RetryAfter(now), false
		}
		a.requestTokens(state, account, snapshot, wanted)
		now = a.proxy.clock.Now()
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
	a.mu.Unlock()
	granted, retryAfter := a.callOwners(state.backoffUntil, account, snapshot, wanted)
	a.mu.Lock()
	state.AddTokens(granted, retryAfter, a.proxy.clock.Now())
	state.callDone = nil
	close(callDone)
}

// callOwners calls the owners of an account's pools, those in this daemon's
// failure domain first, until one grants tokens.
func (a *admission) callOwners(backoffUntil map[string]time.Time, account rattancatalog.Account, snapshot *rattancache.Snapshot, wanted int64) (int64, time.Duration) {
	wait := poolOwnerBackoff
	for _, owner := range a.poolOwners(account.Name, snapshot) {
		now := a.proxy.clock.Now()
		if until := backoffUntil[owner]; now.Before(until) {
			wait = min(wait, until.Sub(now))
			continue
		}
		granted, retryAfter := a.callOwner(owner, account, snapshot, wanted)
		if granted > 0 {
			return granted, 0
		}
		backoffUntil[owner] = a.proxy.clock.Now().Add(retryAfter)
		wait = min(wait, retryAfter)
	}
	return 0, wait
}

// poolOwners returns the owners of an account's pools in the order in which this
// daemon calls them.
func (a *admission) poolOwners(account string, snapshot *rattancache.Snapshot) []string {
	own := a.proxy.settings.FailureDomain()
	owners := rattanquota.PoolOwners(account, domainsOf(snapshot))
	slices.SortStableFunc(owners, func(x, y string) int {
		return distance(snapshot, own, x) - distance(snapshot, own, y)
	})
	return owners
}

func domainsOf(snapshot *rattancache.Snapshot) map[string]string {
	domains := make(map[string]string, len(snapshot.VMs))
	for name, vm := range snapshot.VMs {
		domains[name] = vm.FailureDomain
	}
	return domains
}

// distance is 0 for a VM of the failure domain, else 1.
func distance(snapshot *rattancache.Snapshot, domain, vm string) int {
	if snapshot.VMs[vm].FailureDomain == domain {
		return 0
	}
	return 1
}

func (a *admission) callOwner(owner string, account rattancatalog.Account, snapshot *rattancache.Snapshot, wanted int64) (int64, time.Duration) {
	if owner == a.proxy.settings.VM() {
		return a.grant(account, wanted)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_TokenRequest{
		TokenRequest: &rattanv1.TokenRequest{Account: account.Name, Wanted: uint32(wanted)},
	}}
	reply, err := a.proxy.peers.Call(ctx, snapshot.VMs[owner].Address, frame)
	if err != nil {
		a.proxy.logger.Info("tokens_unavailable", "account", account.Name, "keeper", owner, "wanted", wanted, "error", err)
		return 0, poolOwnerBackoff
	}
	tokens := reply.GetTokenResponse()
	return int64(tokens.GetGranted()), time.Duration(tokens.GetRetryAfterMs()) * time.Millisecond
}

// grant grants tokens from a pool that this daemon owns.
func (a *admission) grant(account rattancatalog.Account, wanted int64) (int64, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pool, ok := a.pools[account.Name]
	if !ok {
		pool = &rattanquota.Pool{}
		a.pools[account.Name] = pool
	}
	snapshot := a.proxy.cache.Snapshot()
	pools := len(rattanquota.PoolOwners(account.Name, domainsOf(snapshot)))
	return pool.Grant(account, len(snapshot.VMs), pools, wanted, a.proxy.clock.Now())
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
	granted, retryAfter := a.grant(account, int64(request.GetWanted()))
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_TokenResponse{TokenResponse: &rattanv1.TokenResponse{
		Granted: uint32(granted), RetryAfterMs: uint32(retryAfter.Milliseconds()),
	}}}, nil
}

// servePeers handles the requests of other daemons.
func (p *Proxy) servePeers(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.settings.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	server := rattanlink.NewServer()
	server.Handle(rattanlink.KindToken, p.admission.handleTokens)
	server.Handle(rattanlink.KindWork, p.forwarded.handle)
	server.Handle(rattanlink.KindKnowledge, p.relay.handleKnowledge)
	server.Handle(rattanlink.KindStop, p.relay.handleStop)
	server.Handle(rattanlink.KindPromise, p.extension.handleGrantExtension)
	if err := server.Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}
