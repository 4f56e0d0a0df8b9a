package rattansettings

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"
)

var (
	hexA = strings.Repeat("a1", 32)
	hexB = strings.Repeat("b2", 32)
)

const rootText = `
[failure_domain.a]
region = north
[failure_domain.b]
region = north
drained = true
[policy]
key_freshness = 4s
`

func shopText() string {
	return `# the shop
[group.orders]
endpoints = orders-a, orders-b

[endpoint.orders-a]
address = 127.0.0.1:8001
failure_domain = a
connections = 20
slots = 3

[endpoint.orders-b]
address = 127.0.0.1:8002
failure_domain = b
connections = 20
slots = 3

[service.orders]
group = orders

[route.orders.browse]
open = true
client_account = public
max_age = 2s

[client_account.dealer-1]
rate = 200.5 # per second
burst = 400
services = orders

[client_account.public]
rate = 5
burst = 10
services = orders

[key.k7f3a]
client_account = dealer-1
secret_sha256 = ` + hexA + `
`
}

func mustParse(t *testing.T, team, text string, revision uint64) *Document {
	t.Helper()
	document, err := ParseDocument(team, text)
	if err != nil {
		t.Fatalf("ParseDocument(%s): %v", team, err)
	}
	return document.WithRevision(revision)
}

// TestSnapshotLookups guards against values that are read from a wrong key or in a
// wrong unit, and against a drained failure domain that does not drain its endpoints.
func TestSnapshotLookups(t *testing.T) {
	s := NewSnapshot(mustParse(t, "root", rootText, 1), mustParse(t, "shop", shopText(), 2))
	account, ok := s.ClientAccount("shop/dealer-1")
	if !ok || account.RateMilli() != 200_500 || account.Burst() != 400 || account.Weight() != 1 {
		t.Errorf("client account: %+v, %t", account, ok)
	}
	if !account.MayUse("shop/orders") || account.MayUse("other/orders") {
		t.Error("MayUse does not follow the services of the client account")
	}
	if service, ok := s.ServiceFor("shop", "orders"); !ok || service.Group() != "shop/orders" {
		t.Errorf("service by local name: %+v, %t", service, ok)
	}
	route, ok := s.Route("shop/orders", "browse")
	if !ok || !route.Open() || route.MaxAge() != 2*time.Second || route.ClientAccount() != "shop/public" {
		t.Errorf("route: %+v, %t", route, ok)
	}
	if route, ok := s.Route("shop/orders", ""); !ok || route.Open() {
		t.Errorf("default route: %+v, %t", route, ok)
	}
	if _, ok := s.Route("shop/orders", "absent"); ok {
		t.Error("found a route that no section defines")
	}
	a, _ := s.Endpoint("shop/orders-a")
	b, _ := s.Endpoint("shop/orders-b")
	if a.Drained() || !b.Drained() || a.Group() != "shop/orders" {
		t.Errorf("endpoints: %+v, %+v", a, b)
	}
	if key, ok := s.Key("shop/k7f3a"); !ok || key.ClientAccount() != "shop/dealer-1" {
		t.Errorf("key: %+v, %t", key, ok)
	}
	if s.Policy().KeyFreshness() != 4*time.Second || s.Revision("shop") != 2 || s.MaxRevision() != 2 {
		t.Error("wrong policy or revisions")
	}
	if len(s.ReferenceErrors()) != 0 {
		t.Errorf("reference errors: %v", s.ReferenceErrors())
	}
}

