package rattancheck

import (
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

func validDocument() rattancatalog.Document {
	return rattancatalog.Document{
		Version: 7,
		Routes: []rattancatalog.Route{{
			Name: "r1", Database: "stock", Group: "orders", Consistency: rattancatalog.BoundedStaleness,
			MaxStaleness: 1500 * time.Millisecond, Timeout: 2 * time.Second, LatencyObjective: 500 * time.Millisecond, Priority: 1,
		}},
		Accounts: []rattancatalog.Account{{Name: "dealer", Rate: 200, Burst: 400, Keys: []string{"secret-1"}}},
		Groups:   []rattancatalog.Group{{Name: "orders", MaxConnections: 72}},
		Limits:   rattancatalog.Limits{MessageBytes: 1 << 18, IdleTransaction: 3 * time.Second},
	}
}

// TestCheck guards against a wrong configuration that is sent because nothing names its
// fault, and against a fault that is reported where there is none.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name     string
		change   func(d *rattancatalog.Document)
		severity Severity
		want     string
	}{
		{"valid", func(*rattancatalog.Document) {}, 0, ""},
		{"no version", func(d *rattancatalog.Document) { d.Version = 0 }, Error, "above 0"},
		{"unknown group", func(d *rattancatalog.Document) {
			second := d.Routes[0]
			second.Name, second.Database, second.Group = "r2", "pick", "order"
			d.Routes = append(d.Routes, second)
		}, Error, `group "order"`},
		{"unused group", func(d *rattancatalog.Document) {
			d.Groups = append(d.Groups, rattancatalog.Group{Name: "old", MaxConnections: 9})
		}, Warning, "no route leads to it"},
		{"same database", func(d *rattancatalog.Document) {
			second := d.Routes[0]
			second.Name = "r2"
			d.Routes = append(d.Routes, second)
		}, Error, "can never match: route r2 has the same database"},
		{"unknown type", func(d *rattancatalog.Document) { d.Routes[0].Consistency = 0 }, Error, "unknown type"},
		{"no timeout", func(d *rattancatalog.Document) { d.Routes[0].Timeout = 0 }, Error, "timeout 0s"},
		{"objective above timeout", func(d *rattancatalog.Document) { d.Routes[0].LatencyObjective = 2500 * time.Millisecond }, Warning, "above its timeout"},
		{"no staleness", func(d *rattancatalog.Document) { d.Routes[0].MaxStaleness = 0 }, Warning, "every read goes to the primary"},
		{"staleness at the primary", func(d *rattancatalog.Document) { d.Routes[0].Consistency = rattancatalog.Primary }, Warning, "ignore"},
		{"timeout above idle limit", func(d *rattancatalog.Document) { d.Routes[0].Timeout = 4 * time.Second }, Warning, "limit for idle transactions"},
		{"no connections", func(d *rattancatalog.Document) { d.Groups[0].MaxConnections = 0 }, Error, "nothing can run"},
		{"no key", func(d *rattancatalog.Document) { d.Accounts[0].Keys = nil }, Warning, "it has no key"},
		{"key of two accounts", func(d *rattancatalog.Document) {
			d.Accounts = append(d.Accounts, rattancatalog.Account{Name: "shop", Rate: 1, Burst: 1, Keys: []string{"secret-1"}})
		}, Error, "also that of client account dealer"},
		{"no rate", func(d *rattancatalog.Document) { d.Accounts[0].Rate, d.Accounts[0].Burst = 0, 0 }, Error, "every operation is refused"},
		{"no statement fits", func(d *rattancatalog.Document) { d.Limits.MessageBytes = 0 }, Error, "every statement is refused"},
	} {
		t.Run(test.name, func(t *testing.T) {
			document := validDocument()
			test.change(&document)
			assertFindings(t, Check(document), test.severity, test.want)
		})
	}
}

// assertFindings checks that the only finding has the severity and contains the text, or
// that there is none when the text is empty.
func assertFindings(t *testing.T, got []Finding, severity Severity, want string) {
	t.Helper()
	if want == "" {
		if len(got) > 0 {
			t.Errorf("got the findings %v, want none", got)
		}
		return
	}
	if len(got) != 1 || got[0].Severity != severity || !strings.Contains(got[0].Problem, want) {
		t.Errorf("got the findings %v, want one %s with %q", got, severity, want)
	}
	for _, finding := range got {
		if strings.Contains(finding.Problem, "secret") {
			t.Errorf("the finding shows a key: %s", finding.Problem)
		}
	}
}

// TestDiff guards against a change that the operator does not see before it is sent, and
// against a key in the output.
func TestDiff(t *testing.T) {
	next := validDocument()
	next.Routes[0].Timeout = time.Second
	next.Accounts[0].Keys = []string{"secret-2", "secret-3"}
	next.Groups = append(next.Groups, rattancatalog.Group{Name: "stock", MaxConnections: 9})
	next.Limits.IdleTransaction = time.Second
	want := []Change{
		{"limits", "idle transactions: from 3s to 1s"},
		{"group stock", "added"},
		{"route r1", "timeout: from 2s to 1s"},
		{"client account dealer", "keys added: 2"},
		{"client account dealer", "keys withdrawn: 1"},
	}
	got := Diff(validDocument(), next)
	if len(got) != len(want) {
		t.Fatalf("got the changes %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got the change %v, want %v", got[i], want[i])
		}
	}
	if changes := Diff(next, next); len(changes) > 0 {
		t.Errorf("got the changes %v between equal configurations", changes)
	}
	if len(CheckVersion(validDocument(), next)) != 1 {
		t.Error("a version that is not above the one in force is not reported")
	}
}
