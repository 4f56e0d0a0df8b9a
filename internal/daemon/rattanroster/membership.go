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
	// rosterInterval is how often a daemon compares its roster with what it knows.
	rosterInterval = 2 * time.Second
	// rosterTimeout bounds one change of the roster.
	rosterTimeout = 5 * time.Second
	// removalSilence is how long a VM that is gone from the platform's list must
	// be silent before it is removed from the roster. It is longer than
	// isolatedTime with the drift of clocks, since the list may leave out a VM
	// that is only cut off.
	removalSilence = 2 * isolatedTime
)

// watchName is the name by which one daemon of each failure domain is chosen to
// read the platform's list of VMs.
const watchName = "vms"

func (k *Controller) rosterChanged(record rattangossip.Record) {
	roster, err := rattanshare.ParseRoster(record.Value, record.Version)
	if err != nil {
		k.logger.Error("roster cannot be used", "failure_domain", record.Name, "error", err)
		return
	}
	k.mutex.Lock()
	k.rosters[record.Name] = roster
	k.mutex.Unlock()
	k.manager.SetRoster(record.Name, roster)
}

// Reconcile keeps this daemon in its roster and removes VMs that are certainly gone.
func (k *Controller) Reconcile(ctx context.Context) error {
	for {
		if err := k.maintainOnce(ctx); err != nil && ctx.Err() == nil {
			k.logger.Warn("roster is not up to date", "failure_domain", k.self.FailureDomain, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.clock.After(rosterInterval):
		}
	}
}

func (k *Controller) maintainOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	roster := k.roster()
	if !roster.Has(k.member()) {
		return k.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Join(k.member()) })
	}
	if !k.leads() {
		return nil
	}
	return k.removeGone(ctx, roster)
}

func (k *Controller) member() rattanshare.Member {
	return rattanshare.Member{VM: k.self.VM, Incarnation: k.self.Incarnation}
}

func (k *Controller) roster() rattanshare.Roster {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.rosters[k.self.FailureDomain]
}

// leads reports whether this daemon is the one of its failure domain that reads
// the VM list, so that the platform is asked once per failure domain.
func (k *Controller) leads() bool {
	return k.members.IsWatcher(watchName, 1)
}

func (k *Controller) removeGone(ctx context.Context, roster rattanshare.Roster) error {
	vms, err := k.store.ListVMs(ctx)
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
	k.departures.Observe(k.clock.Now(), listed, members)
	if !slices.ContainsFunc(members, k.gone) {
		return nil
	}
	return k.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Remove(k.gone) })
}

// gone reports whether a VM has ended for certain: the platform's list does not
// have it any more, and its heartbeat has been silent for long enough that its
// daemon, if it is only cut off, has stopped spending.
func (k *Controller) gone(vm string) bool {
	if !k.departures.IsTerminated(vm) {
		return false
	}
	member, known := k.members.Member(vm)
	if known && member.HeartbeatSeen {
		return member.SinceHeartbeat > removalSilence
	}
	return k.clock.Now().Sub(k.started) > removalSilence
}

// changeRoster changes the roster of the own failure domain by compare-and-swap.
func (k *Controller) changeRoster(ctx context.Context, change func(rattanshare.Roster) (rattanshare.Roster, bool)) error {
	changed, err := k.store.ChangeRoster(ctx, k.self.FailureDomain, func(members []rattanstore.Member) []rattanstore.Member {
		roster := rattanshare.Roster{}
		for _, member := range members {
			roster.Members = append(roster.Members, rattanshare.Member(member))
		}
		roster, ok := change(roster)
		if !ok {
			return members
		}
		wanted := make([]rattanstore.Member, 0, len(roster.Members))
		for _, member := range roster.Members {
			wanted = append(wanted, rattanstore.Member(member))
		}
		return wanted
	})
	if err != nil {
		return errors.Wrap(err, "change roster")
	}
	roster := rattanshare.Roster{}
	for _, member := range changed.Members {
		roster.Members = append(roster.Members, rattanshare.Member(member))
	}
	k.gossip.Merge(Record(k.self.FailureDomain, roster.Document(), changed.Revision))
	return nil
}

// Leave gives the home shares back and leaves the roster.
func (k *Controller) Leave(ctx context.Context) error {
	k.manager.Leave()
	return k.changeRoster(ctx, func(roster rattanshare.Roster) (rattanshare.Roster, bool) { return roster.Leave(k.member()) })
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
