package rattansession

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
)

const (
	// KeyLength is the length of a seal key in bytes.
	KeyLength = 32
	// MaxLength is the length in bytes of the longest text that Open accepts.
	// The positions of 400 groups with names of 64 bytes fit.
	MaxLength = 64 << 10

	formatVersion = 1
	saltLength    = 16
	// derivationInfo separates the derived keys from other uses of the seal key.
	derivationInfo = "rattanstream session token"
)

// encoding rejects padding and stray bits, so that a sealed token has one text only.
var encoding = base64.RawURLEncoding.Strict()

// A Sealer seals and opens session tokens. It is safe for concurrent use.
//
// A sealed token is base64url of version, salt, nonce and AES-256-GCM
// ciphertext. Each Sealer derives its own key from the seal key and a random
// salt: random nonces of 96 bits are safe for about 2^32 tokens per key, which
// the whole fleet would seal within half an hour.
type Sealer struct {
	current  []byte
	previous []byte
	header   []byte
	sealing  cipher.AEAD
}

// A SealerOption is an option of NewSealer.
type SealerOption func(*Sealer)

// WithPreviousKey makes the Sealer also open tokens that were sealed with key.
// An empty key changes nothing. To rotate keys without refusing tokens, first
// set the new key as previous key on all daemons, then swap both keys.
func WithPreviousKey(key []byte) SealerOption {
	return func(s *Sealer) { s.previous = key }
}

// NewSealer returns a Sealer that seals with the current key, which is
// seal_key in the process settings. The error is a *KeyError when a key does not
// have KeyLength bytes.
func NewSealer(current []byte, options ...SealerOption) (*Sealer, error) {
	s := &Sealer{current: current}
	for _, option := range options {
		option(s)
	}
	if len(s.current) != KeyLength {
		return nil, &KeyError{Key: "seal_key", Length: len(s.current)}
	}
	if len(s.previous) != 0 && len(s.previous) != KeyLength {
		return nil, &KeyError{Key: "previous_seal_key", Length: len(s.previous)}
	}
	s.header = make([]byte, 1+saltLength)
	s.header[0] = formatVersion
	if _, err := rand.Read(s.header[1:]); err != nil {
		return nil, fmt.Errorf("random salt: %w", err)
	}
	sealing, err := newAEAD(s.current, s.header[1:])
	if err != nil {
		return nil, err
	}
	s.sealing = sealing
	return s, nil
}

// Seal returns token as text for the header Rattanstream-Session. It seals the
// issue time that the token has.
func (s *Sealer) Seal(token Token) string {
	return encoding.EncodeToString(s.sealing.Seal(s.header[:len(s.header):len(s.header)], nil, encode(token), s.header))
}

// Open returns the token that text seals. The error is a *TooLongError, a
// *MalformedError or a *ForgedError.
func (s *Sealer) Open(text string) (Token, error) {
	if len(text) > MaxLength {
		return Token{}, &TooLongError{Length: len(text)}
	}
	sealed, err := encoding.DecodeString(text)
	if err != nil {
		return Token{}, &MalformedError{Problem: "it is not base64url without padding"}
	}
	if len(sealed) < len(s.header)+s.sealing.Overhead() {
		return Token{}, &MalformedError{Problem: "it is too short"}
	}
	header, ciphertext := sealed[:len(s.header)], sealed[len(s.header):]
	if header[0] != formatVersion {
		return Token{}, &MalformedError{Problem: fmt.Sprintf("its version is %d, want %d", header[0], formatVersion)}
	}
	for _, key := range [][]byte{s.current, s.previous} {
		if len(key) == 0 {
			continue
		}
		aead, err := newAEAD(key, header[1:])
		if err != nil {
			return Token{}, err
		}
		if data, err := aead.Open(nil, nil, ciphertext, header); err == nil {
			return decode(data)
		}
	}
	return Token{}, &ForgedError{}
}

// OpenFor opens text for a request of clientAccount. Its errors are Open's, and
// a *ClientAccountError when the token belongs to another client account. An
// empty text is a new session.
func (s *Sealer) OpenFor(text, clientAccount string) (Token, error) {
	if text == "" {
		return Token{ClientAccount: clientAccount}, nil
	}
	token, err := s.Open(text)
	if err != nil {
		return Token{}, err
	}
	if token.ClientAccount != clientAccount {
		return Token{}, &ClientAccountError{Want: clientAccount}
	}
	return token, nil
}

// newAEAD returns AES-256-GCM with a random nonce in front of each ciphertext
// and a key derived from key and salt.
func newAEAD(key, salt []byte) (cipher.AEAD, error) {
	derived, err := hkdf.Key(sha256.New, key, salt, derivationInfo, KeyLength)
	if err != nil {
		return nil, fmt.Errorf("derive key: %w", err)
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, fmt.Errorf("derived key: %w", err)
	}
	return cipher.NewGCMWithRandomNonce(block)
}
