package rattanproxy

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanquorum"
)

const (
	// recordPeers is how many daemons are asked for the groups' records at once.
	recordPeers = 5
	// recordRetry separates two rounds of that.
	recordRetry = 50 * time.Millisecond
)

// markLeaseLost records that the lease has ended. A daemon whose grants had ended before
// may have missed a switchover; without the newest records of the store, it knows no more
// than one that has just started.
func (p *Proxy) markLeaseLost() {
	if !p.grants.IsHeld() {
		p.knowsRecords.Store(false)
	}
	p.grants.MarkLeaseLost()
}

// askForRecords asks other members for the groups' records that they know, as long as the
// context lasts. It returns true once a daemon has answered that has held grants without a
// gap: such a daemon knows at least that a switchover had begun, since a switchover waits
// for every daemon. It also does when no other daemon can hold grants: each has answered
// that it held none, or has been unregistered for as long as grants may last.
func (p *Proxy) askForRecords(ctx context.Context) bool {
	unsure := make(map[string]bool)
	for ctx.Err() == nil {
		others := p.membersToAsk(unsure)
		if len(others) == 0 && !p.cache.SyncedAt().IsZero() {
			return true
		}
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		if p.askMembers(ctx, others[:min(len(others), recordPeers)], unsure) {
			return true
		}
		p.sleep(ctx, recordRetry)
	}
	return false
}

// membersToAsk returns the other members that may hold grants or know records.
func (p *Proxy) membersToAsk(unsure map[string]bool) []string {
	snapshot := p.cache.Snapshot()
	now := p.boot.Now()
	var names []string
	for name := range snapshot.Members {
		_, isRegistered := snapshot.VMs[name]
		isOver := !isRegistered && now.Sub(p.cache.UnregisteredSince(name)) >= rattanquorum.MaxLifetime+rattanquorum.Margin
		if name != p.settings.VM() && !unsure[name] && !isOver {
			names = append(names, name)
		}
	}
	return names
}

// askMembers asks members for the groups' records at once. It reports whether one of them
// has held grants without a gap, and adds those that have not to unsure.
func (p *Proxy) askMembers(ctx context.Context, names []string, unsure map[string]bool) bool {
	members := p.cache.Snapshot().Members
	var pending sync.WaitGroup
	var mu sync.Mutex
	isKnown := false
	for _, name := range names {
		pending.Go(func() {
			response, err := p.relay.queryPeer(ctx, members[name].Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			isKnown = isKnown || response.GetKnowsRecords()
			unsure[name] = !response.GetKnowsRecords()
		})
	}
	pending.Wait()
	return isKnown
}

// settleEra records in the store that it holds the newest records of all groups in an
// era, so that daemons which start need not ask others. Only the failover leader calls
// it, after it has found no lost record. It reports whether that succeeded.
func (p *Proxy) settleEra(ctx context.Context, era int64) bool {
	value, err := json.Marshal(era)
	if err != nil {
		p.logger.Error("era_not_encoded", "era", era, "error", err)
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	txn := rattankv.Txn{Writes: []rattankv.Item{{Key: rattancache.SettledKey, Value: value}}}
	if _, err := p.platform.Store.Commit(callCtx, txn); err != nil {
		p.markStoreLost(ctx, "settle", err)
		return false
	}
	p.logger.Info("era_settled", "era", era)
	return true
}
