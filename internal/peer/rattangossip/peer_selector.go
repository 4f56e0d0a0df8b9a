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
	// ownPeersPerRound and otherPeersPerRound are the peers of one round: of
	// the own failure domain and of another one.
	ownPeersPerRound   = 2
	otherPeersPerRound = 1
	// pushPeers is the number of peers that get an urgent change at once.
	pushPeers = 4
	// slotCount bounds the peers of each side that a daemon exchanges with for
	// a while. Peers drawn from the whole fleet would need a session, with its
	// TLS handshake, to every other daemon.
	slotCount = 12
	// rotateInterval is the time after which one slot of each side gets
	// another peer, so that no part of the fleet stays separate.
	rotateInterval = 10 * time.Second
	// lostInterval is the time between attempts to reach a daemon that is not
	// live, or a seed. They end partitions.
	lostInterval = time.Second
)

// Peers tells which daemons there are.
type Peers interface {
	// LivePeers returns the live daemons without this one.
	LivePeers() []Peer
	// UnreachablePeers returns known daemons that are not live, and the seeds.
	UnreachablePeers() []Peer
}

// A PeerSelector chooses the peers of each round.
type PeerSelector struct {
	domain string
	peers  Peers
	clock  rattanclock.Clock
	random *rand.Rand

	mutex   sync.Mutex
	own     side
	other   side
	rotated time.Time
	lost    time.Time
}

// side is the neighbours of the own failure domain or of the others. Each slot
// holds the live peer that its salt ranks highest, so that the choice does not
// depend on the order in which peers became known: daemons that start together
// know the seeds first and would all keep them.
type side struct {
	salts      [slotCount]uint64
	live       []Peer
	neighbours []Peer
}

// NewPeerSelector returns a PeerSelector for a daemon of a failure domain. random is used
// under the PeerSelector's lock only.
func NewPeerSelector(domain string, peers Peers, clock rattanclock.Clock, random *rand.Rand) *PeerSelector {
	return &PeerSelector{domain: domain, peers: peers, clock: clock, random: random}
}

// SelectRound returns the peers of the next round.
func (p *PeerSelector) SelectRound() []Peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh()
	round := p.draw(p.own.neighbours, ownPeersPerRound)
	round = append(round, p.draw(p.other.neighbours, otherPeersPerRound)...)
	return append(round, p.drawLost(len(round) == 0)...)
}

// SelectPush returns the peers that get an urgent change at once: half of the own
// failure domain, half of others.
func (p *PeerSelector) SelectPush() []Peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh()
	push := p.draw(p.own.neighbours, pushPeers/2)
	return append(push, p.draw(p.other.neighbours, pushPeers-len(push))...)
}

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

func (s *side) refresh(live []Peer, rotate bool, random *rand.Rand) {
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

// highest returns the index of the hash that salt ranks highest.
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

func (p *PeerSelector) draw(from []Peer, count int) []Peer {
	drawn := make([]Peer, 0, count+1)
	for _, i := range p.random.Perm(len(from))[:min(count, len(from))] {
		drawn = append(drawn, from[i])
	}
	return drawn
}

// drawLost returns one daemon that is not live or seed when the time for it has
// come, and in every round while no live daemon is known.
func (p *PeerSelector) drawLost(alone bool) []Peer {
	now := p.clock.Now()
	if !alone && rattanclock.Elapsed(p.lost, now) < lostInterval {
		return nil
	}
	p.lost = now
	lost := p.peers.UnreachablePeers()
	if len(lost) == 0 {
		return nil
	}
	return []Peer{lost[p.random.IntN(len(lost))]}
}
