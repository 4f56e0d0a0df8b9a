package rattanmodel

import "github.com/rattanstream/rattanstream/internal/wire/rattanv1"

// A TermStart is a term and the index at which its entries start.
type TermStart struct {
	Term       uint64 `json:"term"`
	StartIndex uint64 `json:"start_index"`
}

// A TermHistory lists the terms of a log and the index at which each starts, oldest
// term first.
type TermHistory []TermStart

// TermHistoryFromWire converts a term history from its wire messages.
func TermHistoryFromWire(starts []*rattanv1.TermStart) TermHistory {
	termHistory := make(TermHistory, 0, len(starts))
	for _, start := range starts {
		termHistory = append(termHistory, TermStart{Term: start.GetTerm(), StartIndex: start.GetStartIndex()})
	}
	return termHistory
}

// Wire converts h to its wire messages.
func (h TermHistory) Wire() []*rattanv1.TermStart {
	starts := make([]*rattanv1.TermStart, 0, len(h))
	for _, start := range h {
		starts = append(starts, &rattanv1.TermStart{Term: start.Term, StartIndex: start.StartIndex})
	}
	return starts
}

// Resolve returns the index up to which a log with this term history must hold
// entries to contain all acknowledged entries up to p. When the term of p has ended,
// entries past the end of that term were never acknowledged, so the index is at most
// the last one before the next term, or before a later one that starts sooner: its primary
// had not received all that the terms before had left. The second result is false when the
// term of p is newer than all terms of the history: the log cannot contain p.
func (h TermHistory) Resolve(p Position) (uint64, bool) {
	if p.Term == 0 {
		return 0, true
	}
	if h.Term() < p.Term {
		return 0, false
	}
	index := p.Index
	for _, start := range h {
		if start.Term > p.Term {
			index = min(index, start.StartIndex-1)
		}
	}
	return index, true
}

// Term returns the newest term of h, or 0 when h is empty.
func (h TermHistory) Term() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}
