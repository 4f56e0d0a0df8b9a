package rattanproxy

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// relayInterval separates two questions of a daemon that cannot reach the store.
	relayInterval = 250 * time.Millisecond
	// relayTimeout limits one question to another daemon.
	relayTimeout = 150 * time.Millisecond
	// relayPeers is how many daemons are asked in turn.
	relayPeers = 3
	// fewAnswers and mostAnswers are the shares of the daemons asked lately that
	// answer, below which those that do not may have the store, and above which the
	// store counts as away for all again.
	fewAnswers, mostAnswers = 0.6, 0.8
	// answerDecay is the weight of a round of questions in the next one.
	answerDecay = 0.75
	// relayMargin is kept back of the time for which another daemon vouches.
	relayMargin = 20 * time.Millisecond
)

// A relay gets knowledge of the store from other daemons while the store does
// not answer this one, and gives it to daemons in that state.
type relay struct {
	proxy *Proxy
	// isShared is true while the other daemons answer and cannot vouch either.
	isShared atomic.Bool
	// asked and answered are how many daemons were asked lately and answered.
	asked, answered float64

	mu sync.Mutex
	// lent is until when this daemon has vouched for the records, by VM.
	lent map[string]lending
}

type lending struct {
	address string
	until   time.Time
}

func newRelay(p *Proxy) *relay {
	return &relay{proxy: p, lent: make(map[string]lending)}
}

// run asks other daemons while the own lease gives no grants.
func (r *relay) run(ctx context.Context) error {
	for r.proxy.sleep(ctx, relayInterval) {
		until, isOwned := r.proxy.grants.LeaseExpiry()
		if isOwned && until.Sub(r.proxy.boot.Now()) > r.proxy.grants.Lifetime()/2 {
			continue
		}
		r.askAny(ctx)
		if r.proxy.grants.Remaining() < r.proxy.grants.Lifetime()/2 {
			r.proxy.extension.extend(ctx)
		}
	}
	return nil
}

func (r *relay) askAny(ctx context.Context) {
	addresses := r.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	r.asked *= answerDecay
	r.answered *= answerDecay
	for _, address := range addresses[:min(len(addresses), relayPeers)] {
		vouched, err := r.ask(ctx, address)
		if err == nil && vouched {
			r.isShared.Store(false)
			r.asked, r.answered = 0, 0
			return
		}
		r.asked++
		if err == nil {
			r.answered++
		}
	}
	needed := fewAnswers
	if !r.isShared.Load() && r.asked > relayPeers {
		needed = mostAnswers
	}
	r.isShared.Store(r.asked > 0 && r.answered >= needed*r.asked)
}

// addresses returns the other daemons, or the seeds while none is known.
func (r *relay) addresses() []string {
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

// request asks another daemon for what it knows beyond a revision, and to vouch.
func (r *relay) request(known int64) *rattanv1.PeerFrame {
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_KnowledgeRequest{
		KnowledgeRequest: &rattanv1.KnowledgeRequest{
			Vm: r.proxy.settings.VM(), Address: r.proxy.settings.PeerAddress(), Revision: known,
		},
	}}
}

// ask takes over what another daemon knows. It returns true when that daemon
// vouches for the groups' records.
func (r *relay) ask(ctx context.Context, address string) (bool, error) {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	asked := r.proxy.boot.Now()
	known := r.proxy.cache.Revision()
	answer, err := r.proxy.peers.Call(call, address, r.request(known))
	if err != nil {
		return false, err
	}
	response := answer.GetKnowledgeResponse()
	page := rattankv.Page{AsOf: response.GetAsOf(), Items: itemsFromWire(response.GetItems())}
	if response.GetIsComplete() {
		r.proxy.noteFaults(r.proxy.cache.Replace("", page))
		r.proxy.cache.AdvanceRevision(page.AsOf)
		r.proxy.logger.Info("knowledge_relayed", "peer", address, "from_revision", known, "revision", page.AsOf)
		r.proxy.learnGroups(ctx)
	} else {
		r.proxy.learnItems(ctx, page.Items)
	}
	vouched := time.Duration(response.GetGrantMs()) * time.Millisecond
	if vouched <= relayMargin {
		return false, nil
	}
	r.proxy.grants.AcceptDelegation(asked.Add(vouched - relayMargin))
	return true, nil
}

// learnItems takes single items in that another daemon told.
func (p *Proxy) learnItems(ctx context.Context, items []rattankv.Item) {
	events := make([]rattankv.Event, 0, len(items))
	for _, item := range items {
		events = append(events, rattankv.Event{Item: item})
	}
	p.noteFaults(p.cache.Apply(rattankv.Changes{Events: events}))
	p.learnGroups(ctx)
}

