package rattanroster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// confirmInterval is how often a daemon publishes what its shares follow.
const confirmInterval = 200 * time.Millisecond

func (k *Controller) confirmed(record rattangossip.Record) {
	var wire rattanv1.ShareConfirmation
	if err := proto.Unmarshal(record.Value, &wire); err != nil {
		k.logger.Error("share confirmation cannot be read", "vm", record.Name, "error", err)
		return
	}
	member := rattanshare.Member{VM: record.Name, Incarnation: record.Epoch}
	k.manager.SetConfirmation(member, rattanshare.Confirmation{SettingsDigest: wire.GetSettings(), RosterRevisions: wire.GetRosters()})
}

// PublishConfirmations publishes what this daemon's shares follow whenever it changes.
func (k *Controller) PublishConfirmations(ctx context.Context) error {
	for {
		k.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.clock.After(confirmInterval):
		}
	}
}

func (k *Controller) publish() {
	confirmation := k.manager.Confirmation()
	if sameConfirmation(confirmation, k.sent) {
		return
	}
	k.sent = confirmation
	k.version++
	wire := &rattanv1.ShareConfirmation{Settings: confirmation.SettingsDigest, Rosters: confirmation.RosterRevisions}
	value, err := proto.Marshal(wire)
	if err != nil {
		k.logger.Error("share confirmation cannot be encoded", "error", err)
		return
	}
	k.gossip.Merge(rattangossip.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_SHARES,
		Name:    k.self.VM,
		Epoch:   k.self.Incarnation,
		Version: k.version,
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
