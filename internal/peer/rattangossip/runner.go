package rattangossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// GossipInterval is the mean time between two rounds.
	GossipInterval = 200 * time.Millisecond
	// roundJitter is the largest deviation from GossipInterval.
	roundJitter = 20 * time.Millisecond
	// regularTimeout bounds the first request of an exchange. repairTimeout
	// bounds each of the others, which may carry large records.
	regularTimeout = time.Second
	repairTimeout  = 5 * time.Second
	// maxRequestsPerExchange bounds the requests of one exchange: regular request,
	// bucket digests, versions, and records that the peer has requested.
	maxRequestsPerExchange = 4
	// pushDelay is the time for which an urgent change waits for others, so that
	// they are pushed together.
	pushDelay = 10 * time.Millisecond
	// sweepInterval is the shortest time between two calls of Store.Sweep.
	sweepInterval = time.Second
)

// A Link sends a request to another daemon and returns the response.
// *rattanlink.Client implements it.
type Link interface {
	Call(ctx context.Context, address string, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error)
}

// A Runner exchanges records with other daemons at every round and pushes
// urgent changes.
type Runner struct {
	exchange *Exchange
	selector *PeerSelector
	link     Link
	clock    rattanclock.Clock
	random   *rand.Rand

	started, failed atomic.Uint64

	mutex sync.Mutex
	// busy has the addresses of the peers with a running regular exchange.
	busy map[string]bool
}

// NewRunner returns a Runner. random is used by Run's goroutine only and must not
// be the one that selector uses.
func NewRunner(exchange *Exchange, selector *PeerSelector, link Link, clock rattanclock.Clock, random *rand.Rand) *Runner {
	return &Runner{
		exchange: exchange,
		selector: selector,
		link:     link,
		clock:    clock,
		random:   random,
		busy:     make(map[string]bool),
	}
}

// Exchanges returns the number of exchanges started and failed so far.
func (r *Runner) Exchanges() (started, failed uint64) {
	return r.started.Load(), r.failed.Load()
}

// Run exchanges records until ctx ends. It returns ctx's error after all exchanges
// have ended.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	lastSweep := r.clock.Now()
	round := r.clock.After(r.roundDelay())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-round:
			round = r.clock.After(r.roundDelay())
			for _, peer := range r.selector.SelectRound() {
				r.start(ctx, &running, peer)
			}
		case <-r.exchange.store.pushReady():
			running.Go(func() { r.push(ctx) })
		}
		if now := r.clock.Now(); rattanclock.Elapsed(lastSweep, now) >= sweepInterval {
			lastSweep = now
			r.exchange.store.Sweep()
		}
	}
}

// roundDelay returns the time until the next round: GossipInterval with random
// jitter, so that the rounds of different daemons do not align.
func (r *Runner) roundDelay() time.Duration {
	return GossipInterval - roundJitter + time.Duration(r.random.Int64N(int64(2*roundJitter)))
}

// start starts an exchange with a peer unless the last one with it is still
// running, so that exchanges with a slow peer do not pile up.
func (r *Runner) start(ctx context.Context, running *sync.WaitGroup, peer Peer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.busy[peer.Address] {
		return
	}
	r.busy[peer.Address] = true
	running.Go(func() {
		r.run(ctx, peer.Address, r.exchange.Request(peer))
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.busy, peer.Address)
	})
}

// push sends the urgent changes to the selected peers after pushDelay.
func (r *Runner) push(ctx context.Context) {
	select {
	case <-r.clock.After(pushDelay):
	case <-ctx.Done():
		return
	}
	request := r.exchange.Push()
	if request == nil {
		return
	}
	var running sync.WaitGroup
	defer running.Wait()
	for _, peer := range r.selector.SelectPush() {
		running.Go(func() { r.run(ctx, peer.Address, request) })
	}
}

// run makes one exchange, starting with request.
func (r *Runner) run(ctx context.Context, address string, request *rattanv1.SyncRequest) {
	r.started.Add(1)
	timeout := regularTimeout
	for range maxRequestsPerExchange {
		sent := r.clock.Now()
		response, err := r.send(ctx, address, request, timeout)
		if err != nil {
			r.failed.Add(1)
			return
		}
		request = r.exchange.HandleResponse(request, response, sent)
		if request == nil {
			return
		}
		timeout = repairTimeout
	}
}

// send sends one request and returns the response.
func (r *Runner) send(ctx context.Context, address string, request *rattanv1.SyncRequest, timeout time.Duration) (*rattanv1.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_SyncRequest{SyncRequest: request}}
	answer, err := r.link.Call(ctx, address, frame)
	if err != nil {
		return nil, err
	}
	response := answer.GetSyncResponse()
	if response == nil {
		return nil, errors.Errorf("peer %s answered a sync request with another kind of frame", address)
	}
	return response, nil
}

// Handle answers a sync request. It is a handler for rattanlink.
func (r *Runner) Handle(_ context.Context, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	request := frame.GetSyncRequest()
	if request == nil {
		return nil, errors.New("frame has no sync request")
	}
	response := r.exchange.HandleRequest(request)
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_SyncResponse{SyncResponse: response}}, nil
}
