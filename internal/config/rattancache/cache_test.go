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

// testDecoder decodes values of one byte, which is the version of a configuration.
// An empty value cannot be decoded.
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

func newTestCache() *Cache { return New(clockwork.NewFakeClock(), testDecoder{}) }

func item(key string, value byte, revision rattankv.Revision) rattankv.Item {
	return rattankv.Item{Key: key, Value: []byte{value}, Revision: revision}
}

// TestNeverGoesBack guards against a configuration that is replaced by an older
// one, for random sequences of events and full reads of different ages.
func TestNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCache()
		newest := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			version := rapid.IntRange(1, 100).Draw(t, "version")
			offered := item("config", byte(version), rattankv.Revision(version))
			if rapid.Bool().Draw(t, "full read") {
				c.Replace("", rattankv.Page{Items: []rattankv.Item{offered}, AsOf: rattankv.Revision(version)})
			} else {
				c.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: offered}}, AsOf: rattankv.Revision(version)})
			}
			newest = max(newest, int64(version))
			if got := c.Snapshot().Catalog.Version(); got != newest {
				t.Fatalf("version %d is in force, want the newest version received, %d", got, newest)
			}
		}
	})
}

// TestUnreadableEntryLeavesTheOthers guards against one entry that cannot be
// decoded and so keeps the others out of the snapshot, or replaces the
// configuration in force.
func TestUnreadableEntryLeavesTheOthers(t *testing.T) {
	c := newTestCache()
	invalid := c.Replace("", rattankv.Page{Items: []rattankv.Item{
		item("config", 1, 1), item("endpoints/e1", 1, 2), {Key: "endpoints/e2", Revision: 3},
	}, AsOf: 3})
	if len(invalid) != 1 || invalid[0].Key != "endpoints/e2" {
		t.Errorf("invalid entries: %v", invalid)
	}
	if len(c.Snapshot().Endpoints) != 1 || c.Snapshot().Catalog == nil {
		t.Error("the readable entries are missing from the snapshot")
	}
	c.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: rattankv.Item{Key: "config", Revision: 4}}}})
	if c.Snapshot().Catalog == nil || c.Snapshot().Catalog.Version() != 1 {
		t.Error("an unreadable configuration replaced the one in force")
	}
}

// TestDeletedKeyStaysDeleted guards against a full read from before a deletion
// that brings the deleted entry of a daemon or endpoint back.
func TestDeletedKeyStaysDeleted(t *testing.T) {
	c := newTestCache()
	c.Replace("", rattankv.Page{Items: []rattankv.Item{item("endpoints/e1", 1, 2)}, AsOf: 2})
	c.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: rattankv.Item{Key: "endpoints/e1", Revision: 5}, Deleted: true}}, AsOf: 5})
	c.Replace("", rattankv.Page{Items: []rattankv.Item{item("endpoints/e1", 1, 2)}, AsOf: 3})
	if len(c.Snapshot().Endpoints) != 0 {
		t.Error("the deleted endpoint is back")
	}
}
