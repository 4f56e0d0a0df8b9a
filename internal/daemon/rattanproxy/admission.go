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
	// keeperPause is how long an owner that did not answer is not asked again.
	keeperPause = 300 * time.Millisecond
)

// An admission keeps every client account within its rate and burst over all
// daemons. It admits operations here and, for some accounts, keeps the pool.
type admission struct {
	proxy *Proxy

	mu       sync.Mutex
	accounts map[string]*accountAdmission
	pools    map[string]*rattanquota.Pool
}

type accountAdmission struct {
	rattanquota.AccountLimiter
	// paused is until when an owner is not asked; the call under way uses it.
	paused map[string]time.Time
	// asking is closed when the call to the owner that is under way has ended.
	asking chan struct{}
}

func newAdmission(p *Proxy) *admission {
	return &admission{
		proxy:    p,
		accounts: make(map[string]*accountAdmission),
		pools:    make(map[string]*rattanquota.Pool),
	}
}

// Take counts one operation of a client account. It returns false, with the time
// after which to come back, when the account has used its rate.
func (a *admission) Take(account rattancatalog.Account, view *rattancache.Snapshot) (time.Duration, bool) {
	now := a.proxy.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	one := a.account(account.Name)
	one.RecordDemand(now)
	for {
		if one.Take(account, len(view.VMs), now) {
			return 0, true
		}
		wanted := one.TokensToRequest(now)
		if wanted == 0 {
			return one.RetryAfter(now), false
		}
		a.ask(one, account, view, wanted)
		now = a.proxy.clock.Now()
	}
}

func (a *admission) account(name string) *accountAdmission {
	one, ok := a.accounts[name]
	if !ok {
		one = &accountAdmission{paused: make(map[string]time.Time)}
		a.accounts[name] = one
	}
	return one
}

// ask asks the owner for tokens, or waits for a call that is under way. The
// lock is held on entry and on return.
func (a *admission) ask(one *accountAdmission, account rattancatalog.Account, view *rattancache.Snapshot, wanted int64) {
	if asking := one.asking; asking != nil {
		a.mu.Unlock()
		<-asking
		a.mu.Lock()
		return
	}
	asking := make(chan struct{})
	one.asking = asking
	a.mu.Unlock()
	granted, retryAfter := a.call(one.paused, account, view, wanted)
	a.mu.Lock()
	one.AddTokens(granted, retryAfter, a.proxy.clock.Now())
	one.asking = nil
	close(asking)
}

// call asks the owners of an account's pools, those in the own failure domain
// first, until one has something.
func (a *admission) call(paused map[string]time.Time, account rattancatalog.Account, view *rattancache.Snapshot, wanted int64) (int64, time.Duration) {
	wait := keeperPause
	for _, owner := range a.owners(account.Name, view) {
		now := a.proxy.clock.Now()
		if until := paused[owner]; now.Before(until) {
			wait = min(wait, until.Sub(now))
			continue
		}
		granted, retryAfter := a.callOwner(owner, account, view, wanted)
		if granted > 0 {
			return granted, 0
		}
		paused[owner] = a.proxy.clock.Now().Add(retryAfter)
		wait = min(wait, retryAfter)
	}
	return 0, wait
}

// owners returns the owners of an account's pools in the order in which this
// daemon asks them.
func (a *admission) owners(account string, view *rattancache.Snapshot) []string {
	own := a.proxy.settings.FailureDomain()
	owners := rattanquota.PoolOwners(account, domainsOf(view))
	slices.SortStableFunc(owners, func(x, y string) int {
		return distance(view, own, x) - distance(view, own, y)
	})
	return owners
}

func domainsOf(view *rattancache.Snapshot) map[string]string {
	domains := make(map[string]string, len(view.VMs))
	for name, vm := range view.VMs {
		domains[name] = vm.FailureDomain
	}
	return domains
}

// distance is 0 for a VM of the failure domain, else 1.
func distance(view *rattancache.Snapshot, domain, vm string) int {
	if view.VMs[vm].FailureDomain == domain {
		return 0
	}
	return 1
}

func (a *admission) callOwner(owner string, account rattancatalog.Account, view *rattancache.Snapshot, wanted int64) (int64, time.Duration) {
	if owner == a.proxy.settings.VM() {
		return a.grant(account, wanted)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_TokenRequest{
		TokenRequest: &rattanv1.TokenRequest{Account: account.Name, Wanted: uint32(wanted)},
	}}
	answer, err := a.proxy.peers.Call(ctx, view.VMs[owner].Address, frame)
	if err != nil {
		a.proxy.logger.Info("tokens_unavailable", "account", account.Name, "keeper", owner, "wanted", wanted, "error", err)
		return 0, keeperPause
	}
	tokens := answer.GetTokenResponse()
	return int64(tokens.GetGranted()), time.Duration(tokens.GetRetryAfterMs()) * time.Millisecond
}

// grant hands out tokens of an account that this daemon keeps.
func (a *admission) grant(account rattancatalog.Account, wanted int64) (int64, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pool, ok := a.pools[account.Name]
	if !ok {
		pool = &rattanquota.Pool{}
		a.pools[account.Name] = pool
	}
	view := a.proxy.cache.Snapshot()
	pools := len(rattanquota.PoolOwners(account.Name, domainsOf(view)))
	return pool.Grant(account, len(view.VMs), pools, wanted, a.proxy.clock.Now())
}

// errUnknownAccount answers a daemon that knows a newer configuration.
var errUnknownAccount = errors.New("the client account is not known here")

// handleTokens answers another daemon that asks for tokens.
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

// servePeers answers the other daemons.
func (p *Proxy) servePeers(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.settings.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	server := rattanlink.NewServer()
	server.Handle(rattanlink.KindToken, p.admission.handleTokens)
	server.Handle(rattanlink.KindWork, p.kept.handle)
	server.Handle(rattanlink.KindKnowledge, p.relay.handleKnowledge)
	server.Handle(rattanlink.KindStop, p.relay.handleStop)
	server.Handle(rattanlink.KindPromise, p.extension.handlePromise)
	if err := server.Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}
