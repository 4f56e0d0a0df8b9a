// Package rattansession provides the session token: the positions that a session
// has written or read, encrypted and authenticated so that callers can pass them on
// but neither read nor change them.
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
	// Positions has the highest position that the session has written or read in
	// each group, by the full name of the group.
	Positions map[string]rattanmodel.Position
}

// Position returns the session's position in group, or the zero Position when the
// session has not used the group.
func (t Token) Position(group string) rattanmodel.Position {
	return t.Positions[group]
}

// With returns a copy of t whose position in group is at least position. It does not
// change t.
func (t Token) With(group string, position rattanmodel.Position) Token {
	return t.Merge(Token{Positions: map[string]rattanmodel.Position{group: position}})
}

// Merge returns a token with the later position of t and other in each group and the
// later of both issue times. It changes neither token. The client account is that of
// t, or that of other when t has none: Merge does not compare them, so use OpenFor
// to refuse a token of another client account before merging.
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
