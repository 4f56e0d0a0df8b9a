package rattanload

import "math"

// A maxTree holds numbers, adds to a prefix of them and finds the highest of a
// prefix, each in logarithmic time.
type maxTree struct {
	size    int
	highs   []float64
	pending []float64
}

// newMaxTree returns a tree of n numbers.
func newMaxTree(n int, number func(i int) float64) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &maxTree{size: size, highs: make([]float64, 2*size), pending: make([]float64, 2*size)}
	for i := range size {
		t.highs[size+i] = math.Inf(-1)
		if i < n {
			t.highs[size+i] = number(i)
		}
	}
	for i := size - 1; i > 0; i-- {
		t.highs[i] = max(t.highs[2*i], t.highs[2*i+1])
	}
	return t
}

// addUpTo adds amount to the numbers 0 to last.
func (t *maxTree) addUpTo(last int, amount float64) { t.add(1, 0, t.size-1, last, amount) }

func (t *maxTree) add(node, from, to, last int, amount float64) {
	if to <= last {
		t.highs[node] += amount
		t.pending[node] += amount
		return
	}
	middle := (from + to) / 2
	t.add(2*node, from, middle, last, amount)
	if last > middle {
		t.add(2*node+1, middle+1, to, last, amount)
	}
	t.highs[node] = max(t.highs[2*node], t.highs[2*node+1]) + t.pending[node]
}

// highestUpTo returns the highest of the numbers 0 to last.
func (t *maxTree) highestUpTo(last int) float64 { return t.find(1, 0, t.size-1, last) }

func (t *maxTree) find(node, from, to, last int) float64 {
	if to <= last {
		return t.highs[node]
	}
	middle := (from + to) / 2
	found := t.find(2*node, from, middle, last)
	if last > middle {
		found = max(found, t.find(2*node+1, middle+1, to, last))
	}
	return found + t.pending[node]
}
