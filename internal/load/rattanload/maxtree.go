package rattanload

import "math"

// A maxTree is a segment tree over a fixed number of values. It adds an amount to a
// prefix of them and finds the maximum of a prefix, each in logarithmic time.
type maxTree struct {
	// size is the number of leaves, a power of two.
	size int
	// maxima has the maximum of each node's range, with what is pending at the node but
	// not at the nodes above it.
	maxima []float64
	// pending is what was added to a node's whole range and is not in its children.
	pending []float64
}

// newMaxTree returns a tree of n values.
func newMaxTree(n int, value func(i int) float64) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &maxTree{size: size, maxima: make([]float64, 2*size), pending: make([]float64, 2*size)}
	for i := range size {
		t.maxima[size+i] = math.Inf(-1)
		if i < n {
			t.maxima[size+i] = value(i)
		}
	}
	for i := size - 1; i > 0; i-- {
		t.maxima[i] = max(t.maxima[2*i], t.maxima[2*i+1])
	}
	return t
}

// addUpTo adds amount to the values 0 to last.
func (t *maxTree) addUpTo(last int, amount float64) { t.add(1, 0, t.size-1, last, amount) }

func (t *maxTree) add(node, from, to, last int, amount float64) {
	if to <= last {
		t.maxima[node] += amount
		t.pending[node] += amount
		return
	}
	middle := (from + to) / 2
	t.add(2*node, from, middle, last, amount)
	if last > middle {
		t.add(2*node+1, middle+1, to, last, amount)
	}
	t.maxima[node] = max(t.maxima[2*node], t.maxima[2*node+1]) + t.pending[node]
}

// highestUpTo returns the maximum of the values 0 to last.
func (t *maxTree) highestUpTo(last int) float64 { return t.find(1, 0, t.size-1, last) }

func (t *maxTree) find(node, from, to, last int) float64 {
	if to <= last {
		return t.maxima[node]
	}
	middle := (from + to) / 2
	found := t.find(2*node, from, middle, last)
	if last > middle {
		found = max(found, t.find(2*node+1, middle+1, to, last))
	}
	return found + t.pending[node]
}
