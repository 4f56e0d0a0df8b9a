package rattanproxy

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// relayInterval separates two rounds of calls by a daemon that cannot reach
	// the store.
	relayInterval = 250 * time.Millisecond
	// relayTimeout limits one call to another daemon.
	relayTimeout = 150 * time.Millisecond
	// relayPeers is how many daemons are called in one round, one after the other.
	relayPeers = 3
	// The store counts as unavailable to all once the share of the recently called
	// daemons that answered reaches enterOutageShare, and no longer counts so
	// below leaveOutageShare: then the daemons that do not answer may reach the
	// store. The first calls need only leaveOutageShare.
	leaveOutageShare, enterOutageShare = 0.6, 0.8
	// responseDecay is the weight of the counts of earlier rounds in the next
	// round.
	responseDecay = 0.75
)

// A relay gets the contents of the store and delegated grants from other daemons
// while this one cannot reach the store, and gives them to daemons in that state.
type relay struct {
	proxy *Proxy
	// isOutageShared is true while the other daemons answer but cannot delegate
	// grants.
	isOutageShared atomic.Bool
	// requests and responses count the recent calls and those that were answered,
	// with older rounds weighted by responseDecay.
	requests, responses float64

	mu sync.Mutex
	// delegated holds the daemons to which this one has delegated grants, by VM.
	delegated map[string]delegation
}

// A delegation is a delegation of grants to the daemon at an address until a time.
type delegation struct {
	address string
	until   time.Time
}

func newRelay(p *Proxy) *relay {
	return &relay{proxy: p, delegated: make(map[string]delegation)}
}

// run calls other daemons while this one lacks grants.
func (r *relay) run(ctx context.Context) error {
	for r.proxy.sleep(ctx, relayInterval) {
		if !r.lacksGrants() {
			continue
		}
		r.queryPeers(ctx)
		if r.proxy.grants.Remaining() < r.proxy.grants.Lifetime()/2 {
			r.proxy.extension.extend(ctx)
		}
	}
	return nil
}

// lacksGrants reports whether less than half of the grant lifetime is left by the daemon's
// own lease and no watcher delegates grants.
func (r *relay) lacksGrants() bool {
	until, isOwned := r.proxy.grants.LeaseExpiry()
	isRenewed := isOwned && until.Sub(r.proxy.boot.Now()) > r.proxy.grants.Lifetime()/2
	return !isRenewed && !r.proxy.follower.isFed()
}

func (r *relay) queryPeers(ctx context.Context) {
	addresses := r.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	r.requests *= responseDecay
	r.responses *= responseDecay
	for _, address := range addresses[:min(len(addresses), relayPeers)] {
		response, err := r.queryPeer(ctx, address)
		if err == nil && delegatedTime(response.GetGrantMs()) > 0 {
			r.isOutageShared.Store(false)
			r.requests, r.responses = 0, 0
			return
		}
		r.requests++
		if err == nil {
			r.responses++
		}
	}
	needed := leaveOutageShare
	if !r.isOutageShared.Load() && r.requests > relayPeers {
		needed = enterOutageShare
	}
	r.isOutageShared.Store(r.requests > 0 && r.responses >= needed*r.requests)
}

