package rattanproxy

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanquorum"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// unknownVMs stands for daemons that this one cannot know of.
const unknownVMs = "unknown"

// errRecordNotSeen says that the cache lacks the record that begins the
// switchover.
var errRecordNotSeen = errors.New("the record that begins the switchover is not in the cache yet")

// members implements rattanswitchover.Daemons.
type members struct {
	proxy *Proxy

	mu sync.Mutex
	// confirmed holds the newest switchover for which a daemon has confirmed
	// directly that it stopped sending requests to the primary, by group and
	// daemon.
	confirmed map[stopKey]stopConfirmation
}

type stopKey struct {
	group, vm, incarnation string
}

// A stopConfirmation is the direct confirmation for a record number, and when it
// arrived.
type stopConfirmation struct {
	number int64
	at     time.Time
}

func newMembers(p *Proxy) *members {
	return &members{proxy: p, confirmed: make(map[stopKey]stopConfirmation)}
}

// Active implements rattanswitchover.Daemons.
func (m *members) Active(group string, number int64, revision rattankv.Revision, since time.Time) (rattanswitchover.ActiveDaemons, error) {
	if m.proxy.cache.Revision() < revision {
		return rattanswitchover.ActiveDaemons{}, errRecordNotSeen
	}
	snapshot := m.proxy.cache.Snapshot()
	active := rattanswitchover.ActiveDaemons{Unregistered: m.proxy.cache.RemovedSince(since)}
	if m.proxy.cache.SyncedAt().After(since) {
		// Daemons that were removed before this one's initial sync are not known.
		active.Unregistered = append(active.Unregistered, unknownVMs)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range snapshot.VMs {
		if !m.memberStatus(snapshot, group, number, name).HasStopped {
			active.Registered = append(active.Registered, name)
		}
	}
	active.Unregistered = append(active.Unregistered, membershipOf(snapshot).Outstanding(m.proxy.boot.Now(), func(name string) rattanquorum.MemberStatus {
		return m.memberStatus(snapshot, group, number, name)
	})...)
	return active, nil
}

// memberStatus returns what is known of a VM's newest daemon during a switchover.
func (m *members) memberStatus(snapshot *rattancache.Snapshot, group string, number int64, name string) rattanquorum.MemberStatus {
	vm, isRegistered := snapshot.VMs[name]
	incarnation := vm.Incarnation
	if entry, ok := snapshot.Members[name]; ok {
		incarnation = entry.Incarnation
	}
	var status rattanquorum.MemberStatus
	if stop := m.confirmed[stopKey{group, name, incarnation}]; stop.number >= number {
		status.HasStopped, status.StoppedAt = true, stop.at
	}
	if isRegistered {
		status.HasStopped = status.HasStopped || vm.Incarnation == incarnation && vm.Stopped[group] >= number
		return status
	}
	status.UnregisteredSince = m.proxy.cache.UnregisteredSince(name)
	return status
}

// membershipOf returns the membership in a snapshot.
func membershipOf(snapshot *rattancache.Snapshot) rattanquorum.Membership {
	membership := make(rattanquorum.Membership, len(snapshot.Members))
	for name, entry := range snapshot.Members {
		membership[name] = rattanquorum.Member{Incarnation: entry.Incarnation, Created: entry.CreateRevision, Revision: entry.Revision}
	}
	return membership
}

// Notify implements rattanswitchover.Daemons.
func (m *members) Notify(ctx context.Context, group string, number int64) {
	record, ok := m.proxy.cache.Item(rattancache.GroupPrefix + group)
	if !ok {
		return
	}
	snapshot := m.proxy.cache.Snapshot()
	for name, vm := range snapshot.VMs {
		go m.notifyDaemon(ctx, stopKey{group, name, vm.Incarnation}, vm.Address, record, number)
	}
	for name, entry := range snapshot.Members {
		if snapshot.VMs[name].Incarnation != entry.Incarnation {
			go m.notifyDaemon(ctx, stopKey{group, name, entry.Incarnation}, entry.Address, record, number)
		}
	}
}

func (m *members) notifyDaemon(ctx context.Context, to stopKey, address string, record rattankv.Item, number int64) {
	m.mu.Lock()
	isDone := m.confirmed[to].number >= number
	m.mu.Unlock()
	if isDone {
		return
	}
	if to.vm == m.proxy.settings.VM() {
		m.proxy.relay.stopGroup(ctx, to.group)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		defer cancel()
		frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_StopRequest{
			StopRequest: &rattanv1.StopRequest{Record: itemToWire(record), Incarnation: to.incarnation},
		}}
		if _, err := m.proxy.peers.Call(callCtx, address, frame); err != nil {
			m.proxy.logger.Info("switch_not_confirmed", "group", to.group, "member", to.vm, "error", err)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if number > m.confirmed[to].number {
		m.confirmed[to] = stopConfirmation{number: number, at: m.proxy.boot.Now()}
	}
}

// Expel implements rattanswitchover.Daemons. It skips this daemon, which knows by
// itself when its requests to the primary have stopped and could not continue the
// switchover without its lease.
func (m *members) Expel(ctx context.Context, vms []string) error {
	snapshot := m.proxy.cache.Snapshot()
	for _, name := range vms {
		vm, ok := snapshot.VMs[name]
		if !ok || vm.Lease.IsZero() || name == m.proxy.settings.VM() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := m.proxy.platform.Store.RevokeLease(callCtx, vm.Lease)
		cancel()
		if err != nil && !errors.Is(err, rattankv.ErrLeaseEnded) {
			return errors.Wrapf(err, "revoke the lease of VM %s", name)
		}
		m.proxy.logger.Warn("vm_expelled", "expelled", name, "lease", vm.Lease.String())
	}
	return nil
}