// TestParseDocumentErrors guards against invalid input that is accepted, or that is
// reported without its location or without what is accepted.
func TestParseDocumentErrors(t *testing.T) {
	for _, tc := range []struct {
		name, team, text string
		section, key     string
		accepted         string
	}{
		{"no section", "shop", "rate = 1", "", "", "[section]"},
		{"line without equals sign", "shop", "[policy]\nfoo", "", "", "key = value"},
		{"upper case key", "shop", "[group.a]\nEndpoints = a", "", "", "lower case"},
		{"quoted value", "shop", "[group.a]\nendpoints = \"a\"", "", "", "key = value"},
		{"control character", "shop", "[group.a]\nendpoints = a\x00", "", "", "key = value"},
		{"not UTF-8", "shop", "[group.a]\n# \xff", "", "", "UTF-8"},
		{"too long", "shop", strings.Repeat("#\n", maxTextBytes), "", "", "524288 bytes"},
		{"root's section", "shop", "[failure_domain.a]\nregion = north", "failure_domain.a", "", "group.*"},
		{"unknown section", "root", "[groop.a]", "groop.a", "", "failure_domain.*"},
		{"name missing", "shop", "[group]", "group", "", "[group.<name>]"},
		{"extra name", "shop", "[group.a.b]", "group.a.b", "", "[group.<name>]"},
		{"repeated section", "shop", "[group.a]\nendpoints = e\n[group.a]", "group.a", "", "one section"},
		{"repeated key", "root", "[failure_domain.a]\nregion = n\nregion = n", "failure_domain.a", "region", "one key"},
		{"repeated empty key", "root", "[failure_domain.a]\nregion = n\ndrained =\ndrained =", "failure_domain.a", "drained", "one key"},
		{"unknown key", "root", "[failure_domain.a]\nregion = n\ndraind = true", "failure_domain.a", "draind", "region, drained"},
		{"boolean", "root", "[failure_domain.a]\nregion = n\ndrained = yes", "failure_domain.a", "drained", "true or false"},
		{"empty boolean", "root", "[failure_domain.a]\nregion = n\ndrained =", "failure_domain.a", "drained", "true or false"},
		{"duration", "root", "[policy]\nkey_freshness = 5", "policy", "key_freshness", "from 2s to 1m0s"},
		{"duration range", "root", "[policy]\nkey_freshness = 2m", "policy", "key_freshness", "from 2s to 1m0s"},
		{"choice", "root", "[policy]\nisolated_keys = maybe", "policy", "isolated_keys", "refuse or serve"},
		{"hash", "root", "[team.shop]\ncredential_sha256 = 12", "team.shop", "credential_sha256", "64 hexadecimal"},
		{"rate", "shop", "[client_account.c]\nrate = 1e9\nburst = 1", "client_account.c", "rate", "0.001 to 1000000"},
		{"rate zero", "shop", "[client_account.c]\nrate = 0\nburst = 1", "client_account.c", "rate", "0.001 to 1000000"},
		{"burst", "shop", "[client_account.c]\nrate = 1\nburst = -1", "client_account.c", "burst", "from 1 to 10000000"},
		{"missing burst", "shop", "[client_account.c]\nrate = 1", "client_account.c", "burst", "from 1 to 10000000"},
		{"list with a gap", "shop", "[group.a]\nendpoints = a,,b", "group.a", "endpoints", "1 to 9"},
		{"list with a repeat", "shop", "[group.a]\nendpoints = a, a", "group.a", "endpoints", "different names"},
		{"host name", "shop", "[endpoint.e]\naddress = localhost:1", "endpoint.e", "address", "an IP address"},
		{"port zero", "shop", "[endpoint.e]\naddress = 127.0.0.1:0", "endpoint.e", "address", "1 to 65535"},
		{"unspecified address", "shop", "[endpoint.e]\naddress = 0.0.0.0:1", "endpoint.e", "address", "an IP address"},
		{"slots", "shop", "[endpoint.e]\naddress = 127.0.0.1:1\nfailure_domain = a\nconnections = 2\nslots = 3", "endpoint.e", "slots", "at most"},
		{"unknown endpoint", "shop", "[group.a]\nendpoints = e", "group.a", "endpoints", "of this team"},
		{"unknown group", "shop", "[service.s]\ngroup = g", "service.s", "group", "of this team"},
		{"another team's group", "shop", "[service.s]\ngroup = other/g", "service.s", "group", "characters"},
		{"unknown service", "shop", "[route.s.r]\nopen = false", "route.s.r", "", "service of this team"},
		{"open route without account", "shop", "[route.s.r]\nopen = true", "route.s.r", "client_account", "open route"},
		{"unknown account", "shop", "[key.k]\nclient_account = c\nsecret_sha256 = " + hexA, "key.k", "client_account", "of this team"},
		{"shared endpoint", "shop", shopText() + "[group.g]\nendpoints = orders-a\n", "group.g", "endpoints", "no other group"},
		{"shared address", "shop", shopText() + "[endpoint.x]\naddress = 127.0.0.1:8001\nfailure_domain = a\nconnections = 1\nslots = 1\n", "endpoint.x", "address", "no other endpoint"},
		{"team name", "Shop", "", "", "", "characters"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseDocument(tc.team, tc.text)
			var validationErrs *ValidationErrors
			if !errors.As(err, &validationErrs) {
				t.Fatalf("error is %T: %v", err, err)
			}
			for _, validationErr := range validationErrs.Errors() {
				if validationErr.Section() == tc.section && validationErr.Key() == tc.key && strings.Contains(validationErr.Accepted(), tc.accepted) {
					return
				}
			}
			t.Errorf("no validation error for [%s] %s with accepted %q in:\n%v", tc.section, tc.key, tc.accepted, err)
		})
	}
}

