package rattankey

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

const root = "[failure_domain.a]\nregion = n\n[failure_domain.b]\nregion = n\n[failure_domain.c]\nregion = n\n"

const shop = `[group.g]
endpoints = e
[endpoint.e]
address = 127.0.0.1:1
failure_domain = a
connections = 1
slots = 1
[service.s]
group = g
[client_account.one]
rate = 1
burst = 1
services = s
[client_account.two]
rate = 1
burst = 1
services = s
`

func keyText(id, account, secret string, withdrawn bool) string {
	return fmt.Sprintf("[key.%s]\nclient_account = %s\nsecret_sha256 = %s\nwithdrawn = %t\n",
		id, account, rattansettings.HashSecret(secret).Hex(), withdrawn)
}

func snapshot(t *testing.T, policy string, texts map[string]string) *rattansettings.Snapshot {
	t.Helper()
	texts["root"] = root + policy
	var documents []*rattansettings.Document
	for team, text := range texts {
		document, err := rattansettings.ParseDocument(team, text)
		if err != nil {
			t.Fatal(err)
		}
		documents = append(documents, document.WithRevision(1))
	}
	return rattansettings.NewSnapshot(documents...)
}

func newFreshKeyring(t *testing.T, texts map[string]string, options ...Option) *Keyring {
	t.Helper()
	k := New(rattanclock.System(), "a", options...)
	k.Update(snapshot(t, "", texts))
	k.Freshness().ObservePlatform(time.Now())
	return k
}

var (
	secretA = strings.Repeat("a", 64)
	secretB = strings.Repeat("b", 64)
	secretC = strings.Repeat("c", 64)
)

// TestAuthenticate guards against a key that is accepted with a wrong secret or
// for another team's client account, and against an error that shows a key.
func TestAuthenticate(t *testing.T) {
	k := newFreshKeyring(t, map[string]string{
		"shop":  shop + keyText("k1", "one", secretA, false) + keyText("k2", "two", secretB, true),
		"other": strings.ReplaceAll(shop, ":1\n", ":2\n") + keyText("k1", "two", secretB, false),
	})
	for _, tc := range []struct {
		name, bearer, account string
		err                   error
	}{
		{"valid", "rsk_k1_" + secretA, "shop/one", nil},
		{"same id in another team", "rsk_k1_" + secretB, "other/two", nil},
		{"wrong secret", "rsk_k1_" + secretC, "", ErrUnauthenticated},
		{"unknown id", "rsk_k9_" + secretA, "", ErrUnauthenticated},
		{"withdrawn", "rsk_k2_" + secretB, "", &WithdrawnError{}},
		{"withdrawn with a wrong secret", "rsk_k2_" + secretA, "", ErrUnauthenticated},
		{"empty", "", "", ErrUnauthenticated},
		{"no secret", "rsk_k1", "", ErrUnauthenticated},
		{"upper case secret", "rsk_k1_" + strings.ToUpper(secretA), "", ErrUnauthenticated},
		{"long secret", "rsk_k1_" + secretA + "a", "", ErrUnauthenticated},
		{"full name as id", "rsk_shop/k1_" + secretA, "", ErrUnauthenticated},
		{"other prefix", "rst_k1_" + secretA, "", ErrUnauthenticated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			identity, err := k.Authenticate(tc.bearer)
			if identity.ClientAccount() != tc.account || fmt.Sprintf("%T", err) != fmt.Sprintf("%T", tc.err) {
				t.Errorf("got %+v, %v", identity, err)
			}
			if text := fmt.Sprintf("%+v %+v", identity, err); strings.Contains(text, "aaaa") || strings.Contains(text, "bbbb") {
				t.Errorf("secret shown: %s", text)
			}
		})
	}
}

// TestWithdrawal guards against a withdrawn key that is accepted again after older
// settings arrive, and against calls that continue after their key is withdrawn.
func TestWithdrawal(t *testing.T) {
	valid := map[string]string{"shop": shop + keyText("k1", "one", secretA, false)}
	for name, withdraw := range map[string]func(*Keyring){
		"by settings": func(k *Keyring) {
			k.Update(snapshot(t, "", map[string]string{"shop": shop + keyText("k1", "one", secretA, true)}))
		},
		"by gossip": func(k *Keyring) { k.Withdraw("shop/k1", "shop/k1") },
	} {
		t.Run(name, func(t *testing.T) {
			var observed []string
			k := newFreshKeyring(t, valid, WithObserver(func(keyID string) { observed = append(observed, keyID) }))
			ctx, done := k.Track(t.Context(), "shop/k1")
			defer done()
			withdraw(k)
			var withdrawn *WithdrawnError
			if <-ctx.Done(); !errors.As(context.Cause(ctx), &withdrawn) || withdrawn.KeyID != "shop/k1" {
				t.Errorf("cause: %v", context.Cause(ctx))
			}
			k.Update(snapshot(t, "", valid))
			if _, err := k.Authenticate("rsk_k1_" + secretA); !errors.As(err, &withdrawn) {
				t.Errorf("after older settings: %v", err)
			}
			late, doneLate := k.Track(t.Context(), "shop/k1")
			defer doneLate()
			if late.Err() == nil || k.InFlight() != 0 {
				t.Error("a call began after the withdrawal")
			}
			if len(observed) != 1 || len(k.Withdrawn()) != 1 {
				t.Errorf("observed %v, withdrawn %v", observed, k.Withdrawn())
			}
		})
	}
}

