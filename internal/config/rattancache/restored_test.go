package rattancache

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

// entryDecoder decodes entries of endpoints of four bytes: start, heartbeat, whether
// the endpoint drains, and nothing.
type entryDecoder struct{ testDecoder }

func (entryDecoder) DecodeEndpoint(id string, value []byte) (rattancatalog.Endpoint, error) {
	if len(value) != 3 {
		return rattancatalog.Endpoint{}, errors.New("unreadable")
	}
	return rattancatalog.Endpoint{ID: id, StartedUnixMS: int64(value[0]), Heartbeat: int64(value[1]), IsDraining: value[2] == 1}, nil
}

const (
	ready    = 0
	draining = 1
)

func revision(t *testing.T, era, number int64) rattankv.Revision {
	t.Helper()
	r, err := rattankv.NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A restoredStore plays the contents of a store to a cache.
type restoredStore struct {
	t     *testing.T
	cache *Cache
	clock *clockwork.FakeClock
}

func newRestoredStore(t *testing.T) *restoredStore {
	t.Helper()
	clock := clockwork.NewFakeClock()
	return &restoredStore{t: t, cache: New(clock, entryDecoder{}), clock: clock}
}

func entry(started, heartbeat, state byte) []byte { return []byte{started, heartbeat, state} }

// hold replaces the cache by items of an era, all with the revision number.
func (s *restoredStore) hold(era, number int64, items map[string][]byte) {
	s.t.Helper()
	page := rattankv.Page{AsOf: revision(s.t, era, number)}
	for key, value := range items {
		page.Items = append(page.Items, rattankv.Item{Key: key, Value: value, Revision: page.AsOf})
	}
	s.cache.Replace("", page)
	s.cache.AdvanceRevision(page.AsOf)
}

func (s *restoredStore) remove(era, number int64, key string) {
	s.t.Helper()
	r := revision(s.t, era, number)
	s.cache.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: rattankv.Item{Key: key, Revision: r}, Deleted: true}}, AsOf: r})
}

func (s *restoredStore) assertEndpoint(isThere, isDraining bool) {
	s.t.Helper()
	endpoint, ok := s.cache.Snapshot().Endpoints["e1"]
	if ok != isThere || ok && endpoint.IsDraining != isDraining {
		s.t.Errorf("endpoint known: %t, draining: %t; want %t, %t", ok, endpoint.IsDraining, isThere, isDraining)
	}
}

// TestRestoredEndpoint guards against an endpoint that is used again because the store
// came back from a copy in which it had not left yet.
func TestRestoredEndpoint(t *testing.T) {
	t.Run("drains", func(t *testing.T) {
		s := newRestoredStore(t)
		s.hold(1, 9, map[string][]byte{"endpoints/e1": entry(1, 5, draining)})
		s.hold(2, 4, map[string][]byte{"endpoints/e1": entry(1, 2, ready)})
		s.assertEndpoint(true, true)
		s.hold(2, 5, map[string][]byte{"endpoints/e1": entry(1, 5, draining)})
		s.assertEndpoint(true, true)
		s.hold(2, 6, map[string][]byte{"endpoints/e1": entry(2, 1, ready)})
		s.assertEndpoint(true, false)
	})
	t.Run("is gone", func(t *testing.T) {
		s := newRestoredStore(t)
		s.hold(1, 8, map[string][]byte{"endpoints/e1": entry(1, 5, ready)})
		s.remove(1, 9, "endpoints/e1")
		s.hold(2, 4, map[string][]byte{"endpoints/e1": entry(1, 5, ready)})
		s.assertEndpoint(false, false)
		s.hold(2, 5, map[string][]byte{"endpoints/e1": entry(2, 1, ready)})
		s.assertEndpoint(true, false)
	})
	t.Run("joined after the copy and writes the same entry again", func(t *testing.T) {
		s := newRestoredStore(t)
		s.hold(1, 9, map[string][]byte{"endpoints/e1": entry(1, 1, ready)})
		s.hold(2, 4, nil)
		s.assertEndpoint(false, false)
		s.hold(2, 5, map[string][]byte{"endpoints/e1": entry(1, 1, ready)})
		s.assertEndpoint(true, false)
	})
	t.Run("the same era brings any entry", func(t *testing.T) {
		s := newRestoredStore(t)
		s.hold(1, 8, map[string][]byte{"endpoints/e1": entry(2, 5, draining)})
		s.hold(1, 9, map[string][]byte{"endpoints/e1": entry(1, 1, ready)})
		s.assertEndpoint(true, false)
	})
}

// TestRestoredRevisions guards against a cache that ignores what a restored store holds
// because the numbers of its revisions are lower.
func TestRestoredRevisions(t *testing.T) {
	s := newRestoredStore(t)
	s.hold(1, 900, map[string][]byte{"endpoints/e1": entry(1, 1, ready), "endpoints/e2": entry(1, 1, ready)})
	s.hold(2, 40, map[string][]byte{"endpoints/e1": entry(1, 2, draining)})
	s.assertEndpoint(true, true)
	if _, ok := s.cache.Snapshot().Endpoints["e2"]; ok {
		t.Error("an endpoint that the store has lost is still known")
	}
	if got, want := s.cache.Revision(), revision(t, 2, 40); got != want {
		t.Errorf("the cache is at revision %s, want %s", got, want)
	}
}

// TestRestoredEvacuation guards against a failure domain that gets new statements again
// because the store came back from a copy without its evacuation.
func TestRestoredEvacuation(t *testing.T) {
	assert := func(t *testing.T, s *restoredStore, want bool) {
		t.Helper()
		if got := s.cache.Snapshot().Evacuated["a"]; got != want {
			t.Errorf("evacuated: %t, want %t", got, want)
		}
	}
	evacuated := map[string][]byte{"evacuate/a": {1}}
	t.Run("is written again", func(t *testing.T) {
		s := newRestoredStore(t)
		s.hold(1, 9, evacuated)
		s.hold(2, 4, nil)
		assert(t, s, true)
		s.hold(2, 5, evacuated)
		s.clock.Advance(evacuationHold)
		s.cache.Refresh()
		assert(t, s, true)
		s.remove(2, 6, "evacuate/a")
		assert(t, s, false)
	})
	t.Run("is not written again", func(t *testing.T) {
		s := newRestoredStore(t)
		s.hold(1, 9, evacuated)
		s.hold(2, 4, nil)
		s.clock.Advance(evacuationHold - time.Millisecond)
		s.cache.Refresh()
		assert(t, s, true)
		s.clock.Advance(time.Millisecond)
		s.cache.Refresh()
		assert(t, s, false)
	})
}
