package rattansettings

import (
	"fmt"
	"strings"
	"testing"
)

// TestCheckChange guards against a later document that undoes a withdrawal.
func TestCheckChange(t *testing.T) {
	withdrawn := strings.Replace(shopText(), "client_account = dealer-1\n", "client_account = dealer-1\nwithdrawn = true\n", 1)
	removed, _, _ := strings.Cut(shopText(), "[key.k7f3a]")
	none := func(string) bool { return false }
	elsewhere := func(name string) bool { return name == "shop/k7f3a" }
	for _, tc := range []struct {
		name, before, after string
		isWithdrawn         func(string) bool
		ok                  bool
	}{
		{"withdraw", shopText(), withdrawn, none, true},
		{"undo a withdrawal", withdrawn, shopText(), none, false},
		{"remove a withdrawn key", withdrawn, removed, nil, false},
		{"remove a valid key", shopText(), removed, none, true},
		{"withdrawn elsewhere", shopText(), shopText(), elsewhere, false},
		{"new document with a withdrawn key", "", shopText(), elsewhere, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := CheckChange(mustParse(t, "shop", tc.before, 1), mustParse(t, "shop", tc.after, 2), tc.isWithdrawn)
			if ok := err == nil; ok != tc.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestInvalidReferences guards against an invalid reference that affects more than
// the setting that contains it, and against a stale document that replaces a newer
// one.
func TestInvalidReferences(t *testing.T) {
	before := NewSnapshot(mustParse(t, "root", rootText, 1), mustParse(t, "shop", shopText(), 2))
	other := strings.ReplaceAll(shopText(), "8002", "8003")
	after, changed := before.With(mustParse(t, "other", other, 3))
	if !changed || CheckReferences(before, after) == nil || len(after.ReferenceErrors()) != 1 {
		t.Fatalf("shared address: %v", after.ReferenceErrors())
	}
	for name, want := range map[string]string{"shop/orders-a": "", "other/orders-a": "127.0.0.1:8001", "other/orders-b": "127.0.0.1:8003"} {
		if endpoint, ok := after.Endpoint(name); !ok || endpoint.Address() != want {
			t.Errorf("%s: %+v, %t", name, endpoint, ok)
		}
	}
	withoutA := strings.Replace(rootText, "failure_domain.a", "failure_domain.z", 1)
	after, _ = before.With(mustParse(t, "root", withoutA, 4))
	endpoint, ok := after.Endpoint("shop/orders-a")
	if !ok || endpoint.FailureDomain() != "" || endpoint.Group() != "shop/orders" || CheckReferences(before, after) == nil {
		t.Errorf("missing failure domain: %+v, %t, %v", endpoint, ok, after.ReferenceErrors())
	}
	if same, changed := after.With(mustParse(t, "root", rootText, 4)); changed || same != after {
		t.Error("a document with an earlier or equal revision replaced the one in force")
	}
}

// TestDigestHistory guards against a daemon with an unknown or older digest that is
// taken to be up to date.
func TestDigestHistory(t *testing.T) {
	first := NewSnapshot(mustParse(t, "root", rootText, 1))
	second, _ := first.With(mustParse(t, "shop", shopText(), 2))
	var history DigestHistory
	history.Add(first)
	history.Add(second)
	if first.Digest() == second.Digest() {
		t.Fatal("two different snapshots have the same digest")
	}
	if history.InForce(first.Digest(), "shop", 2) || !history.InForce(second.Digest(), "shop", 2) ||
		!history.InForce(second.Digest(), "root", 1) || history.InForce(7, "root", 1) {
		t.Error("InForce is wrong for a digest and revision")
	}
}

// TestSectionText guards against a path that returns another section's text.
func TestSectionText(t *testing.T) {
	for _, tc := range []struct {
		section, key, want string
		ok                 bool
	}{
		{"a", "", "[a]\nx = 1 # one\ny=2\n", true},
		{"b", "z", "[b]\nz = 3", true},
		{"b", "x", "", false},
		{"c", "", "", false},
		{"", "", "", false},
	} {
		if got, ok := SectionText(editText, tc.section, tc.key); got != tc.want || ok != tc.ok {
			t.Errorf("%q %q: got %q, %t", tc.section, tc.key, got, ok)
		}
	}
}

// TestGroupMembership guards against changing two endpoints of a group at once. Two
// majorities without a common endpoint could then acknowledge writes.
func TestGroupMembership(t *testing.T) {
	document := func(endpoints string) *Document {
		var text strings.Builder
		for i, name := range []string{"a", "b", "c", "d", "e"} {
			fmt.Fprintf(&text, "[endpoint.%s]\naddress = 127.0.0.1:800%d\nfailure_domain = a\nconnections = 20\nslots = 3\n\n", name, i)
		}
		return mustParse(t, "shop", text.String()+"[group.orders]\nendpoints = "+endpoints+"\n", 1)
	}
	for _, tc := range []struct {
		name, after string
		ok          bool
	}{
		{"same", "c, a, b", true},
		{"one added", "a, b, c, d", true},
		{"one removed", "a, b", true},
		{"one replaced", "a, b, d", false},
		{"two added", "a, b, c, d, e", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := CheckChange(document("a, b, c"), document(tc.after), nil); (err == nil) != tc.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}
