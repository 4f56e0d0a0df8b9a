package rattanisolation

import (
	"maps"
	"slices"
	"time"
)

const (
	// lateVMs is how many VMs must be late before all contacts may be lost: one alone
	// may have ended.
	lateVMs = 2
	// contactMemory is how long a late answer counts.
	contactMemory = time.Second
)

// Contacts records which VMs of other failure domains answer this daemon. Load: a failure
// domain is cut off while each of its daemons forwards many statements to others. Two
// late answers with none in time between them come well before the store's silence is
// noticed.
type Contacts struct {
	// lastAnswer is when the request was sent that a VM of another failure domain
	// answered last.
	lastAnswer time.Time
	// late holds when the newest request was sent that a VM has not answered in time.
	late map[string]time.Time
}

// Answered records that a VM of another failure domain answered a request that was sent
// at sentAt.
func (c *Contacts) Answered(vm string, sentAt time.Time) {
	if sentAt.After(c.lastAnswer) {
		c.lastAnswer = sentAt
	}
	delete(c.late, vm)
}

// Late records that a VM of another failure domain has not answered a request in time that
// was sent at sentAt, or that the request failed.
func (c *Contacts) Late(vm string, sentAt time.Time) {
	if c.late == nil {
		c.late = make(map[string]time.Time)
	}
	if sentAt.After(c.late[vm]) {
		c.late[vm] = sentAt
	}
}

// LateVMs returns the VMs that have not answered a request in time.
func (c *Contacts) LateVMs() []string { return slices.Collect(maps.Keys(c.late)) }

// AreLost reports whether no VM of another failure domain has answered since the requests
// that several of them leave unanswered were sent.
func (c *Contacts) AreLost(now time.Time) bool {
	count := 0
	for vm, sentAt := range c.late {
		switch {
		case now.Sub(sentAt) > contactMemory:
			delete(c.late, vm)
		case sentAt.After(c.lastAnswer):
			count++
		}
	}
	return count >= lateVMs
}