// TestUpdateEndsCalls guards against a call that continues although new settings
// removed its key or changed the key's client account or secret, and against an
// update that cancels the calls of unchanged keys.
func TestUpdateEndsCalls(t *testing.T) {
	before := shop + keyText("k1", "one", secretA, false)
	for _, tc := range []struct {
		name, after string
		ends        bool
	}{
		{"unchanged", "# note\n" + before, false},
		{"removed", shop, true},
		{"moved", shop + keyText("k1", "two", secretA, false), true},
		{"other secret", shop + keyText("k1", "one", secretB, false), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := newFreshKeyring(t, map[string]string{"shop": before})
			ctx, done := k.Track(t.Context(), "shop/k1")
			defer done()
			k.Update(snapshot(t, "", map[string]string{"shop": tc.after}))
			if ended := ctx.Err() != nil; ended != tc.ends {
				t.Errorf("call ended: %t, want %t", ended, tc.ends)
			}
		})
	}
}

// TestTrackRace guards against calls that are not canceled because they are
// registered while their key is being withdrawn.
func TestTrackRace(t *testing.T) {
	k := newFreshKeyring(t, map[string]string{"shop": shop + keyText("k1", "one", secretA, false)})
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			ctx, done := k.Track(t.Context(), "shop/k1")
			defer done()
			<-ctx.Done()
		})
	}
	group.Go(func() { k.Withdraw("shop/k1") })
	group.Wait()
	if k.InFlight() != 0 {
		t.Errorf("%d calls still registered after all have ended", k.InFlight())
	}
}

// TestFreshness guards against an isolated daemon that accepts keys, and against
// an age that is counted from the response instead of the query.
func TestFreshness(t *testing.T) {
	const limit = 5 * time.Second
	for _, tc := range []struct {
		name    string
		observe func(*Freshness)
		wait    time.Duration
		fresh   bool
	}{
		{"nothing", func(*Freshness) {}, 0, false},
		{"platform", func(f *Freshness) { f.ObservePlatform(time.Now()) }, limit, true},
		{"platform too long ago", func(f *Freshness) { f.ObservePlatform(time.Now()) }, limit + 1, false},
		{"older query after a newer one", func(f *Freshness) { f.ObservePlatform(time.Now()); f.ObservePlatform(time.Now().Add(-time.Minute)) }, 0, true},
		{"fresh peer", func(f *Freshness) { f.ObservePeer("a", time.Now().Add(-2*time.Second), 3*time.Second, true) }, 0, true},
		{"peer's age counts from the query", func(f *Freshness) { f.ObservePeer("a", time.Now().Add(-3*time.Second), 3*time.Second, true) }, 0, false},
		{"majority", func(f *Freshness) { f.ObservePeer("b", time.Now(), time.Hour, true) }, limit, true},
		{"majority too long ago", func(f *Freshness) { f.ObservePeer("b", time.Now(), 0, false) }, limit + 1, false},
		{"own failure domain only", func(f *Freshness) { f.ObservePeer("a", time.Now(), 0, false) }, 0, false},
		{"unknown failure domains", func(f *Freshness) { f.ObservePeer("x", time.Now(), 0, false); f.ObservePeer("y", time.Now(), 0, false) }, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFreshness(rattanclock.System())
				tc.observe(f)
				time.Sleep(tc.wait)
				err := f.Check(limit, "a", []string{"a", "b", "c"})
				var notFresh *NotFreshError
				if fresh := err == nil; fresh != tc.fresh || !fresh && !errors.As(err, &notFresh) {
					t.Errorf("got %v, want fresh %t", err, tc.fresh)
				}
			})
		})
	}
}

// TestIsolatedKeys guards against an isolated daemon that does not follow the
// setting isolated_keys.
func TestIsolatedKeys(t *testing.T) {
	texts := map[string]string{"shop": shop + keyText("k1", "one", secretA, false)}
	k := New(rattanclock.System(), "a")
	k.Update(snapshot(t, "", texts))
	var notFresh *NotFreshError
	if _, err := k.Authenticate("rsk_k1_" + secretA); !errors.As(err, &notFresh) {
		t.Errorf("refuse: %v", err)
	}
	k.Update(snapshot(t, "[policy]\nisolated_keys = serve\n", texts))
	if _, err := k.Authenticate("rsk_k1_" + secretA); err != nil {
		t.Errorf("serve: %v", err)
	}
}

// TestGenerate guards against generated keys that do not parse, that repeat, or
// that show their secret when formatted.
func TestGenerate(t *testing.T) {
	key, other := Generate(), Generate()
	if key.ID() == other.ID() || key.Reveal() == other.Reveal() {
		t.Error("two keys are equal")
	}
	id, secret, ok := parseBearer(key.Reveal())
	if !ok || id != key.ID() || !key.Hash().Matches(secret) {
		t.Errorf("key does not parse: %t", ok)
	}
	encoded, err := json.Marshal(struct{ K GeneratedKey }{key})
	if err != nil {
		t.Fatal(err)
	}
	wrapped := struct{ k GeneratedKey }{key}
	for _, text := range []string{fmt.Sprintf("%v %+v %#v %s %x %d", key, key, key, key, key, key), fmt.Sprintf("%+v %#v", wrapped, wrapped), string(encoded)} {
		if strings.Contains(text, secret[:16]) || strings.Contains(text, key.Hash().Hex()[:16]) {
			t.Errorf("secret shown: %s", text)
		}
	}
}
