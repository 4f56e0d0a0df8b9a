package rattanholder

import (
	"slices"
	"testing"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

func endpoint(id string, started int64) rattancatalog.Endpoint {
	return rattancatalog.Endpoint{ID: id, Address: "10.0.0.1:" + id, StartedUnixMS: started}
}

func at(e rattancatalog.Endpoint, address string) rattancatalog.Endpoint {
	e.Address = address
	return e
}

func draining(e rattancatalog.Endpoint) rattancatalog.Endpoint {
	e.IsDraining = true
	return e
}

func assertHolders(t *testing.T, holders Holders, want ...string) {
	t.Helper()
	var ids []string
	for _, holder := range holders.Sorted() {
		ids = append(ids, holder.ID)
	}
	if !slices.Equal(ids, want) {
		t.Errorf("holders %q, want %q", ids, want)
	}
}

// TestObserve guards against an endpoint that is forgotten because it is silent (review/7 and
// review/8), and against one that is awaited although it has left.
func TestObserve(t *testing.T) {
	e1, e2, e3 := endpoint("e1", 5), endpoint("e2", 5), endpoint("e3", 5)
	all := Holders{}.Observe(Observation{Listed: []rattancatalog.Endpoint{e1, e2, e3}, Term: 1})
	for _, test := range []struct {
		name        string
		observation Observation
		want        []string
	}{
		{"no entry is left", Observation{}, []string{"e1", "e2", "e3"}},
		{"an entry has just disappeared", Observation{Listed: []rattancatalog.Endpoint{e1, e2}, Unlisted: []rattancatalog.Endpoint{e3}}, []string{"e1", "e2", "e3"}},
		{"a new endpoint", Observation{Listed: []rattancatalog.Endpoint{endpoint("e4", 9)}}, []string{"e1", "e2", "e3", "e4"}},
		{"a new endpoint at an address", Observation{Listed: []rattancatalog.Endpoint{at(endpoint("e4", 9), e3.Address)}}, []string{"e1", "e2", "e4"}},
		{
			"a new endpoint at an address, whose old entry is still there",
			Observation{Listed: []rattancatalog.Endpoint{e3, at(endpoint("e4", 9), e3.Address)}},
			[]string{"e1", "e2", "e4"},
		},
		{"an old entry at the address of a holder", Observation{Listed: []rattancatalog.Endpoint{at(endpoint("e0", 2), e3.Address)}}, []string{"e1", "e2", "e3"}},
		{"declared lost", Observation{Abandoned: map[string]bool{"e2": true}}, []string{"e1", "e3"}},
		{"declared lost and back", Observation{Listed: []rattancatalog.Endpoint{e2}, Abandoned: map[string]bool{"e2": true}}, []string{"e1", "e2", "e3"}},
	} {
		t.Run(test.name, func(t *testing.T) { assertHolders(t, all.Observe(test.observation), test.want...) })
	}
	t.Run("a drained endpoint has no entry", func(t *testing.T) {
		drained := all.Observe(Observation{Listed: []rattancatalog.Endpoint{draining(e1)}})
		assertHolders(t, drained.Observe(Observation{}), "e1", "e2", "e3")
	})
	t.Run("the argument stays as it is", func(t *testing.T) {
		before := slices.Clone(all)
		all.Observe(Observation{Listed: []rattancatalog.Endpoint{draining(e1), at(endpoint("e4", 9), e3.Address)}, Term: 7})
		if !slices.Equal(all, before) {
			t.Errorf("holders %v, want %v", all, before)
		}
	})
}

// TestHasLostLog guards against an endpoint that counts as a witness of what it held before
// it was started again under its id (review/6), or before another one took over its address.
func TestHasLostLog(t *testing.T) {
	before := Holders{}.Observe(Observation{Listed: []rattancatalog.Endpoint{endpoint("e1", 5)}, Term: 1})
	again := before.Observe(Observation{Listed: []rattancatalog.Endpoint{endpoint("e1", 8)}, Term: 1})
	replaced := again.Observe(Observation{Listed: []rattancatalog.Endpoint{at(endpoint("e2", 9), endpoint("e1", 8).Address)}, Term: 1})
	for _, test := range []struct {
		name    string
		holders Holders
		id      string
		want    bool
	}{
		{"the same process", before.Observe(Observation{Listed: []rattancatalog.Endpoint{endpoint("e1", 5)}, Term: 1}), "e1", false},
		{"started again", again, "e1", true},
		{"an entry of the earlier process", again.Observe(Observation{Listed: []rattancatalog.Endpoint{endpoint("e1", 5)}, Term: 1}), "e1", true},
		{"another endpoint at its address", replaced, "e2", true},
		{"a new term has begun", again.BeginTerm([]rattancatalog.Endpoint{endpoint("e1", 8)}, 1, 2), "e1", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.holders.HasLostLog(test.id); got != test.want {
				t.Errorf("has lost its log: %t, want %t", got, test.want)
			}
		})
	}
}

// TestBeginTerm guards against holders that are never forgotten, and against one that is
// although its log may be the newest.
func TestBeginTerm(t *testing.T) {
	e1, e2 := endpoint("e1", 5), endpoint("e2", 5)
	holders := Holders{}.Observe(Observation{Listed: []rattancatalog.Endpoint{e1, e2}, Term: 3})
	second := holders.BeginTerm([]rattancatalog.Endpoint{e1}, 3, 4)
	assertHolders(t, second, "e1", "e2")
	assertHolders(t, second.BeginTerm([]rattancatalog.Endpoint{e1}, 4, 5), "e1")
	assertHolders(t, second.Observe(Observation{Listed: []rattancatalog.Endpoint{e2}, Term: 4}).BeginTerm([]rattancatalog.Endpoint{e1}, 4, 5), "e1", "e2")
}
