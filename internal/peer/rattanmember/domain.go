package rattanmember

import (
	"slices"
	"strings"
)

// ambiguous marks a tag of two members, which a sparse vector cannot tell apart.
const ambiguous = -1

// domain is the ordered member list of one failure domain, rebuilt after a
// change.
type domain struct {
	name    string
	valid   bool
	members []*daemon
	byTag   map[uint32]int
	hash    uint32
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
