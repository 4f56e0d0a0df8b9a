package rattanmember

import (
	"slices"
	"strings"
)

// ambiguous replaces the index of a tag that several members share. A sparse
// vector cannot tell them apart, so its entries with this tag are skipped.
const ambiguous = -1

// domain is the member list of one failure domain, on which the encoding of its
// heartbeat vector depends.
type domain struct {
	name string
	// valid is false after a daemon has come or gone; rebuild then renews the
	// fields below.
	valid bool
	// members are in the order of their VM names.
	members []*daemon
	// byTag maps a member's tag to its index in members, or to ambiguous.
	byTag map[uint32]int
	// hash covers the members' tags in order.
	hash uint32
}

func (d *domain) invalidate() {
	d.valid = false
}

func (d *domain) rebuild(daemons map[string]*daemon) {
	if d.valid {
		return
	}
	d.members = nil
	d.byTag = make(map[uint32]int)
	for _, member := range daemons {
		if member.identity.FailureDomain == d.name {
			d.members = append(d.members, member)
		}
	}
	slices.SortFunc(d.members, func(a, b *daemon) int { return strings.Compare(a.identity.VM, b.identity.VM) })
	tags := make([]uint32, 0, len(d.members))
	for i, member := range d.members {
		tags = append(tags, member.tag)
		if _, ok := d.byTag[member.tag]; ok {
			i = ambiguous
		}
		d.byTag[member.tag] = i
	}
	d.hash = hashOf(tags)
	d.valid = true
}
