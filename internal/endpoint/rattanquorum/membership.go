package rattanquorum

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanstream/rattanstream/internal/config/rattankv"
)

// A Member is one VM of the membership.
type Member struct {
	// Incarnation is that of the VM's newest daemon.
	Incarnation string
	// Created is the store revision at which the VM became a member. Revision is the
	// revision of its newest membership entry.
	Created, Revision rattankv.Revision
}

// A Membership holds each VM whose daemon may hold grants, by name. The store keeps it
// after the daemons' leases have ended.
type Membership map[string]Member

// A MemberStatus is what is known of a member during a switchover.
type MemberStatus struct {
	// HasStopped is true when the daemon has confirmed that it stopped.
	HasStopped bool
	// StoppedAt is when it confirmed directly to this daemon; the zero time when it
	// did not.
	StoppedAt time.Time
	// UnregisteredSince is since when it is not registered; the zero time while it is.
	UnregisteredSince time.Time
}

// Digest identifies the VMs of the membership and their daemons' incarnations.
func (m Membership) Digest() uint64 {
	digest := xxhash.New()
	for _, vm := range slices.Sorted(maps.Keys(m)) {
		// WriteString of a digest always returns a nil error.
		_, _ = digest.WriteString(vm + "\x00" + m[vm].Incarnation + "\x00")
	}
	return digest.Sum64()
}

// Collectors returns the daemons that may collect the answers of all members, the
// preferred one first. There is one more of them than may be missing.
func (m Membership) Collectors() []string {
	names := slices.Sorted(maps.Keys(m))
	return names[:min(len(names), Tolerated(len(names))+1)]
}

// Outstanding returns the daemons whose grants may still be extended by answers from
// before a switchover. To extend its grants, a daemon needs the answers of the VMs
// that were members when its own entry was written, less the tolerated number. Once
// more of them than that have stopped, at least one that answers reports the
// switchover, and the answers from before it have expired AnswerLifetime later. While
// too few have stopped, the daemon is outstanding until it has been unregistered for
// MaxLifetime.
func (m Membership) Outstanding(now time.Time, status func(vm string) MemberStatus) []string {
	statuses := make(map[string]MemberStatus, len(m))
	for vm := range m {
		statuses[vm] = status(vm)
	}
	var outstanding []string
	for vm, entry := range m {
		own := statuses[vm]
		if own.HasStopped || !own.UnregisteredSince.IsZero() && now.Sub(own.UnregisteredSince) >= MaxLifetime+Margin {
			continue
		}
		witnesses := 0
		for other, otherStatus := range statuses {
			if m[other].Created < entry.Revision && !otherStatus.StoppedAt.IsZero() && now.Sub(otherStatus.StoppedAt) >= AnswerLifetime+Margin {
				witnesses++
			}
		}
		if witnesses < requiredWitnesses(len(m)) {
			outstanding = append(outstanding, vm)
		}
	}
	slices.Sort(outstanding)
	return outstanding
}

// NeedsRenewal reports whether a daemon's entry must be written again because it is
// older than those of most other VMs: too few VMs were members before it to be
// witnesses of a switchover, see requiredWitnesses.
func (m Membership) NeedsRenewal(vm string) bool {
	own, ok := m[vm]
	if !ok {
		return false
	}
	older := 0
	for other, entry := range m {
		if other != vm && entry.Created < own.Revision {
			older++
		}
	}
	return older < min(2*requiredWitnesses(len(m)), len(m)-1)
}

// CanRemove reports whether a VM may be removed from the membership. The number of
// tolerated daemons may fall by at most one while grants may still be extended by
// answers to a larger membership. sinceLowered is how long the number has certainly
// not fallen.
func (m Membership) CanRemove(sinceLowered time.Duration) bool {
	size := len(m)
	return size > minTolerantSize && (Tolerated(size-1) == Tolerated(size) || sinceLowered >= MaxLifetime+Margin)
}
