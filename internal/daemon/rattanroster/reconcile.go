package rattanroster

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/limit/rattanshare"
	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// rosterInterval is how often a daemon checks the roster of its failure domain.
	rosterInterval = 2 * time.Second
	// rosterTimeout bounds one check of the roster, including its change.
	rosterTimeout = 5 * time.Second
	// removalDelay is how long a VM that has left the platform's list must be
	// without a heartbeat before it is removed from the roster. It is longer than
	// isolatedTime plus clock drift, since the list may leave out a VM that is only
	// partitioned.
	removalDelay = 2 * isolatedTime
)

// vmListName selects the one daemon of each failure domain that reads the
// platform's list of VMs.
const vmListName = "vms"

// updateRoster takes over a newer roster of any failure domain.
func (c *Controller) updateRoster(record rattangossip.Record) {
	roster, err := rattanshare.ParseRoster(record.Value, record.Version)
	if err != nil {
		c.logger.Error("roster cannot be used", "failure_domain", record.Name, "error", err)
		c.mutex.Lock()
		c.isCorrupt = c.isCorrupt || record.Name == c.self.FailureDomain
		c.mutex.Unlock()
		return
	}
	c.mutex.Lock()
	c.rosters[record.Name] = roster
	c.isCorrupt = c.isCorrupt && record.Name != c.self.FailureDomain
	c.mutex.Unlock()
	c.manager.SetRoster(record.Name, roster)
}

// Reconcile keeps this daemon in its roster and removes VMs that have certainly
// terminated. It runs until ctx ends.
func (c *Controller) Reconcile(ctx context.Context) error {
	for {
		if err := c.reconcileOnce(ctx); err != nil && ctx.Err() == nil {
			c.logger.Warn("roster is not up to date", "failure_domain", c.self.FailureDomain, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.clock.After(rosterInterval):
		}
	}
}

func (c *Controller) reconcileOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	roster, isCorrupt := c.roster()
	if isCorrupt || !roster.Has(c.member()) {
		return c.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Join(c.member()) })
	}
	if !c.readsVMList() {
		return nil
	}
	return c.removeTerminated(ctx, roster)
}

func (c *Controller) member() rattanshare.Member {
	return rattanshare.Member{VM: c.self.VM, Incarnation: c.self.Incarnation}
}

// roster returns the newest roster of this daemon's failure domain that can be used, and
// whether the platform has a newer one that cannot.
func (c *Controller) roster() (roster rattanshare.Roster, isCorrupt bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rosters[c.self.FailureDomain], c.isCorrupt
}

// readsVMList reports whether this daemon is the one of its failure domain that
// reads the VM list, so that the platform gets one query per failure domain.
func (c *Controller) readsVMList() bool {
	return c.members.IsWatcher(vmListName, 1)
}

func (c *Controller) removeTerminated(ctx context.Context, roster rattanshare.Roster) error {
	vms, err := c.store.ListVMs(ctx)
	if err != nil {
		return err
	}
	listed := make([]string, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, vm.Name)
	}
	members := make([]string, 0, len(roster.Members))
	for _, member := range roster.Members {
		members = append(members, member.VM)
	}
	c.terminations.Observe(c.clock.Now(), listed, members)
	if !slices.ContainsFunc(members, c.isTerminated) {
		return nil
	}
	return c.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Remove(c.isTerminated) })
}

// isTerminated reports whether a VM has certainly terminated: the platform's list
// does not have it any more, and its heartbeat has been missing for so long that
// its daemon, if it is only partitioned, has stopped spending its base shares.
func (c *Controller) isTerminated(vm string) bool {
	if !c.terminations.IsTerminated(vm) {
		return false
	}
	member, known := c.members.Member(vm)
	if known && member.HeartbeatSeen {
		return member.SinceHeartbeat > removalDelay
	}
	return c.clock.Now().Sub(c.started) > removalDelay
}

// changeRoster changes the stored roster of this daemon's failure domain by
// compare-and-swap and publishes the result by gossip. change may run several
// times; it returns false when nothing is to change.
func (c *Controller) changeRoster(ctx context.Context, change func(rattanshare.Roster) (rattanshare.Roster, bool)) error {
	last, _ := c.roster()
	known := make([]rattanstore.Member, 0, len(last.Members))
	for _, member := range last.Members {
		known = append(known, rattanstore.Member(member))
	}
	changed, err := c.store.ChangeRoster(ctx, c.self.FailureDomain, known, func(members []rattanstore.Member) []rattanstore.Member {
		roster := rattanshare.Roster{}
		for _, member := range members {
			roster.Members = append(roster.Members, rattanshare.Member(member))
		}
		roster, ok := change(roster)
		if !ok {
			return members
		}
		updated := make([]rattanstore.Member, 0, len(roster.Members))
		for _, member := range roster.Members {
			updated = append(updated, rattanstore.Member(member))
		}
		return updated
	})
	if err != nil {
		return errors.Wrap(err, "change roster")
	}
	roster := rattanshare.Roster{}
	for _, member := range changed.Members {
		roster.Members = append(roster.Members, rattanshare.Member(member))
	}
	c.gossip.Merge(Record(c.self.FailureDomain, roster.Document(), changed.Revision))
	return nil
}

// Leave gives up this daemon's base shares, returns its loans and removes it from
// the stored roster.
func (c *Controller) Leave(ctx context.Context) error {
	c.manager.Leave()
	return c.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Leave(c.member()) })
}

// Record returns the gossip record of a roster as the platform stores it.
func Record(failureDomain string, value []byte, revision uint64) rattangossip.Record {
	return rattangossip.Record{
		Kind:    rattanv1.RecordKind_RECORD_KIND_ROSTER,
		Name:    failureDomain,
		Version: revision,
		Value:   value,
	}
}
