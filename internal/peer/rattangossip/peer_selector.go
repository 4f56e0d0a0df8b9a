package rattangossip

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

const (
	// ownPeersPerRound and otherPeersPerRound are the numbers of peers of one
	// round: of this daemon's own failure domain and of the others.
	ownPeersPerRound   = 2
	otherPeersPerRound = 1
	// pushPeers is the number of peers that get an urgent change at once.
	pushPeers = 4
	// slotCount bounds the number of neighbours in each neighbourSet. Peers
	// drawn from the whole fleet would need a session, with its TLS handshake,
	// to every other daemon.
	slotCount = 12
	// rotateInterval is the time after which one slot of each neighbourSet gets
	// a new salt and with it another peer, so that no part of the fleet stays
	// separate.
	rotateInterval = 10 * time.Second
	// unreachableInterval is the time between attempts to reach a daemon that is
	// not live, or a seed. They rejoin the fleet after a partition.
	unreachableInterval = time.Second
)

// Peers lists the daemons that may be selected.
type Peers interface {
	// LivePeers returns the live daemons without this one.
	LivePeers() []Peer
	// UnreachablePeers returns known daemons that are not live, and seeds at
	// which no known daemon listens.
	UnreachablePeers() []Peer
}

// A PeerSelector selects the peers of each round and of each push.
type PeerSelector struct {
	domain string
	peers  Peers
	clock  rattanclock.Clock
	random *rand.Rand

	mutex sync.Mutex
	// own are the neighbours in this daemon's failure domain, other those in all
	// other ones.
	own     neighbourSet
	other   neighbourSet
	rotated time.Time
	// triedUnreachable is when an unreachable peer was last selected.
	triedUnreachable time.Time
}

// neighbourSet is the set of live peers with which a daemon exchanges records until
// the next rotation. Each slot has a random salt and holds the live peer that the
// salt ranks highest, so that the choice does not depend on the order in which
// peers became known: daemons that start together know the seeds first and would
// all keep them.
type neighbourSet struct {
	salts [slotCount]uint64
	// live are the live peers from which neighbours were chosen.
	live []Peer
	// neighbours are the peers in the slots, each once.
	neighbours []Peer
}

// NewPeerSelector returns a PeerSelector for a daemon of the given failure domain.
// random is used only while the PeerSelector's mutex is held.
func NewPeerSelector(domain string, peers Peers, clock rattanclock.Clock, random *rand.Rand) *PeerSelector {
	return &PeerSelector{domain: domain, peers: peers, clock: clock, random: random}
}

// SelectRound returns the peers of the next round: neighbours, and at times an
// unreachable peer.
func (p *PeerSelector) SelectRound() []Peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh()
	round := p.draw(p.own.neighbours, ownPeersPerRound)
	round = append(round, p.draw(p.other.neighbours, otherPeersPerRound)...)
	return append(round, p.drawUnreachable(len(round) == 0)...)
}

// SelectPush returns the peers that get an urgent change at once: half of them in
// this daemon's own failure domain, half in others.
func (p *PeerSelector) SelectPush() []Peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh()
	push := p.draw(p.own.neighbours, pushPeers/2)
	return append(push, p.draw(p.other.neighbours, pushPeers-len(push))...)
}

// refresh updates the neighbours after a change of the live peers, and rotates them
// every rotateInterval.
func (p *PeerSelector) refresh() {
	now := p.clock.Now()
	rotate := rattanclock.Elapsed(p.rotated, now) >= rotateInterval
	if rotate {
		p.rotated = now
	}
	var own, other []Peer
	for _, peer := range p.peers.LivePeers() {
		if peer.FailureDomain == p.domain {
			own = append(own, peer)
		} else {
			other = append(other, peer)
		}
	}
	p.own.refresh(own, rotate, p.random)
	p.other.refresh(other, rotate, p.random)
}

func (s *neighbourSet) refresh(live []Peer, rotate bool, random *rand.Rand) {
	if s.salts[0] == 0 {
		for i := range s.salts {
			s.salts[i] = random.Uint64()
		}
	}
	if rotate {
		s.salts[random.IntN(slotCount)] = random.Uint64()
	}
	if !rotate && slices.Equal(live, s.live) {
		return
	}
	s.live = live
	s.neighbours = s.neighbours[:0]
	if len(live) <= slotCount {
		s.neighbours = append(s.neighbours, live...)
		return
	}
	hashes := make([]uint64, len(live))
	for i, peer := range live {
		hashes[i] = xxhash.Sum64String(peer.VM)
	}
	for _, salt := range s.salts {
		if peer := live[highest(hashes, salt)]; !slices.Contains(s.neighbours, peer) {
			s.neighbours = append(s.neighbours, peer)
		}
	}
}

// highest returns the index of the hash that salt ranks highest. The rank is the
// hash mixed with the salt.
func highest(hashes []uint64, salt uint64) int {
	const mixer = 0x9e3779b97f4a7c15
	best, bestRank := 0, uint64(0)
	for i, hash := range hashes {
		rank := (hash ^ salt) * mixer
		rank ^= rank >> 32
		rank *= mixer
		if rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// draw returns up to count peers in random order.
func (p *PeerSelector) draw(from []Peer, count int) []Peer {
	drawn := make([]Peer, 0, count+1)
	for _, i := range p.random.Perm(len(from))[:min(count, len(from))] {
		drawn = append(drawn, from[i])
	}
	return drawn
}

// drawUnreachable returns one unreachable peer if the last one was drawn at least
// unreachableInterval ago, and always if alone is true: no live peer is known.
func (p *PeerSelector) drawUnreachable(alone bool) []Peer {
	now := p.clock.Now()
	if !alone && rattanclock.Elapsed(p.triedUnreachable, now) < unreachableInterval {
		return nil
	}
	p.triedUnreachable = now
	unreachable := p.peers.UnreachablePeers()
	if len(unreachable) == 0 {
		return nil
	}
	return []Peer{unreachable[p.random.IntN(len(unreachable))]}
}
