package rattanshare

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConfirmed guards against an increase that is applied before every member has
// given up what the present version takes from it.
func TestConfirmed(t *testing.T) {
	other, otherDomain, earlier := Member{"a2", 2}, Member{"b1", 1}, Member{"a2", 1}
	for _, tc := range []struct {
		name   string
		change func(v *version, confirmations map[Member]Confirmation)
		want   bool
	}{
		{"all confirmed", func(*version, map[Member]Confirmation) {}, true},
		{"no confirmation from a member", func(_ *version, c map[Member]Confirmation) { delete(c, otherDomain) }, false},
		{"confirmation of other settings", func(_ *version, c map[Member]Confirmation) {
			c[otherDomain] = Confirmation{1, c[otherDomain].RosterRevisions}
		}, false},
		{"older roster", func(_ *version, c map[Member]Confirmation) { c[other].RosterRevisions["a"] = 4 }, false},
		{"newer roster", func(_ *version, c map[Member]Confirmation) { c[other].RosterRevisions["a"] = 6 }, false},
		{"newer roster of its own domain", func(_ *version, c map[Member]Confirmation) { c[otherDomain].RosterRevisions["b"] = 8 }, false},
		{"roster from before this daemon joined", func(_ *version, c map[Member]Confirmation) { c[otherDomain].RosterRevisions["a"] = 2 }, false},
		{"earlier roster that has this daemon", func(_ *version, c map[Member]Confirmation) { c[otherDomain].RosterRevisions["a"] = 3 }, true},
		{"earlier incarnation", func(_ *version, c map[Member]Confirmation) { c[earlier] = c[other]; delete(c, other) }, false},
		{"this daemon is not in the roster", func(v *version, _ map[Member]Confirmation) { v.joined = 0 }, false},
		{"failure domain that the settings no longer have", func(v *version, _ map[Member]Confirmation) {
			v.rosters["c"] = Roster{Revision: 1, Members: []Member{{"c1", 1}}}
		}, false},
		{"roster of a failure domain is unknown", func(v *version, _ map[Member]Confirmation) { v.settings.Domains = []string{"a", "b", "c"} }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := &version{vm: "a1", incarnation: 1, domain: "a", digest: 7, joined: 3, rosters: map[string]Roster{
				"a": {Revision: 5, Members: []Member{{"a1", 1}, other}},
				"b": {Revision: 7, Members: []Member{otherDomain}},
			}, settings: Settings{Domains: []string{"a", "b"}}}
			confirmations := map[Member]Confirmation{
				other:       {7, map[string]uint64{"a": 5, "b": 7}},
				otherDomain: {7, map[string]uint64{"a": 5, "b": 7}},
			}
			tc.change(v, confirmations)
			if got := v.confirmed(confirmations); got != tc.want {
				t.Errorf("confirmed is %t, want %t", got, tc.want)
			}
		})
	}
}

// TestHomeSharesAddUp guards against base shares that add up to more, or less, than the
// total, and against a joining daemon that changes which of the others own base shares,
// or their order, more than by taking one place.
func TestHomeSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := Amount{Rate: rapid.Int64Range(0, 1_000_000).Draw(t, "rate"), Burst: rapid.Int64Range(0, 1_000_000).Draw(t, "burst")}
		share := rapid.SampledFrom([]string{modelAccount, modelConnection}).Draw(t, "share")
		want := total
		if isConcurrencyShare(share) {
			want = Amount{wholeUnits(total.Rate), wholeUnits(total.Burst)}
		}
		domains := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "domains")]
		sum := Amount{}
		for _, domain := range domains {
			roster := Roster{}
			for i := range rapid.IntRange(1, 20).Draw(t, "members") {
				roster, _ = roster.Join(Member{VM: fmt.Sprint(domain, i), Incarnation: 1})
			}
			before := Owners(share, roster)
			for _, member := range roster.Members {
				sum = sum.add(BaseShare(share, total, domains, domain, roster, member.VM))
			}
			joined, _ := roster.Join(Member{VM: "new", Incarnation: 1})
			after := slices.DeleteFunc(Owners(share, joined), func(vm string) bool { return vm == "new" })
			if !slices.Equal(after, before[:len(after)]) {
				t.Fatalf("the owners %v became %v after a daemon joined", before, after)
			}
		}
		if sum != want {
			t.Fatalf("the base shares add up to %v, want %v", sum, want)
		}
	})
}

// TestRoster guards against a member that is lost, duplicated, or replaced by an older
// process of its VM, and against a damaged document that is accepted.
func TestRoster(t *testing.T) {
	roster, _ := Roster{Revision: 3}.Join(Member{"vm-b", 2})
	roster, _ = roster.Join(Member{"vm-a", 1})
	parsed, err := ParseRoster(roster.Document(), 3)
	if err != nil || !slices.Equal(parsed.Members, []Member{{"vm-a", 1}, {"vm-b", 2}}) || parsed.Revision != 3 {
		t.Errorf("the parsed roster is %v, error %v", parsed, err)
	}
	if _, changed := roster.Join(Member{"vm-b", 1}); changed {
		t.Error("an older process replaced a newer one")
	}
	if newer, changed := roster.Join(Member{"vm-b", 3}); !changed || len(newer.Members) != 2 || !newer.Has(Member{"vm-b", 3}) {
		t.Errorf("a newer process did not replace the older one: %v", newer)
	}
	if _, changed := roster.Leave(Member{"vm-b", 1}); changed {
		t.Error("an older process removed the newer one")
	}
	if left, changed := roster.Leave(Member{"vm-b", 2}); !changed || len(left.Members) != 1 {
		t.Errorf("the roster after a member left is %v, want one member", left)
	}
	for _, document := range []string{"", "[]", `{"members":[{"vm":""}]}`, `{"members":[{"vm":"a"},{"vm":"a"}]}`} {
		if _, err := ParseRoster([]byte(document), 1); err == nil {
			t.Errorf("the damaged document %q is accepted", document)
		}
	}
}

// TestDepartures guards against counting a VM as terminated that has only just started
// or that the platform lists again, and against missing one that has terminated.
func TestDepartures(t *testing.T) {
	start := time.Unix(0, 0)
	roster := []string{"old", "new"}
	var d TerminationDetector
	d.Observe(start, []string{"old"}, roster)
	if d.IsTerminated("old") || d.IsTerminated("new") || d.IsTerminated("unheard") {
		t.Error("a VM counts as terminated after the first list")
	}
	d.Observe(start.Add(AbsenceTimeout-1), nil, roster)
	if !d.IsTerminated("old") || d.IsTerminated("new") {
		t.Error("want only the VM that is no longer listed to count as terminated")
	}
	d.Observe(start.Add(AbsenceTimeout), []string{"old"}, roster)
	if d.IsTerminated("old") || !d.IsTerminated("new") {
		t.Error("want only the VM that was never listed to count as terminated")
	}
}
