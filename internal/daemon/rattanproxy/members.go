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

// unknownVMs stands for daemons that this one cannot have heard of.
const unknownVMs = "unknown"

// errBehindMark says that the mark of a switch is not known here yet.
var errBehindMark = errors.New("the changes up to the mark of the switch are not known yet")

// members implements rattanswitchover.Members.
type members struct {
	proxy *Proxy

	mu sync.Mutex
	// confirmed is the newest switch that a daemon has confirmed directly, by
	// group and daemon.
	confirmed map[confirmation]confirmed
}

type confirmation struct {
	group, vm, incarnation string
}

type confirmed struct {
	number int64
	at     time.Time
}

func newMembers(p *Proxy) *members {
	return &members{proxy: p, confirmed: make(map[confirmation]confirmed)}
}

// Active implements rattanswitchover.Members.
func (m *members) Active(group string, number, revision int64, since time.Time) (rattanswitchover.ActiveDaemons, error) {
	if m.proxy.cache.Revision() < revision {
		return rattanswitchover.ActiveDaemons{}, errBehindMark
	}
	view := m.proxy.cache.Snapshot()
	running := rattanswitchover.ActiveDaemons{Unregistered: m.proxy.cache.RemovedSince(since)}
	if m.proxy.cache.SyncedAt().After(since) {
		// Daemons that disappeared before this one began to watch are not known.
		running.Unregistered = append(running.Unregistered, unknownVMs)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range view.VMs {
		if !m.standing(view, group, number, name).HasStopped {
			running.Registered = append(running.Registered, name)
		}
	}
	running.Unregistered = append(running.Unregistered, rollOf(view).Outstanding(m.proxy.boot.Now(), func(name string) rattanquorum.MemberStatus {
		return m.standing(view, group, number, name)
	})...)
	return running, nil
}

// standing returns what is known of a VM's newest daemon during a switch.
func (m *members) standing(view *rattancache.Snapshot, group string, number int64, name string) rattanquorum.MemberStatus {
	vm, isListed := view.VMs[name]
	incarnation := vm.Incarnation
	if entry, ok := view.Members[name]; ok {
		incarnation = entry.Incarnation
	}
	var standing rattanquorum.MemberStatus
	if direct := m.confirmed[confirmation{group, name, incarnation}]; direct.number >= number {
		standing.HasStopped, standing.StoppedAt = true, direct.at
	}
	if isListed {
		standing.HasStopped = standing.HasStopped || vm.Incarnation == incarnation && vm.Stopped[group] >= number
		return standing
	}
	standing.UnregisteredSince = m.proxy.cache.UnregisteredSince(name)
	return standing
}

// rollOf returns the roll that a view holds.
func rollOf(view *rattancache.Snapshot) rattanquorum.Membership {
	membership := make(rattanquorum.Membership, len(view.Members))
	for name, entry := range view.Members {
		membership[name] = rattanquorum.Member{Incarnation: entry.Incarnation, Created: entry.CreateRevision, Revision: entry.Revision}
	}
	return membership
}

// Notify implements rattanswitchover.Members.
func (m *members) Notify(ctx context.Context, group string, number int64) {
	record, ok := m.proxy.cache.Item(rattancache.GroupPrefix + group)
	if !ok {
		return
	}
	view := m.proxy.cache.Snapshot()
	for name, vm := range view.VMs {
		go m.tell(ctx, confirmation{group, name, vm.Incarnation}, vm.Address, record, number)
	}
	for name, entry := range view.Members {
		if view.VMs[name].Incarnation != entry.Incarnation {
			go m.tell(ctx, confirmation{group, name, entry.Incarnation}, entry.Address, record, number)
		}
	}
}

func (m *members) tell(ctx context.Context, to confirmation, address string, record rattankv.Item, number int64) {
	m.mu.Lock()
	isConfirmed := m.confirmed[to].number >= number
	m.mu.Unlock()
	if isConfirmed {
		return
	}
	if to.vm == m.proxy.settings.VM() {
		m.proxy.relay.stopGroup(ctx, to.group)
	} else {
		call, cancel := context.WithTimeout(ctx, tellTimeout)
		defer cancel()
		frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_StopRequest{
			StopRequest: &rattanv1.StopRequest{Record: itemToWire(record), Incarnation: to.incarnation},
		}}
		if _, err := m.proxy.peers.Call(call, address, frame); err != nil {
			m.proxy.logger.Info("switch_not_confirmed", "group", to.group, "member", to.vm, "error", err)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if number > m.confirmed[to].number {
		m.confirmed[to] = confirmed{number: number, at: m.proxy.boot.Now()}
	}
}

// Expel implements rattanswitchover.Members. This daemon knows by itself when its
// work has stopped; without its lease it could not go on with the switch.
func (m *members) Expel(ctx context.Context, vms []string) error {
	view := m.proxy.cache.Snapshot()
	for _, name := range vms {
		vm, ok := view.VMs[name]
		if !ok || vm.Lease == 0 || name == m.proxy.settings.VM() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		err := m.proxy.protocol.Store.RevokeLease(call, vm.Lease)
		cancel()
		if err != nil && !errors.Is(err, rattankv.ErrLeaseEnded) {
			return errors.Wrapf(err, "VM %s", name)
		}
		m.proxy.logger.Warn("vm_expelled", "expelled", name, "lease", vm.Lease)
	}
	return nil
}
