package rattanshare

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConfirmed guards against an increase before every member has given up what
// the present version takes from it.
func TestConfirmed(t *testing.T) {
	other, far, old := Member{"a2", 2}, Member{"b1", 1}, Member{"a2", 1}
	for _, tc := range []struct {
		name   string
		change func(v *version, confirmations map[Member]Confirmation)
		want   bool
	}{
		{"all confirmed", func(*version, map[Member]Confirmation) {}, true},
		{"none heard", func(_ *version, c map[Member]Confirmation) { delete(c, far) }, false},
		{"other settings", func(_ *version, c map[Member]Confirmation) { c[far] = Confirmation{1, c[far].RosterRevisions} }, false},
		{"older roster", func(_ *version, c map[Member]Confirmation) { c[other].RosterRevisions["a"] = 4 }, false},
		{"newer roster", func(_ *version, c map[Member]Confirmation) { c[other].RosterRevisions["a"] = 6 }, false},
		{"newer roster of its own domain", func(_ *version, c map[Member]Confirmation) { c[far].RosterRevisions["b"] = 8 }, false},
		{"does not know that this daemon joined", func(_ *version, c map[Member]Confirmation) { c[far].RosterRevisions["a"] = 2 }, false},
		{"knows an earlier roster with this daemon", func(_ *version, c map[Member]Confirmation) { c[far].RosterRevisions["a"] = 3 }, true},
		{"earlier incarnation", func(_ *version, c map[Member]Confirmation) { c[old] = c[other]; delete(c, other) }, false},
		{"not in the roster", func(v *version, _ map[Member]Confirmation) { v.joined = 0 }, false},
		{"failure domain that the settings no longer have", func(v *version, _ map[Member]Confirmation) {
			v.rosters["c"] = Roster{Revision: 1, Members: []Member{{"c1", 1}}}
		}, false},
		{"roster of a failure domain unknown", func(v *version, _ map[Member]Confirmation) { v.settings.Domains = []string{"a", "b", "c"} }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := &version{vm: "a1", incarnation: 1, domain: "a", digest: 7, joined: 3, rosters: map[string]Roster{
				"a": {Revision: 5, Members: []Member{{"a1", 1}, other}},
				"b": {Revision: 7, Members: []Member{far}},
			}, settings: Settings{Domains: []string{"a", "b"}}}
			confirmations := map[Member]Confirmation{
				other: {7, map[string]uint64{"a": 5, "b": 7}},
				far:   {7, map[string]uint64{"a": 5, "b": 7}},
			}
			tc.change(v, confirmations)
			if got := v.confirmed(confirmations); got != tc.want {
				t.Errorf("confirmed is %t, want %t", got, tc.want)
			}
		})
	}
}

// TestHomeSharesAddUp guards against home shares that add up to more, or less,
// than the whole, and against a joining daemon that moves the homes of others.
func TestHomeSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := Amount{Rate: rapid.Int64Range(0, 1_000_000).Draw(t, "rate"), Burst: rapid.Int64Range(0, 1_000_000).Draw(t, "burst")}
		share := rapid.SampledFrom([]string{modelAccount, modelConnection}).Draw(t, "share")
		want := total
		if isWhole(share) {
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
				t.Fatalf("homes %v became %v", before, after)
			}
		}
		if sum != want {
			t.Fatalf("the home shares add up to %v, want %v", sum, want)
		}
	})
}

// TestRoster guards against a member that is lost, doubled, or replaced by an
// older process, and a document that is accepted although it is damaged.
func TestRoster(t *testing.T) {
	roster, _ := Roster{Revision: 3}.Join(Member{"vm-b", 2})
	roster, _ = roster.Join(Member{"vm-a", 1})
	parsed, err := ParseRoster(roster.Document(), 3)
	if err != nil || !slices.Equal(parsed.Members, []Member{{"vm-a", 1}, {"vm-b", 2}}) || parsed.Revision != 3 {
		t.Errorf("got %v, %v", parsed, err)
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
		t.Errorf("after leave: %v", left)
	}
	for _, document := range []string{"", "[]", `{"members":[{"vm":""}]}`, `{"members":[{"vm":"a"},{"vm":"a"}]}`} {
		if _, err := ParseRoster([]byte(document), 1); err == nil {
			t.Errorf("accepted %q", document)
		}
	}
}

// TestDepartures guards against removing a VM that has only just started or that
// the platform lists again, and against keeping one that is gone.
func TestDepartures(t *testing.T) {
	start := time.Unix(0, 0)
	roster := []string{"old", "new"}
	var d TerminationDetector
	d.Observe(start, []string{"old"}, roster)
	if d.IsTerminated("old") || d.IsTerminated("new") || d.IsTerminated("unheard") {
		t.Error("gone at first sight")
	}
	d.Observe(start.Add(AbsenceTimeout-1), nil, roster)
	if !d.IsTerminated("old") || d.IsTerminated("new") {
		t.Error("want only the VM that was listed before to be gone")
	}
	d.Observe(start.Add(AbsenceTimeout), []string{"old"}, roster)
	if d.IsTerminated("old") || !d.IsTerminated("new") {
		t.Error("want only the VM that was never listed to be gone")
	}
}