// groupItems returns the groups' records for another daemon.
func (p *Proxy) groupItems() []*rattanv1.StoreItem {
	var items []*rattanv1.StoreItem
	for _, item := range p.cache.Items().Items {
		if strings.HasPrefix(item.Key, rattancache.GroupPrefix) {
			items = append(items, itemToWire(item))
		}
	}
	return items
}

func itemsFromWire(items []*rattanv1.StoreItem) []rattankv.Item {
	list := make([]rattankv.Item, 0, len(items))
	for _, item := range items {
		list = append(list, itemFromWire(item))
	}
	return list
}

func itemFromWire(item *rattanv1.StoreItem) rattankv.Item {
	return rattankv.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), CreateRevision: item.GetCreated(), Lease: item.GetLease()}
}

func itemToWire(item rattankv.Item) *rattanv1.StoreItem {
	return &rattanv1.StoreItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Created: item.CreateRevision, Lease: item.Lease}
}

// handleKnowledge answers a daemon that cannot reach the store. What this daemon
// vouches for is noted first: a switch is confirmed only after that has ended.
func (r *relay) handleKnowledge(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetKnowledgeRequest()
	response := &rattanv1.KnowledgeResponse{}
	if until, ok := r.proxy.grants.LeaseExpiry(); ok {
		r.note(request, until)
		response.GrantMs = uint32(until.Sub(r.proxy.boot.Now()).Milliseconds())
	}
	page := r.proxy.cache.Items()
	response.AsOf = page.AsOf
	response.IsComplete = page.AsOf > request.GetRevision()
	if !response.IsComplete {
		response.Items = r.proxy.groupItems()
		return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_KnowledgeResponse{KnowledgeResponse: response}}, nil
	}
	for _, item := range page.Items {
		response.Items = append(response.Items, itemToWire(item))
	}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_KnowledgeResponse{KnowledgeResponse: response}}, nil
}

func (r *relay) note(request *rattanv1.KnowledgeRequest, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lent[request.GetVm()] = lending{address: request.GetAddress(), until: until}
}

// stopBorrowers tells the daemons for which this one vouches that a group's
// switch has begun, and returns when each has confirmed or can no longer rely on
// what it was told.
func (r *relay) stopBorrowers(ctx context.Context, group string) {
	record, ok := r.proxy.cache.Item(rattancache.GroupPrefix + group)
	if !ok {
		return
	}
	var told sync.WaitGroup
	for vm, lent := range r.borrowers() {
		told.Go(func() { r.stopBorrower(ctx, vm, lent, record) })
	}
	told.Wait()
}

func (r *relay) borrowers() map[string]lending {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.proxy.boot.Now()
	current := make(map[string]lending)
	for vm, lent := range r.lent {
		if now.Before(lent.until) {
			current[vm] = lent
		} else {
			delete(r.lent, vm)
		}
	}
	return current
}

func (r *relay) stopBorrower(ctx context.Context, vm string, lent lending, record rattankv.Item) {
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_StopRequest{
		StopRequest: &rattanv1.StopRequest{Record: itemToWire(record)},
	}}
	call, cancel := context.WithTimeout(ctx, quiescePatience+2*relayTimeout)
	defer cancel()
	if _, err := r.proxy.peers.Call(call, lent.address, frame); err == nil {
		return
	}
	remaining := lent.until.Sub(r.proxy.boot.Now())
	r.proxy.logger.Info("borrower_silent", "borrower", vm, "wait_ms", remaining.Milliseconds())
	r.proxy.sleep(ctx, remaining)
}

// errNoSwitch answers a message about a switch that is not for this daemon.
var errNoSwitch = errors.New("the record is not that of a switch under way, or another daemon is meant")

// handleStop stops primary work of a group for which another daemon vouched.
func (r *relay) handleStop(ctx context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetStopRequest()
	if request.GetIncarnation() != "" && request.GetIncarnation() != r.proxy.register.incarnation {
		return nil, errNoSwitch
	}
	item := itemFromWire(request.GetRecord())
	group, ok := strings.CutPrefix(item.Key, rattancache.GroupPrefix)
	if !ok {
		return nil, errNoSwitch
	}
	r.proxy.learnItems(ctx, []rattankv.Item{item})
	if _, revision, _ := r.proxy.grants.Record(group); revision < item.Revision {
		return nil, errNoSwitch
	}
	r.stopGroup(ctx, group)
	r.proxy.register.noteDirect(item)
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_StopResponse{StopResponse: &rattanv1.StopResponse{}}}, nil
}

// stopGroup returns when neither this daemon nor one for which it vouches has
// primary work of a group under way.
func (r *relay) stopGroup(ctx context.Context, group string) {
	r.proxy.grants.Quiesce(group, quiescePatience)
	r.stopBorrowers(ctx, group)
}
