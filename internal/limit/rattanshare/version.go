package rattanshare

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Settings are the parts of the shared settings that shares depend on.
type Settings struct {
	// Revisions has the revision of each team's document.
	Revisions map[string]uint64
	// Domains are the configured failure domains.
	Domains []string
	// Shares has the whole amount of each share by its name.
	Shares map[string]Amount
}

// replaces reports whether s is newer than old: no document goes back and one at
// least has changed.
func (s Settings) replaces(old Settings) bool {
	for team, revision := range old.Revisions {
		if s.Revisions[team] < revision {
			return false
		}
	}
	return !maps.Equal(s.Revisions, old.Revisions)
}

// digest identifies the revisions of all documents. A single revision would not:
// two daemons can have the same highest revision and differ in a document that
// one of them has not received.
func (s Settings) digest() uint64 {
	digest := xxhash.New()
	for _, team := range slices.Sorted(maps.Keys(s.Revisions)) {
		// Writing to a digest does not fail.
		_, _ = digest.WriteString(strconv.Quote(team) + strconv.FormatUint(s.Revisions[team], 10))
	}
	return digest.Sum64()
}

// A Confirmation says which settings and rosters a daemon has in force. A
// daemon sends it with its heartbeat. The zero Confirmation confirms nothing.
type Confirmation struct {
	// SettingsDigest is a digest of the revisions of all settings documents. It is
	// only compared for equality.
	SettingsDigest uint64
	// RosterRevisions has the revision of the roster of each failure domain.
	RosterRevisions map[string]uint64
}

// A version is the settings and rosters that a daemon knows.
type version struct {
	vm          string
	incarnation uint64
	domain      string
	settings    Settings
	digest      uint64
	rosters     map[string]Roster
	// joined is the revision of the own roster in which this daemon was first seen.
	joined uint64
}

func (v *version) self() Member { return Member{VM: v.vm, Incarnation: v.incarnation} }

// confirmation returns what this daemon confirms when v is in force.
func (v *version) confirmation() Confirmation {
	rosters := make(map[string]uint64, len(v.rosters))
	for domain, roster := range v.rosters {
		rosters[domain] = roster.Revision
	}
	return Confirmation{SettingsDigest: v.digest, RosterRevisions: rosters}
}

// confirmed reports whether every other member has confirmed v, so that none
// uses more than its home share under v. A member counts only with exactly the
// same settings and the same revision of its own roster: a later revision can
// give it back what an earlier one took. Members of other failure domains must
// also know that this daemon has joined, or else they could confirm later
// settings among themselves without waiting for it. The members of a failure
// domain that the settings no longer have count too, because they may not know.
func (v *version) confirmed(confirmations map[Member]Confirmation) bool {
	for _, domain := range v.settings.Domains {
		if _, known := v.rosters[domain]; !known {
			return false
		}
	}
	for domain, roster := range v.rosters {
		for _, member := range roster.Members {
			if member == v.self() {
				continue
			}
			c, ok := confirmations[member]
			if !ok || c.SettingsDigest != v.digest || c.RosterRevisions[domain] != roster.Revision || c.RosterRevisions[v.domain] < v.joined {
				return false
			}
		}
	}
	return v.joined > 0
}

// base returns this daemon's base share under v.
func (v *version) base(share string) Amount {
	roster := v.rosters[v.domain]
	if !roster.Has(v.self()) {
		return Amount{}
	}
	return BaseShare(share, v.settings.Shares[share], v.settings.Domains, v.domain, roster, v.vm)
}

// lenders returns the other home daemons of share, those of the own failure
// domain first. Each borrower has an order of its own, so that borrowers spread.
func (v *version) lenders(share string) []string {
	var near, far []string
	for domain, roster := range v.rosters {
		homes := slices.DeleteFunc(Owners(share, roster), func(vm string) bool { return vm == v.vm })
		if domain == v.domain {
			near = append(near, homes...)
		} else {
			far = append(far, homes...)
		}
	}
	key := share + "\x00" + v.vm
	return append(rank(key, near, len(near)), rank(key, far, len(far))...)
}
