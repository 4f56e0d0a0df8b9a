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
	// MaxLength is the length in bytes of the longest text that Open accepts. A
	// token with positions in 400 groups, with names of 64 bytes, fits.
	MaxLength = 64 << 10

	formatVersion = 1
	saltLength    = 16
	// derivationInfo is the HKDF info, which makes the derived keys differ from
	// keys that are derived from the seal key for other uses.
	derivationInfo = "rattanstream session token"
)

// encoding rejects padding and trailing bits that are not zero, so that a sealed
// token has only one text.
var encoding = base64.RawURLEncoding.Strict()

// A Sealer seals and opens session tokens. It is safe for concurrent use.
//
// A sealed token is the base64url encoding of format version, salt, nonce and
// AES-256-GCM ciphertext. Each Sealer derives its own key from the seal key and a
// random salt, because random nonces of 96 bits are safe for only about 2^32 tokens
// per key, and the daemons of the whole fleet together would seal that many within
// half an hour.
type Sealer struct {
	current  []byte
	previous []byte
	// header is the format version and the salt. It precedes each sealed token
	// and is authenticated with it.
	header []byte
	// sealing uses the key that is derived from current and the salt in header.
	sealing cipher.AEAD
}

// A SealerOption is an option of NewSealer.
type SealerOption func(*Sealer)

// WithPreviousKey makes the Sealer also open tokens that were sealed with key. An
// empty key has no effect. To rotate keys without refusing tokens, first set the new
// key as the previous key on all daemons, then swap the two keys.
func WithPreviousKey(key []byte) SealerOption {
	return func(s *Sealer) { s.previous = key }
}

// NewSealer returns a Sealer that seals with the key current, which is seal_key in
// the process settings. The error is a *KeyError when a key does not have KeyLength
// bytes.
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
		return nil, fmt.Errorf("generate random salt: %w", err)
	}
	sealing, err := newAEAD(s.current, s.header[1:])
	if err != nil {
		return nil, err
	}
	s.sealing = sealing
	return s, nil
}

// Seal returns token, sealed, as text for the header Rattanstream-Session. It does
// not change the token's issue time.
func (s *Sealer) Seal(token Token) string {
	return encoding.EncodeToString(s.sealing.Seal(s.header[:len(s.header):len(s.header)], nil, encode(token), s.header))
}

// Open returns the token that was sealed as text. The error is a *TooLongError, a
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

// OpenFor opens text for a request of clientAccount. An empty text gives the token of
// a new session. The error is that of Open, or a *ClientAccountError when the token
// belongs to another client account.
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

// newAEAD returns AES-256-GCM with a key that is derived from key and salt. It puts a
// random nonce in front of each ciphertext.
func newAEAD(key, salt []byte) (cipher.AEAD, error) {
	derived, err := hkdf.Key(sha256.New, key, salt, derivationInfo, KeyLength)
	if err != nil {
		return nil, fmt.Errorf("derive key: %w", err)
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, fmt.Errorf("create cipher from derived key: %w", err)
	}
	return cipher.NewGCMWithRandomNonce(block)
}