// peerAddresses returns the addresses of the other daemons, or the seed peers
// while none is known.
func (r *relay) peerAddresses() []string {
	var addresses []string
	for name, vm := range r.proxy.cache.Snapshot().VMs {
		if name != r.proxy.settings.VM() {
			addresses = append(addresses, vm.Address)
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, seed := range r.proxy.settings.SeedPeers() {
		if seed != r.proxy.settings.PeerAddress() {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// knowledgeRequest requests the contents of the store if they are newer than a
// revision, and delegated grants.
func (r *relay) knowledgeRequest(known rattankv.Revision) *rattanv1.PeerFrame {
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_KnowledgeRequest{
		KnowledgeRequest: &rattanv1.KnowledgeRequest{
			Vm: r.proxy.settings.VM(), Address: r.proxy.settings.PeerAddress(), Revision: int64(known),
		},
	}}
}

// queryPeer applies what another daemon has cached of the store, and the grants that it
// delegates.
func (r *relay) queryPeer(ctx context.Context, address string) (*rattanv1.KnowledgeResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sentAt := r.proxy.boot.Now()
	known := r.proxy.cache.Revision()
	reply, err := r.proxy.peers.Call(callCtx, address, r.knowledgeRequest(known))
	if err != nil {
		return nil, err
	}
	response := reply.GetKnowledgeResponse()
	page := rattankv.Page{AsOf: rattankv.Revision(response.GetAsOf()), Items: itemsFromWire(response.GetItems())}
	if response.GetIsComplete() {
		r.proxy.replaceCache(ctx, page, origin{source: sourceRelay, peer: address})
		r.proxy.logger.Info("knowledge_relayed", "peer", address, "from_revision", known.String(), "revision", page.AsOf.String())
	}
	r.proxy.applyItems(ctx, page.Items)
	r.proxy.observeNewerTerms(response.GetNewerTerms())
	if delegated := delegatedTime(response.GetGrantMs()); delegated > 0 {
		r.proxy.grants.AcceptDelegation(sentAt.Add(delegated))
	}
	return response, nil
}

// applyItems applies single items that another daemon has sent. Its records of groups
// count even where the store, restored from an older copy, holds older ones.
func (p *Proxy) applyItems(ctx context.Context, items []rattankv.Item) {
	events := make([]rattankv.Event, 0, len(items))
	for _, item := range items {
		events = append(events, rattankv.Event{Item: item})
	}
	p.logInvalidEntries(p.cache.Apply(rattankv.Changes{Events: events}))
	p.applyGroupRecords(ctx)
	for _, item := range items {
		p.applyGroupItem(ctx, item)
	}
}

// applyLostRecords acts on the records of groups among changes that another daemon has
// sent, which a restored store lacks: the cache does not take them.
func (p *Proxy) applyLostRecords(ctx context.Context, changes rattankv.Changes) {
	for _, event := range changes.Events {
		if !event.Deleted && event.Revision.Era() < changes.AsOf.Era() {
			p.applyGroupItem(ctx, event.Item)
		}
	}
}

// applyGroupItem acts on the record of a group in an item of another daemon. Other items
// are ignored.
func (p *Proxy) applyGroupItem(ctx context.Context, item rattankv.Item) {
	group, ok := strings.CutPrefix(item.Key, rattancache.GroupPrefix)
	if !ok {
		return
	}
	record, err := rattancache.DecodeGroup(item.Value)
	if err != nil {
		p.logInvalidEntries([]rattancache.InvalidEntry{{Key: item.Key, Revision: item.Revision, Err: err}})
		return
	}
	p.applyGroupRecord(ctx, group, record, item.Revision)
}

// groupItems returns the newest known records of the groups for another daemon.
func (p *Proxy) groupItems() []*rattanv1.StoreItem { return p.recordItems(p.grants.Records()) }

// lostGroupItems returns the known records of the groups that were read in an era of the
// store which has ended, for another daemon.
func (p *Proxy) lostGroupItems() []*rattanv1.StoreItem {
	return p.recordItems(p.grants.RecordsBefore(p.cache.Revision().Era()))
}

func (p *Proxy) recordItems(records map[string]rattangrant.KnownRecord) []*rattanv1.StoreItem {
	var items []*rattanv1.StoreItem
	for group, known := range records {
		item, err := groupItem(group, known)
		if err != nil {
			p.logger.Error("record_not_encoded", "group", group, "error", err)
			continue
		}
		items = append(items, itemToWire(item))
	}
	return items
}

// groupItem returns the item of a group's record.
func groupItem(group string, known rattangrant.KnownRecord) (rattankv.Item, error) {
	value, err := json.Marshal(known.PrimaryRecord)
	return rattankv.Item{Key: rattancache.GroupPrefix + group, Value: value, Revision: known.Revision}, err
}

func itemsFromWire(items []*rattanv1.StoreItem) []rattankv.Item {
	list := make([]rattankv.Item, 0, len(items))
	for _, item := range items {
		list = append(list, itemFromWire(item))
	}
	return list
}

func itemFromWire(item *rattanv1.StoreItem) rattankv.Item {
	decoded := rattankv.Item{
		Key: item.GetKey(), Value: item.GetValue(),
		Revision: rattankv.Revision(item.GetRevision()), CreateRevision: rattankv.Revision(item.GetCreated()),
	}
	if item.GetLease() != 0 {
		decoded.Lease = rattankv.Lease{Era: decoded.Revision.Era(), ID: item.GetLease()}
	}
	return decoded
}

func itemToWire(item rattankv.Item) *rattanv1.StoreItem {
	return &rattanv1.StoreItem{
		Key: item.Key, Value: item.Value, Revision: int64(item.Revision), Created: int64(item.CreateRevision), Lease: item.Lease.ID,
	}
}

// handleKnowledge answers a daemon that cannot reach the store. The delegation is
// recorded before the response is sent, because a stop may be confirmed only once
// every delegation has been stopped or has expired.
func (r *relay) handleKnowledge(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetKnowledgeRequest()
	response := &rattanv1.KnowledgeResponse{KnowsRecords: r.proxy.knowsRecords.Load() && r.proxy.grants.IsHeld()}
	if until, ok := r.proxy.grants.LeaseExpiry(); ok {
		r.recordDelegation(request.GetVm(), request.GetAddress(), until)
		response.GrantMs = encodeGrantTime(until, r.proxy.boot.Now())
	}
	page := r.proxy.cache.Items()
	response.AsOf = int64(page.AsOf)
	response.IsComplete = page.AsOf > rattankv.Revision(request.GetRevision())
	if response.IsComplete {
		for _, item := range page.Items {
			response.Items = append(response.Items, itemToWire(item))
		}
	}
	response.Items = append(response.Items, r.proxy.groupItems()...)
	response.NewerTerms = r.proxy.grants.OutdatedTerms()
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_KnowledgeResponse{KnowledgeResponse: response}}, nil
}

// recordDelegation records that grants are delegated to a daemon until a time.
func (r *relay) recordDelegation(vm, address string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delegated[vm] = delegation{address: address, until: until}
}

// stopDelegates notifies the daemons to which this one has delegated grants that
// a group's switchover has begun. It returns when each of them has confirmed or
// its delegation has expired.
func (r *relay) stopDelegates(ctx context.Context, group string) {
	record, ok := r.proxy.cache.Item(rattancache.GroupPrefix + group)
	if !ok {
		return
	}
	var pending sync.WaitGroup
	for vm, delegated := range r.activeDelegations() {
		pending.Go(func() { r.stopDelegate(ctx, vm, delegated, record) })
	}
	pending.Wait()
}

func (r *relay) activeDelegations() map[string]delegation {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.proxy.boot.Now()
	current := make(map[string]delegation)
	for vm, delegated := range r.delegated {
		if now.Before(delegated.until) {
			current[vm] = delegated
		} else {
			delete(r.delegated, vm)
		}
	}
	return current
}

func (r *relay) stopDelegate(ctx context.Context, vm string, delegated delegation, record rattankv.Item) {
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_StopRequest{
		StopRequest: &rattanv1.StopRequest{Record: itemToWire(record)},
	}}
	callCtx, cancel := context.WithTimeout(ctx, quiesceTimeout+2*relayTimeout)
	defer cancel()
	if _, err := r.proxy.peers.Call(callCtx, delegated.address, frame); err == nil {
		return
	}
	remaining := delegated.until.Sub(r.proxy.boot.Now())
	r.proxy.logger.Info("borrower_silent", "borrower", vm, "wait_ms", remaining.Milliseconds())
	r.proxy.sleep(ctx, remaining)
}

// errStopRejected rejects a notification that is not a valid group record or is
// for another process.
var errStopRejected = errors.New("the message holds no valid group record, or is for another process of this VM")

// handleStop stops the requests to a group's primary at the notification of the
// failover leader, or of the daemon that has delegated grants to this one, and
// confirms that.
func (r *relay) handleStop(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetStopRequest()
	if request.GetIncarnation() != "" && request.GetIncarnation() != r.proxy.registration.incarnation {
		return nil, errStopRejected
	}
	item := itemFromWire(request.GetRecord())
	group, ok := strings.CutPrefix(item.Key, rattancache.GroupPrefix)
	if !ok {
		return nil, errStopRejected
	}
	r.proxy.applyItems(ctx, []rattankv.Item{item})
	if _, revision, _ := r.proxy.grants.Record(group); revision < item.Revision {
		return nil, errStopRejected
	}
	r.stopGroup(ctx, group)
	r.proxy.registration.recordDirectStop(item)
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_StopResponse{StopResponse: &rattanv1.StopResponse{}}}, nil
}

// stopGroup returns when neither this daemon nor one to which it has delegated
// grants has requests to a group's primary in flight.
func (r *relay) stopGroup(ctx context.Context, group string) {
	r.proxy.grants.Quiesce(group, quiesceTimeout)
	r.stopDelegates(ctx, group)
}
