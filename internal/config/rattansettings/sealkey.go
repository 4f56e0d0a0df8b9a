package rattansettings

import (
	"fmt"
	"log/slog"
)

// A SealKey is a 256-bit key for session tokens. It formats as "(hidden)".
type SealKey struct {
	hash Hash
}

// IsZero reports whether k is not set.
func (k SealKey) IsZero() bool { return k.hash.IsZero() }

// Bytes returns a copy of the key's 32 bytes, or nil when k is not set.
func (k SealKey) Bytes() []byte {
	if k.hash.sum == nil {
		return nil
	}
	key := *k.hash.sum
	return key[:]
}

// Format implements fmt.Formatter without showing the key.
func (k SealKey) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte(Hidden)) }

// String returns "(hidden)".
func (k SealKey) String() string { return Hidden }

// GoString returns "(hidden)".
func (k SealKey) GoString() string { return Hidden }

// LogValue implements slog.LogValuer without showing the key.
func (k SealKey) LogValue() slog.Value { return slog.StringValue(Hidden) }

// MarshalText implements encoding.TextMarshaler without showing the key.
func (k SealKey) MarshalText() ([]byte, error) { return []byte(Hidden), nil }
