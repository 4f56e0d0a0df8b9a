package rattandaemon

import (
	"sync"

	"github.com/charmbracelet/log"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A configuration puts newer settings in force, whether they come from the watch
// of the platform's store or from a peer. Both arrive through the gossip store.
type configuration struct {
	logger  *log.Logger
	catalog *catalog

	mutex     sync.Mutex
	listeners []func(*rattansettings.Snapshot)
}

func newConfiguration(logger *log.Logger, catalog *catalog, store *rattangossip.Store) *configuration {
	c := &configuration{logger: logger, catalog: catalog}
	store.Subscribe(rattanv1.RecordKind_RECORD_KIND_SETTINGS, c.applyRecords)
	return c
}

// snapshot returns the settings in force.
func (c *configuration) snapshot() *rattansettings.Snapshot { return c.catalog.snapshot.Load() }

// listen calls apply for the settings in force and for every later change. The
// calls come one at a time and in order.
func (c *configuration) listen(apply func(*rattansettings.Snapshot)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listeners = append(c.listeners, apply)
	apply(c.snapshot())
}

// applyRecords puts the settings documents of gossip records in force.
func (c *configuration) applyRecords(records []rattangossip.Record) {
	for _, record := range records {
		document, err := rattansettings.ParseDocument(record.Name, string(record.Value))
		if err != nil {
			// Documents are validated before they are stored, so this one comes from
			// another version of the daemon. The earlier one stays in force.
			c.logger.Error("settings document cannot be used", "team", record.Name, "revision", record.Version, "error", err)
			continue
		}
		c.apply(document.WithRevision(record.Version))
	}
}

// apply puts a document in force and calls the listeners, unless the same or a
// later revision is in force already.
func (c *configuration) apply(document *rattansettings.Document) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	snapshot, newer := c.snapshot().With(document)
	if !newer {
		return
	}
	c.catalog.snapshot.Store(snapshot)
	for _, listener := range c.listeners {
		listener(snapshot)
	}
	c.logger.Info("settings in force", "team", document.Team(), "revision", document.Revision(), "faults", len(snapshot.ReferenceErrors()))
}

// documentRecord returns the gossip record of a stored settings document.
func documentRecord(team, text string, revision uint64) rattangossip.Record {
	return rattangossip.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_SETTINGS,
		Name:    team,
		Version: revision,
		Value:   []byte(text),
	}
}
