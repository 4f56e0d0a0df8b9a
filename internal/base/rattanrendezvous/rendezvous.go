// Package rattanrendezvous chooses daemons by rendezvous hashing: every daemon that
// knows the same names makes the same choice, and when a name comes or goes, only the
// choices that it affects change.
package rattanrendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a name for a key. The highest weight is chosen first.
func Weight(name, key string) uint64 {
	return xxhash.Sum64String(name + "\x00" + key)
}

// Score returns the score of a name for a key, of a positive size. The highest score is
// chosen first: each name is chosen for a part of the keys in proportion to its size, and
// names of equal size in the order of their weights.
func Score(name, key string, size float64) float64 {
	// The hash as a number above 0 and below 1.
	const steps = 1 << 53
	fraction := (float64(Weight(name, key)>>11) + 0.5) / steps
	return -size / math.Log(fraction)
}

// Sort sorts items by descending weight of their names for a key, then by name.
func Sort[T any](items []T, key string, name func(T) string) {
	type weighted struct {
		item   T
		name   string
		weight uint64
	}
	list := make([]weighted, 0, len(items))
	for _, item := range items {
		list = append(list, weighted{item: item, name: name(item), weight: Weight(name(item), key)})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	for i, w := range list {
		items[i] = w.item
	}
}

// Top returns the at most n names with the highest weights for a key.
func Top(names []string, key string, n int) []string {
	ranked := slices.Clone(names)
	Sort(ranked, key, func(name string) string { return name })
	return ranked[:min(n, len(ranked))]
}