// TestParseDocumentListsAll guards against validation that stops at the first error.
func TestParseDocumentListsAll(t *testing.T) {
	_, err := ParseDocument("shop", "nonsense\n[group.a]\n[client_account.c]\nrate = x\nburst = y\n")
	var validationErrs *ValidationErrors
	if !errors.As(err, &validationErrs) || len(validationErrs.Errors()) != 5 {
		t.Errorf("got %v, want 5 validation errors", err)
	}
}

// TestErrorsHideSecrets guards against a secret in an error message, also when the
// secret is in the wrong place of the text.
func TestErrorsHideSecrets(t *testing.T) {
	secret := "rsk_k7f3a_" + hexB
	for _, text := range []string{
		"[key.k]\nsecret_sha256 = x" + hexB,
		"[key.k]\nsecret = " + hexB,
		"[key.k]\nclient_account = " + secret,
		"[client_account.c]\nservices = a, " + secret,
		"[client_account." + hexB + hexB + "]",
		"[key.k]\n" + secret,
		"[key." + secret + "]\nx = 1",
	} {
		_, err := ParseDocument("shop", text)
		if err == nil || strings.Contains(err.Error(), hexB[:32]) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// leakedSecret matches secrets, which no error message may contain. It needs more
// digits than Redact, because escapes of %q may add up to 8 digits to a run that is
// just too short to be redacted.
var leakedSecret = regexp.MustCompile(`(?i)rs[kt]_|[0-9a-f]{48,}`)

// FuzzParseDocument guards against a panic, an error that is not a *ValidationErrors,
// an error with a secret, and an accepted text that is rejected when it is parsed
// again.
func FuzzParseDocument(f *testing.F) {
	f.Add(rootText)
	f.Add(shopText())
	f.Add("[a]\r\nb = `c\n\xef\xbb\xbf")
	f.Fuzz(func(t *testing.T, text string) {
		for _, team := range []string{"root", "shop"} {
			document, err := ParseDocument(team, text)
			var validationErrs *ValidationErrors
			if err != nil && !errors.As(err, &validationErrs) {
				t.Fatalf("error is %T", err)
			}
			if err != nil {
				if leakedSecret.MatchString(err.Error()) {
					t.Fatalf("secret in %v", err)
				}
				continue
			}
			if _, err := ParseDocument(team, document.Text()); err != nil {
				t.Fatalf("accepted text is rejected when parsed again: %v", err)
			}
			NewSnapshot(document)
		}
	})
}

// BenchmarkParse measures parsing and combining a document with the size of the
// design target for two years from now: 1,100 endpoints in 367 groups, with 1,000
// client accounts and keys.
func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	for i := range 1101 {
		fmt.Fprintf(&text, "[endpoint.e%d]\naddress = 10.0.%d.%d:8001\nfailure_domain = a\nconnections = 20\nslots = 3\n", i, i/256, i%256)
		if i%3 == 0 {
			fmt.Fprintf(&text, "[group.g%d]\nendpoints = e%d, e%d, e%d\n[service.s%d]\ngroup = g%d\n", i, i, i+1, i+2, i, i)
		}
	}
	for i := range 1000 {
		fmt.Fprintf(&text, "[client_account.c%d]\nrate = 20\nburst = 40\nservices = s0, s3\n", i)
		fmt.Fprintf(&text, "[key.k%d]\nclient_account = c%d\nsecret_sha256 = %s\n", i, i, hexA)
	}
	b.SetBytes(int64(text.Len()))
	b.Run("document", func(b *testing.B) {
		for b.Loop() {
			if _, err := ParseDocument("shop", text.String()); err != nil {
				b.Fatal(err)
			}
		}
	})
	document, err := ParseDocument("shop", text.String())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			NewSnapshot(document)
		}
	})
}
