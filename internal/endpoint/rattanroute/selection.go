package rattanroute

import "github.com/rattanstream/rattanstream/internal/base/rattanmodel"

// selection chooses at most maxReplicas of the replicas of equal rank that are added to
// it, each with the same probability over all values of spread. It is reservoir
// sampling with spread as the source of random numbers, so it needs one pass and no
// memory per replica.
type selection struct {
	spread uint64
	chosen [maxReplicas]*rattanmodel.EndpointView
	seen   uint64
}

func (s *selection) add(endpoint *rattanmodel.EndpointView) {
	place := s.seen
	s.seen++
	if place >= maxReplicas {
		place = mix(s.spread+s.seen) % s.seen
	}
	if place < maxReplicas {
		s.chosen[place] = endpoint
	}
}

// rotated returns the chosen replicas, rotated by spread.
func (s *selection) rotated() []*rattanmodel.EndpointView {
	n := min(s.seen, maxReplicas)
	if n == 0 {
		return nil
	}
	ordered := make([]*rattanmodel.EndpointView, 0, maxReplicas)
	for i := range n {
		ordered = append(ordered, s.chosen[(s.spread%n+i)%n])
	}
	return ordered
}

// mix spreads the bits of n (the finalizer of SplitMix64), so that consecutive
// numbers give independent choices.
func mix(n uint64) uint64 {
	n ^= n >> 30
	n *= 0xbf58476d1ce4e5b9
	n ^= n >> 27
	n *= 0x94d049bb133111eb
	return n ^ n>>31
}
