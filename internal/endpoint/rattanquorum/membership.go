package rattanquorum

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// An Member is one VM on the roll.
type Member struct {
	// Incarnation is that of the VM's newest daemon.
	Incarnation string
	// Created is the store's revision since which the VM is on the roll, Revision
	// that of the daemon's last entry.
	Created, Revision int64
}

// A Membership holds each VM whose daemon may hold grants. The store keeps it beyond
// the daemons' leases.
type Membership map[string]Member

// A MemberStatus is what is known of a daemon on the roll during a switch.
type MemberStatus struct {
	// HasStopped is true when the daemon has confirmed that it stopped.
	HasStopped bool
	// StoppedAt is when it confirmed directly; the zero time when it did not.
	StoppedAt time.Time
	// UnregisteredSince is since when it is not listed; the zero time while it is.
	UnregisteredSince time.Time
}

// Digest identifies the daemons on the roll.
func (r Membership) Digest() uint64 {
	digest := xxhash.New()
	for _, vm := range slices.Sorted(maps.Keys(r)) {
		// A Digest returns no error.
		_, _ = digest.WriteString(vm + "\x00" + r[vm].Incarnation + "\x00")
	}
	return digest.Sum64()
}

// Collectors returns the daemons that may collect the answers for all, the usual
// one first: one more than may be missing.
func (r Membership) Collectors() []string {
	names := slices.Sorted(maps.Keys(r))
	return names[:min(len(names), Tolerated(len(names))+1)]
}

// Outstanding returns the daemons that may still rely on answers from before a
// switch. Each needs the answers of the VMs that were on the roll when it was
// entered, less those tolerated; when more of them have stopped than that, one of
// these tells it of the switch, and its earlier answers are over a Term later.
// Without them the Limit has to pass.
func (r Membership) Outstanding(now time.Time, standing func(vm string) MemberStatus) []string {
	standings := make(map[string]MemberStatus, len(r))
	for vm := range r {
		standings[vm] = standing(vm)
	}
	var outstanding []string
	for vm, entry := range r {
		own := standings[vm]
		if own.HasStopped || !own.UnregisteredSince.IsZero() && now.Sub(own.UnregisteredSince) >= MaxLifetime+Margin {
			continue
		}
		stopped := 0
		for other, witness := range standings {
			if r[other].Created < entry.Revision && !witness.StoppedAt.IsZero() && now.Sub(witness.StoppedAt) >= AnswerLifetime+Margin {
				stopped++
			}
		}
		if stopped < witnesses(len(r)) {
			outstanding = append(outstanding, vm)
		}
	}
	slices.Sort(outstanding)
	return outstanding
}

// NeedsRenewal reports whether a daemon's entry is older than most, so that too few
// VMs were on the roll before it for a switch to rely on.
func (r Membership) NeedsRenewal(vm string) bool {
	own, ok := r[vm]
	if !ok {
		return false
	}
	before := 0
	for other, entry := range r {
		if other != vm && entry.Created < own.Revision {
			before++
		}
	}
	return before < min(2*witnesses(len(r)), len(r)-1)
}

// CanRemove reports whether a VM may be removed from the roll. The number of
// tolerated daemons falls by one at most while a larger roll may be relied on;
// quiet is how long it certainly has not fallen.
func (r Membership) CanRemove(quiet time.Duration) bool {
	size := len(r)
	return size > minTolerant && (Tolerated(size-1) == Tolerated(size) || quiet >= MaxLifetime+Margin)
}
