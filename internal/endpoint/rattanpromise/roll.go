package rattanpromise

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// An Entry is one VM on the roll.
type Entry struct {
	// Incarnation is that of the VM's newest daemon.
	Incarnation string
	// Created is the store's revision since which the VM is on the roll, Revision
	// that of the daemon's last entry.
	Created, Revision int64
}

// A Roll holds each VM whose daemon may hold grants. The store keeps it beyond
// the daemons' leases.
type Roll map[string]Entry

// A Standing is what is known of a daemon on the roll during a switch.
type Standing struct {
	// HasStopped is true when the daemon has confirmed that it stopped.
	HasStopped bool
	// StoppedAt is when it confirmed directly; the zero time when it did not.
	StoppedAt time.Time
	// UnlistedSince is since when it is not listed; the zero time while it is.
	UnlistedSince time.Time
}

// Digest identifies the daemons on the roll.
func (r Roll) Digest() uint64 {
	digest := xxhash.New()
	for _, vm := range slices.Sorted(maps.Keys(r)) {
		// A Digest returns no error.
		_, _ = digest.WriteString(vm + "\x00" + r[vm].Incarnation + "\x00")
	}
	return digest.Sum64()
}

// Collector returns the daemon that collects the promises for all.
func (r Roll) Collector() string {
	if len(r) == 0 {
		return ""
	}
	return slices.Min(slices.Collect(maps.Keys(r)))
}

// Outstanding returns the daemons that may still rely on answers from before a
// switch. Each needs the answer of every VM that was on the roll when it was
// entered; one of those that has stopped tells it of the switch, so its earlier
// answers are over a Term later. Without such a VM the Limit has to pass.
func (r Roll) Outstanding(now time.Time, standing func(vm string) Standing) []string {
	standings := make(map[string]Standing, len(r))
	for vm := range r {
		standings[vm] = standing(vm)
	}
	var outstanding []string
	for vm, entry := range r {
		own := standings[vm]
		if own.HasStopped || !own.UnlistedSince.IsZero() && now.Sub(own.UnlistedSince) >= Limit+Margin {
			continue
		}
		isOver := false
		for other, witness := range standings {
			isOver = isOver || r[other].Created < entry.Revision &&
				!witness.StoppedAt.IsZero() && now.Sub(witness.StoppedAt) >= Term+Margin
		}
		if !isOver {
			outstanding = append(outstanding, vm)
		}
	}
	slices.Sort(outstanding)
	return outstanding
}

// minWitnesses is how many VMs must have been on the roll before a daemon's entry,
// so that one of them is likely to be there during a switch.
const minWitnesses = 3

// NeedsRenewal reports whether a daemon's entry is so old that few VMs were on the
// roll before it.
func (r Roll) NeedsRenewal(vm string) bool {
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
	return before < min(minWitnesses, len(r)-1)
}
