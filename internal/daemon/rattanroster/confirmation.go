package rattanroster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// confirmInterval is how often a daemon checks whether it has a new share
// confirmation to publish.
const confirmInterval = 200 * time.Millisecond

// updateConfirmation passes the share confirmation of a daemon to the share manager.
func (c *Controller) updateConfirmation(record rattangossip.Record) {
	var wire rattanv1.ShareConfirmation
	if err := proto.Unmarshal(record.Value, &wire); err != nil {
		c.logger.Error("share confirmation cannot be read", "vm", record.Name, "error", err)
		return
	}
	member := rattanshare.Member{VM: record.Name, Incarnation: record.Epoch}
	c.manager.SetConfirmation(member, rattanshare.Confirmation{SettingsDigest: wire.GetSettings(), RosterRevisions: wire.GetRosters()})
}

// PublishConfirmations tells the other daemons, whenever it changes, which
// settings and roster revisions this daemon computes its shares from. It runs
// until ctx ends.
func (c *Controller) PublishConfirmations(ctx context.Context) error {
	for {
		c.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.clock.After(confirmInterval):
		}
	}
}

func (c *Controller) publish() {
	confirmation := c.manager.Confirmation()
	if sameConfirmation(confirmation, c.published) {
		return
	}
	c.published = confirmation
	c.version++
	wire := &rattanv1.ShareConfirmation{Settings: confirmation.SettingsDigest, Rosters: confirmation.RosterRevisions}
	value, err := proto.Marshal(wire)
	if err != nil {
		c.logger.Error("share confirmation cannot be encoded", "error", err)
		return
	}
	c.gossip.Merge(rattangossip.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_SHARES,
		Name:    c.self.VM,
		Epoch:   c.self.Incarnation,
		Version: c.version,
		Value:   value,
	})
}

func sameConfirmation(a, b rattanshare.Confirmation) bool {
	if a.SettingsDigest != b.SettingsDigest || len(a.RosterRevisions) != len(b.RosterRevisions) {
		return false
	}
	for domain, revision := range a.RosterRevisions {
		if b.RosterRevisions[domain] != revision {
			return false
		}
	}
	return true
}
