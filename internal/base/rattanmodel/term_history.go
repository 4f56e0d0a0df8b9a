package rattanmodel

import "github.com/rattanstream/rattanstream/internal/wire/rattanv1"

// A TermStart says at which index a term began.
type TermStart struct {
	Term       uint64 `json:"term"`
	StartIndex uint64 `json:"start_index"`
}

// A TermHistory lists the terms of a log with the index at which each began, oldest
// first.
type TermHistory []TermStart

// TermHistoryFromWire converts a wire term history.
func TermHistoryFromWire(starts []*rattanv1.TermStart) TermHistory {
	termHistory := make(TermHistory, 0, len(starts))
	for _, start := range starts {
		termHistory = append(termHistory, TermStart{Term: start.GetTerm(), StartIndex: start.GetStartIndex()})
	}
	return termHistory
}

// Wire returns l as wire messages.
func (l TermHistory) Wire() []*rattanv1.TermStart {
	starts := make([]*rattanv1.TermStart, 0, len(l))
	for _, start := range l {
		starts = append(starts, &rattanv1.TermStart{Term: start.Term, StartIndex: start.StartIndex})
	}
	return starts
}

// Resolve returns the index that a log of this term history must hold to contain all
// of the acknowledged entries up to p. When p's term has ended, entries past the
// end of that term were never acknowledged, so the index is cut at the start of
// the next term. The second result is false when p's term is newer than every
// term of the term history: the log cannot contain p.
func (l TermHistory) Resolve(p Position) (uint64, bool) {
	if p.Term == 0 {
		return 0, true
	}
	for _, start := range l {
		if start.Term > p.Term {
			return min(p.Index, start.StartIndex-1), true
		}
	}
	if len(l) == 0 || l[len(l)-1].Term < p.Term {
		return 0, false
	}
	return p.Index, true
}

// Term returns the newest term of l, 0 when l is empty.
func (l TermHistory) Term() uint64 {
	if len(l) == 0 {
		return 0
	}
	return l[len(l)-1].Term
}
