package rattansettings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"log/slog"
)

// A Hash is the SHA-256 of a secret's text. It formats as "(hidden)". sum is a
// pointer because fmt does not call the Format method of a value in another struct's
// unexported field and would print the bytes of an array.
type Hash struct {
	sum *[sha256.Size]byte
}

// HashSecret returns the Hash of a secret's text.
func HashSecret(secret string) Hash {
	sum := sha256.Sum256([]byte(secret))
	return Hash{sum: &sum}
}

// parseHash reads 64 hexadecimal digits.
func parseHash(text string) (Hash, bool) {
	var sum [sha256.Size]byte
	if len(text) != hex.EncodedLen(len(sum)) {
		return Hash{}, false
	}
	if _, err := hex.Decode(sum[:], []byte(text)); err != nil {
		return Hash{}, false
	}
	return Hash{sum: &sum}, true
}

// IsZero reports whether h is not set.
func (h Hash) IsZero() bool { return h.sum == nil }

// Matches reports whether h is the hash of secret. Its running time does not depend
// on the contents of h or secret. The zero Hash matches nothing.
func (h Hash) Matches(secret string) bool {
	sum := sha256.Sum256([]byte(secret))
	var expected [sha256.Size]byte
	isSet := 0
	if h.sum != nil {
		expected = *h.sum
		isSet = 1
	}
	return subtle.ConstantTimeCompare(sum[:], expected[:])&isSet == 1
}

// Equal reports whether h and other are the same hash.
func (h Hash) Equal(other Hash) bool {
	if h.sum == nil || other.sum == nil {
		return h.sum == other.sum
	}
	return *h.sum == *other.sum
}

// Hex returns the hash as 64 hexadecimal digits, for the text of a document, or an
// empty string for the zero Hash.
func (h Hash) Hex() string {
	if h.sum == nil {
		return ""
	}
	return hex.EncodeToString(h.sum[:])
}

// Format implements fmt.Formatter without showing the hash.
func (h Hash) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte(Hidden)) }

// String returns "(hidden)".
func (h Hash) String() string { return Hidden }

// GoString returns "(hidden)".
func (h Hash) GoString() string { return Hidden }

// LogValue implements slog.LogValuer without showing the hash.
func (h Hash) LogValue() slog.Value { return slog.StringValue(Hidden) }

// MarshalText implements encoding.TextMarshaler without showing the hash.
func (h Hash) MarshalText() ([]byte, error) { return []byte(Hidden), nil }
