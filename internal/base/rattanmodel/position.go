// Package rattanmodel defines the types for the state of a group that several
// packages share: log positions, the term history and the view of a group.
package rattanmodel

import (
	"cmp"
	"fmt"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Position is a place in a group's log. Positions are ordered by term, then by
// index. The zero Position is before every entry.
type Position struct {
	Term  uint64
	Index uint64
}

// PositionFromWire converts a wire position; nil becomes the zero Position.
func PositionFromWire(p *rattanv1.Position) Position {
	return Position{Term: p.GetTerm(), Index: p.GetIndex()}
}

// Wire converts p to its wire message.
func (p Position) Wire() *rattanv1.Position {
	return &rattanv1.Position{Term: p.Term, Index: p.Index}
}

// Compare returns -1, 0 or +1 when p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Index, q.Index))
}

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// String returns p as "term/index".
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Index)
}
