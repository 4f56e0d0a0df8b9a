package rattansession

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

var (
	keyA = bytes.Repeat([]byte{1}, KeyLength)
	keyB = bytes.Repeat([]byte{2}, KeyLength)
)

func newSealer(t testing.TB, current []byte, options ...SealerOption) *Sealer {
	t.Helper()
	s, err := NewSealer(current, options...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func testToken() Token {
	return Token{
		ClientAccount: "shop/dealer-1",
		Issued:        time.UnixMilli(1_700_000_000_123),
		Positions:     map[string]rattanmodel.Position{"shop/orders": {Term: 3, Index: 77}, "shop/stock": {Term: 1, Index: 5}},
	}
}

func assertEqual(t *testing.T, got, want Token) {
	t.Helper()
	if got.ClientAccount != want.ClientAccount || !got.Issued.Equal(want.Issued) || !maps.Equal(got.Positions, want.Positions) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// assertError checks that err is or wraps a T.
func assertError[T error](t *testing.T, err error) {
	t.Helper()
	var want T
	if !errors.As(err, &want) {
		t.Errorf("got error %v, want a %T", err, want)
	}
}

// TestMerge guards against a session that reads older data than before because an
// older position replaced a newer one.
func TestMerge(t *testing.T) {
	token := testToken()
	merged := token.Merge(Token{Positions: map[string]rattanmodel.Position{"shop/orders": {Term: 2, Index: 900}, "shop/stock": {Term: 1, Index: 6}}})
	want := testToken()
	want.Positions["shop/stock"] = rattanmodel.Position{Term: 1, Index: 6}
	assertEqual(t, merged, want)
	assertEqual(t, token, testToken())
	assertEqual(t, Token{}.Merge(token), token)
}

// TestSealOpen guards against a token that differs after sealing and opening, against
// a key rotation that refuses tokens still in use, and against two seals of one token
// with the same text.
func TestSealOpen(t *testing.T) {
	sealed := newSealer(t, keyA).Seal(testToken())
	for name, s := range map[string]*Sealer{
		"same key":     newSealer(t, keyA),
		"previous key": newSealer(t, keyB, WithPreviousKey(keyA)),
	} {
		t.Run(name, func(t *testing.T) {
			token, err := s.OpenFor(sealed, "shop/dealer-1")
			if err != nil {
				t.Fatal(err)
			}
			assertEqual(t, token, testToken())
		})
	}
	if sealed == newSealer(t, keyA).Seal(testToken()) {
		t.Error("sealing one token twice gave the same text, want different salts and nonces")
	}
}

// TestSealManyGroups guards against a session that uses many groups and whose token,
// sealed by a daemon, is then refused as too long.
func TestSealManyGroups(t *testing.T) {
	token := testToken()
	for i := range 400 {
		token.Positions[fmt.Sprintf("%064d", i)] = rattanmodel.Position{Term: 1 << 20, Index: 1 << 40}
	}
	s := newSealer(t, keyA)
	got, err := s.Open(s.Seal(token))
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, got, token)
}

// TestOpenRefuses guards against a token that is accepted or ignored although it is
// too long, damaged, forged, or of another client account.
func TestOpenRefuses(t *testing.T) {
	s := newSealer(t, keyA)
	sealed := s.Seal(testToken())
	open := func(text string) error { _, err := s.OpenFor(text, "shop/dealer-1"); return err }
	assertError[*TooLongError](t, open(strings.Repeat("A", MaxLength+1)))
	assertError[*MalformedError](t, open("not base64!"))
	assertError[*MalformedError](t, open(sealed+"="))
	assertError[*MalformedError](t, open(sealed[:20]))
	assertError[*ForgedError](t, open(newSealer(t, keyB).Seal(testToken())))
	raw, _ := base64.RawURLEncoding.DecodeString(sealed)
	for i := range raw {
		damaged := bytes.Clone(raw)
		damaged[i] ^= 0x10
		if i == 0 {
			assertError[*MalformedError](t, open(base64.RawURLEncoding.EncodeToString(damaged)))
			continue
		}
		assertError[*ForgedError](t, open(base64.RawURLEncoding.EncodeToString(damaged)))
	}
	_, err := s.OpenFor(sealed, "shop/other")
	assertError[*ClientAccountError](t, err)
	if strings.Contains(err.Error(), "dealer-1") {
		t.Errorf("error %q contains the name of the other client account", err)
	}
}

// TestNewSealer guards against a daemon that starts without a seal key or with one
// that is too short.
func TestNewSealer(t *testing.T) {
	_, err := NewSealer(nil)
	assertError[*KeyError](t, err)
	_, err = NewSealer(keyA, WithPreviousKey(keyB[:31]))
	assertError[*KeyError](t, err)
}

// FuzzOpen guards against a text that makes Open panic or return an error that is
// not one of its documented types. It also decodes the input as if it were the
// content of a sealed token, because Open refuses random texts before it decodes.
func FuzzOpen(f *testing.F) {
	s := newSealer(f, keyA)
	f.Add(s.Seal(testToken()))
	f.Add(string(encode(testToken())))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := s.Open(text)
		var malformed *MalformedError
		var forged *ForgedError
		var tooLong *TooLongError
		if err != nil && !errors.As(err, &malformed) && !errors.As(err, &forged) && !errors.As(err, &tooLong) {
			t.Errorf("Open: got error %v, want a *MalformedError, *ForgedError or *TooLongError", err)
		}
		token, err := decode([]byte(text))
		if err != nil {
			assertError[*MalformedError](t, err)
			return
		}
		again, err := s.Open(s.Seal(token))
		if err != nil && !errors.As(err, &tooLong) {
			t.Fatal(err)
		}
		if err == nil {
			assertEqual(t, again, token)
		}
	})
}

func BenchmarkSealOpen(b *testing.B) {
	s := newSealer(b, keyA)
	for b.Loop() {
		if _, err := s.Open(s.Seal(testToken())); err != nil {
			b.Fatal(err)
		}
	}
}
