package rattankey

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"strings"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

const (
	keyPrefix = "rsk_"
	// idBytes makes it unlikely that two keys of a team get the same id: one in 2^40
	// per pair.
	idBytes     = 5
	secretBytes = 32
)

// parseBearer splits "rsk_<key id>_<64 hexadecimal digits>". It returns false when
// the text does not have this form.
func parseBearer(bearer string) (id, secret string, ok bool) {
	rest, hasPrefix := strings.CutPrefix(bearer, keyPrefix)
	id, secret, hasSecret := strings.Cut(rest, "_")
	ok = hasPrefix && hasSecret && rattansettings.IsName(id) && IsSecret(secret)
	return id, secret, ok
}

// IsSecret reports whether text has the form of a secret: 64 lower case
// hexadecimal digits.
func IsSecret(text string) bool {
	if len(text) != hex.EncodedLen(secretBytes) {
		return false
	}
	return strings.Trim(text, "0123456789abcdef") == ""
}

// A GeneratedKey is a newly generated key. Formatting shows only its id; only
// Reveal returns the whole key.
type GeneratedKey struct {
	id string
	// secret is a function so that reflection-based formatting cannot show it.
	secret func() string
}

// Generate returns a new key with a random id and a secret of 256 random bits.
func Generate() GeneratedKey {
	id, secret := randomHex(idBytes), randomHex(secretBytes)
	return GeneratedKey{id: id, secret: func() string { return secret }}
}

func randomHex(size int) string {
	random := make([]byte, size)
	// Read never returns an error; the runtime ends the process instead.
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

// ID returns the key's identifier.
func (k GeneratedKey) ID() string { return k.id }

// Hash returns the hash of the secret, for the settings.
func (k GeneratedKey) Hash() rattansettings.Hash { return rattansettings.HashSecret(k.secret()) }

// Reveal returns the whole key, for the one response that may show it.
func (k GeneratedKey) Reveal() string { return keyPrefix + k.id + "_" + k.secret() }

// Format implements fmt.Formatter without showing the secret.
func (k GeneratedKey) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte(k.String())) }

// String returns the key without its secret.
func (k GeneratedKey) String() string { return keyPrefix + k.id + "_" + rattansettings.Hidden }

// GoString returns the key without its secret.
func (k GeneratedKey) GoString() string { return k.String() }

// LogValue implements slog.LogValuer without showing the secret.
func (k GeneratedKey) LogValue() slog.Value { return slog.StringValue(k.String()) }

// MarshalText implements encoding.TextMarshaler without showing the secret.
func (k GeneratedKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }
