package rattancache

import (
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

// testDecoder reads values that are a version, or unreadable.
type testDecoder struct{}

func (testDecoder) IsConfig(key string) bool { return key == "config" }

func (testDecoder) EvacuatedDomain(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

func (testDecoder) EndpointID(key string) (string, bool) { return strings.CutPrefix(key, "endpoints/") }

func (testDecoder) DecodeConfig(value []byte) (*rattancatalog.Catalog, error) {
	if len(value) == 0 {
		return nil, errors.New("unreadable")
	}
	return rattancatalog.New(int64(value[0]), nil, nil, nil, rattancatalog.Limits{}), nil
}

func (testDecoder) DecodeEndpoint(id string, value []byte) (rattancatalog.Endpoint, error) {
	if len(value) == 0 {
		return rattancatalog.Endpoint{}, errors.New("unreadable")
	}
	return rattancatalog.Endpoint{ID: id}, nil
}

func newTest() *Cache { return New(clockwork.NewFakeClock(), testDecoder{}) }

func item(key string, value byte, revision int64) rattankv.Item {
	return rattankv.Item{Key: key, Value: []byte{value}, Revision: revision}
}

// TestNeverGoesBack is a property: whatever mixture of events and full reads of
// different ages arrives, a configuration is never replaced by an older one.
func TestNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newTest()
		newest := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			version := rapid.IntRange(1, 100).Draw(t, "version")
			offered := item("config", byte(version), int64(version))
			if rapid.Bool().Draw(t, "full read") {
				k.Replace("", rattankv.Page{Items: []rattankv.Item{offered}, AsOf: int64(version)})
			} else {
				k.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: offered}}, AsOf: int64(version)})
			}
			newest = max(newest, int64(version))
			if got := k.Snapshot().Catalog.Version(); got != newest {
				t.Fatalf("version %d is in force, %d was known", got, newest)
			}
		}
	})
}

// TestUnreadableEntryLeavesTheOthers guards against one bad entry that hides all.
func TestUnreadableEntryLeavesTheOthers(t *testing.T) {
	k := newTest()
	faults := k.Replace("", rattankv.Page{Items: []rattankv.Item{
		item("config", 1, 1), item("endpoints/e1", 1, 2), {Key: "endpoints/e2", Revision: 3},
	}, AsOf: 3})
	if len(faults) != 1 || faults[0].Key != "endpoints/e2" {
		t.Errorf("faults %v", faults)
	}
	if len(k.Snapshot().Endpoints) != 1 || k.Snapshot().Catalog == nil {
		t.Error("the readable entries are not known")
	}
	k.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: rattankv.Item{Key: "config", Revision: 4}}}})
	if k.Snapshot().Catalog == nil || k.Snapshot().Catalog.Version() != 1 {
		t.Error("an unreadable configuration replaces the one in force")
	}
}

// TestDeletedKeyStaysDeleted guards against an old source that brings back a daemon
// or endpoint that has gone.
func TestDeletedKeyStaysDeleted(t *testing.T) {
	k := newTest()
	k.Replace("", rattankv.Page{Items: []rattankv.Item{item("endpoints/e1", 1, 2)}, AsOf: 2})
	k.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: rattankv.Item{Key: "endpoints/e1", Revision: 5}, Deleted: true}}, AsOf: 5})
	k.Replace("", rattankv.Page{Items: []rattankv.Item{item("endpoints/e1", 1, 2)}, AsOf: 3})
	if len(k.Snapshot().Endpoints) != 0 {
		t.Error("the deleted endpoint is back")
	}
}
