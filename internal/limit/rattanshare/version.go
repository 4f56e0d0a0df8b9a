package rattanshare

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Settings are those of the shared settings that the shares depend on.
type Settings struct {
	// Revisions has the revision of each team's document.
	Revisions map[string]uint64
	// Domains are the configured failure domains.
	Domains []string
	// Shares has the amount of each share for the whole fleet, by the share's name.
	Shares map[string]Amount
}

// replaces reports whether s is newer than old: no document has an older revision and
// at least one has changed.
func (s Settings) replaces(old Settings) bool {
	for team, revision := range old.Revisions {
		if s.Revisions[team] < revision {
			return false
		}
	}
	return !maps.Equal(s.Revisions, old.Revisions)
}

// digest returns a hash that identifies the revisions of all documents. The highest
// revision alone would not identify them: two daemons can have the same one and differ
// in a document that one of them has not received.
func (s Settings) digest() uint64 {
	digest := xxhash.New()
	for _, team := range slices.Sorted(maps.Keys(s.Revisions)) {
		// Writing to a digest cannot fail.
		_, _ = digest.WriteString(strconv.Quote(team) + strconv.FormatUint(s.Revisions[team], 10))
	}
	return digest.Sum64()
}

// A Confirmation identifies the settings and rosters that a daemon has in force. It is
// sent with the daemon's heartbeat. The zero Confirmation confirms nothing.
type Confirmation struct {
	// SettingsDigest is a digest of the revisions of all settings documents. It is
	// only compared for equality.
	SettingsDigest uint64
	// RosterRevisions has the revision of the roster of each failure domain.
	RosterRevisions map[string]uint64
}

// A version consists of the newest settings and rosters that a daemon has received.
type version struct {
	vm          string
	incarnation uint64
	domain      string
	settings    Settings
	digest      uint64
	rosters     map[string]Roster
	// joined is the first revision of its own failure domain's roster in which this
	// daemon saw itself, zero while it is not in the roster.
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

// confirmed reports whether every other member has confirmed v, so that none uses more
// than its base share under v. The confirmation must have exactly the same settings and
// the same revision of the member's own roster, because a later revision can give the
// member back what an earlier one took. Members of other failure domains must also
// know that this daemon has joined, or else they could confirm later settings among
// themselves without waiting for it. Members of a failure domain that the settings no
// longer have must confirm too, because they may not have received these settings.
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

// lenders returns the other owners of share, those of this daemon's failure domain
// first. Each borrower has an order of its own, so that borrowers ask different lenders
// first.
func (v *version) lenders(share string) []string {
	var sameDomain, otherDomains []string
	for domain, roster := range v.rosters {
		owners := slices.DeleteFunc(Owners(share, roster), func(vm string) bool { return vm == v.vm })
		if domain == v.domain {
			sameDomain = append(sameDomain, owners...)
		} else {
			otherDomains = append(otherDomains, owners...)
		}
	}
	key := share + "\x00" + v.vm
	return append(rank(key, sameDomain, len(sameDomain)), rank(key, otherDomains, len(otherDomains))...)
}
