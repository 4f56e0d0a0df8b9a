// Package rattansession provides the session token: the positions that a
// session wrote or read, sealed so that callers can only carry them.
package rattansession

import (
	"maps"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// A Token is the state of a session. The zero Token is a session that has
// neither written nor read.
type Token struct {
	// ClientAccount is the full name of the client account that the session belongs to.
	ClientAccount string
	// Issued is when the token was sealed, by the sealing daemon's wall clock,
	// with a resolution of a millisecond.
	Issued time.Time
	// Positions has, by full name of the group, the highest position that the
	// session wrote or read there.
	Positions map[string]rattanmodel.Position
}

// Position returns the session's position in group, the zero position when the
// session has not used the group.
func (t Token) Position(group string) rattanmodel.Position {
	return t.Positions[group]
}

// With returns t with its position in group raised to at least position. It
// does not change t.
func (t Token) With(group string, position rattanmodel.Position) Token {
	return t.Merge(Token{Positions: map[string]rattanmodel.Position{group: position}})
}

// Merge returns t with each position raised to at least other's, and the later
// of both issue times. It changes neither token. The client account stays t's
// and is other's only when t has none; use OpenFor to refuse a token of another
// client account before merging.
func (t Token) Merge(other Token) Token {
	merged := Token{ClientAccount: t.ClientAccount, Issued: t.Issued, Positions: maps.Clone(t.Positions)}
	if merged.ClientAccount == "" {
		merged.ClientAccount = other.ClientAccount
	}
	if other.Issued.After(merged.Issued) {
		merged.Issued = other.Issued
	}
	if merged.Positions == nil {
		merged.Positions = make(map[string]rattanmodel.Position, len(other.Positions))
	}
	for group, position := range other.Positions {
		merged.Positions[group] = merged.Positions[group].Max(position)
	}
	return merged
}
