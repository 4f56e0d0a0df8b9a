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

// TestInvalidEntryIsReportedOnce guards against a log line and a decoding for an odd entry at
// each change of the store.
func TestInvalidEntryIsReportedOnce(t *testing.T) {
	c := newTestCache()
	odd := rattankv.Item{Key: "endpoints/e2", Revision: 3}
	c.Replace("", rattankv.Page{Items: []rattankv.Item{item("config", 1, 1), odd}, AsOf: 3})
	apply := func(item rattankv.Item) []InvalidEntry {
		return c.Apply(rattankv.Changes{Events: []rattankv.Event{{Item: item}}, AsOf: item.Revision})
	}
	if invalid := apply(item("endpoints/e1", 1, 4)); len(invalid) != 0 {
		t.Errorf("reported again: %v", invalid)
	}
	odd.Revision = 5
	if invalid := apply(odd); len(invalid) != 1 {
		t.Errorf("%d invalid entries after its change, want 1", len(invalid))
	}
	apply(item("endpoints/e2", 1, 6))
	if len(c.Snapshot().Endpoints) != 2 {
		t.Errorf("endpoints %v, want both after the entry was mended", c.Snapshot().Endpoints)
	}
}

// TestOddRecords guards against records of daemons that no daemon can have written: a VM that
// nobody can expel, a leader that never ends, a record whose next version overflows.
func TestOddRecords(t *testing.T) {
	lease := rattankv.Lease{ID: 7}
	const vm = `{"incarnation":"i","address":"127.0.0.1:1","failure_domain":"a"}`
	for _, test := range []struct {
		name, key, value string
		lease            rattankv.Lease
	}{
		{"a VM without a lease", VMPrefix + "odd", vm, rattankv.Lease{}},
		{"a VM without an incarnation", VMPrefix + "odd", `{"address":"127.0.0.1:1"}`, lease},
		{"a VM with a port out of range", VMPrefix + "odd", `{"incarnation":"i","address":"127.0.0.1:70000"}`, lease},
		{"a VM with a number too large", VMPrefix + "odd", `{"incarnation":"i","address":"127.0.0.1:1","processor_cores":1e400}`, lease},
		{"a VM nested too deeply", VMPrefix + "odd", strings.Repeat("[", 200_000), lease},
		{"a member with a port out of range", MemberPrefix + "odd", `{"incarnation":"i","address":"127.0.0.1:0"}`, rattankv.Lease{}},
		{"a member without an incarnation", MemberPrefix + "odd", `{"address":"127.0.0.1:1"}`, rattankv.Lease{}},
		{"a leader without a lease", LeaderKey, `{"vm":"odd","incarnation":"i","token":1}`, rattankv.Lease{}},
		{"a leader with a number too large", LeaderKey, `{"vm":"odd","token":1e400}`, lease},
		{"a leader with an overflowing token", LeaderKey, `{"vm":"odd","token":9223372036854775807}`, lease},
		{"a group with an overflowing version", GroupPrefix + "odd", `{"primary":"e","number":9223372036854775807}`, rattankv.Lease{}},
		{"a group with a number too large", GroupPrefix + "odd", `{"primary":"e","number":1e400}`, rattankv.Lease{}},
		{"a group nested too deeply", GroupPrefix + "odd", strings.Repeat(`{"a":`, 200_000), rattankv.Lease{}},
		{"an era too large", SettledKey, `1e400`, rattankv.Lease{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCache()
			invalid := c.Replace("", rattankv.Page{Items: []rattankv.Item{
				{Key: test.key, Value: []byte(test.value), Revision: 2, Lease: test.lease},
				{Key: VMPrefix + "good", Value: []byte(vm), Revision: 3, Lease: lease},
			}, AsOf: 3})
			if len(invalid) != 1 || invalid[0].Key != test.key {
				t.Errorf("invalid entries %v, want %s", invalid, test.key)
			}
			s := c.Snapshot()
			if len(s.VMs) != 1 || len(s.Members) > 0 || s.HasLeader || s.SettledEra != 0 {
				t.Errorf("the snapshot is %+v, want the good VM only", s)
			}
			if group, ok := s.Groups["odd"]; ok && !group.IsUnreadable {
				t.Errorf("the group has the record %+v", group)
			}
		})
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
