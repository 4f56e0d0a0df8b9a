package rattancache

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

// TestFollowedCacheHasEverything guards against a daemon that gets the store's changes
// from another one and misses a deletion, a group's record, or what happened before
// the other one's log begins.
func TestFollowedCacheHasEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := newTestCache(), newTestCache()
		revision := rattankv.Revision(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			revision++
			key := rapid.SampledFrom([]string{"config", "endpoints/e1", "endpoints/e2", "evacuate/a"}).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: rattankv.Item{Key: key, Revision: revision}, Deleted: true}}, AsOf: revision})
			case 1:
				// The next response brings the record again.
				record := rattankv.Item{Key: GroupPrefix + "g", Value: []byte(`{"primary":"e1"}`), Revision: revision}
				source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: record}}})
				assertGroupKnown(t, source, follower.Revision(), revision)
				source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: record}}, AsOf: revision})
			case 2:
				source.Replace("", source.Items())
				source.AdvanceRevision(revision)
			case 3:
				follow(source, follower)
			default:
				source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: item(key, byte(revision), revision)}}, AsOf: revision})
			}
		}
		follow(source, follower)
		if got, want := contents(follower), contents(source); got != want {
			t.Fatalf("the follower has %s, the source %s", got, want)
		}
	})
}

// assertGroupKnown checks that changes after a revision include the record of a group
// that was received outside of the order of revisions.
func assertGroupKnown(t *rapid.T, source *Cache, after, recordRevision rattankv.Revision) {
	changes, _ := source.ChangesSince(after)
	for _, event := range changes.Events {
		if event.Key == GroupPrefix+"g" && event.Revision == recordRevision {
			return
		}
	}
	t.Fatalf("the changes after revision %d lack the group's record of revision %d", after, recordRevision)
}

func follow(source, follower *Cache) {
	changes, isPartial := source.ChangesSince(follower.Revision())
	if isPartial {
		follower.Apply(changes)
		return
	}
	page := rattankv.Page{AsOf: changes.AsOf}
	for _, event := range changes.Events {
		page.Items = append(page.Items, event.Item)
	}
	follower.Replace("", page)
	follower.AdvanceRevision(page.AsOf)
}

// contents lists the items of a cache.
func contents(c *Cache) string {
	list := make(map[string]rattankv.Revision)
	for _, item := range c.Items().Items {
		list[item.Key] = item.Revision
	}
	return fmt.Sprint(list)
}

// TestChangesInAnyOrder guards against an event that a follower never gets because the
// store returned it before one of a lower revision.
func TestChangesInAnyOrder(t *testing.T) {
	source, follower := newTestCache(), newTestCache()
	source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: item("endpoints/e1", 1, 1)}}, AsOf: 1})
	follow(source, follower)
	follower.Apply(rattankv.Changes{AsOf: 3})
	source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: item("endpoints/e2", 1, 4)}, {Item: item("endpoints/e1", 2, 2)}}, AsOf: 4})
	follow(source, follower)
	if _, ok := follower.Item("endpoints/e2"); !ok {
		t.Errorf("the follower lacks an event: %s", contents(follower))
	}
}

// TestVersionsInOneResponse guards against a daemon that gets each version of the configuration
// that it lacks: 86 of them were above the largest message between daemons.
func TestVersionsInOneResponse(t *testing.T) {
	source, follower := newTestCache(), newTestCache()
	source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: item("config", 1, 1)}, {Item: item("endpoints/e1", 1, 1)}}, AsOf: 1})
	follow(source, follower)
	const versions = 200
	for version := 2; version <= versions; version++ {
		revision := rattankv.Revision(version)
		source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: item("config", byte(version), revision)}}, AsOf: revision})
	}
	source.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: rattankv.Item{Key: "endpoints/e1", Revision: versions + 1}, Deleted: true}}, AsOf: versions + 1})
	changes, _ := source.ChangesSince(follower.Revision())
	if len(changes.Events) != 2 {
		t.Errorf("%d events after %d changes of two keys, want the newest of each", len(changes.Events), versions)
	}
	follow(source, follower)
	if got := follower.Snapshot().Catalog.Version(); got != versions {
		t.Errorf("the follower has version %d, want %d", got, versions)
	}
	if got, want := contents(follower), contents(source); got != want {
		t.Errorf("the follower has %s, the source %s", got, want)
	}
}
