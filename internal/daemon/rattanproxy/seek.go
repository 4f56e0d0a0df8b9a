package rattanproxy

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/rattanstream/rattanstream/internal/config/rattanpropagation"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// runSeek asks other daemons for the changes of the store while this one's copy may be behind.
// Whether its own sources answer does not matter: they may know nothing new themselves.
func (f *follower) runSeek(ctx context.Context) error {
	for f.proxy.sleep(ctx, rattanpropagation.SeekInterval) {
		if f.proxy.configuration.isBehind() {
			f.seekRound(ctx)
		}
	}
	return nil
}

// seekRound asks a few daemons, one after the other, until this one is behind no longer.
func (f *follower) seekRound(ctx context.Context) {
	round, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := f.proxy.relay.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var pending sync.WaitGroup
	for _, address := range addresses[:min(len(addresses), rattanpropagation.SeekPeers)] {
		answered := make(chan struct{})
		pending.Go(func() {
			defer close(answered)
			f.seek(ctx, round, address)
		})
		select {
		case <-answered:
		case <-f.proxy.clock.After(rattanpropagation.SeekStagger):
		}
		if !f.proxy.configuration.isBehind() {
			cancel()
			break
		}
	}
	pending.Wait()
}

// seek applies the changes that another daemon knows, which need not watch the store itself. It
// accepts no grants. The round limits the question, not what follows from the answer: a stop
// that a group's record asks for is confirmed later.
func (f *follower) seek(ctx, round context.Context, address string) {
	callCtx, cancel := context.WithTimeout(round, rattanpropagation.SeekTimeout)
	defer cancel()
	sentAt := f.proxy.boot.Now()
	response, err := f.request(callCtx, address, &rattanv1.StoreWatchRequest{ChangesOnly: true})
	if err != nil || !response.GetIsSource() {
		return
	}
	f.apply(ctx, response, origin{source: sourceRelay, peer: address})
	f.confirm(response, sentAt)
}
