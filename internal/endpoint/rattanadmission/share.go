package rattanadmission

import (
	"slices"
	"time"
)

const (
	// historyInterval separates two entries of a class's history, historyEntries bounds
	// them: a caller that returns after longer counts as if it had waited that long.
	historyInterval = 20 * time.Millisecond
	historyEntries  = 128
	// pruneInterval is how often a class forgets the accounts without debts and demand.
	pruneInterval = time.Second
)

// A class shares the slots among the client accounts of one priority, by start-time fair
// queueing over service time: a request gets a start tag, the later of the class's virtual
// time at its arrival and the end of its account's previous service, and the lowest tag
// goes first. The expected time of a request is charged at its start, the difference to
// the time it took at its end. An account that was idle starts at the virtual time and so
// gains no credit.
type class struct {
	virtual time.Duration
	// finish is the end of the service of each account that has had more than the
	// virtual time.
	finish  map[string]time.Duration
	history []virtualAt
	// admitted is the demand of the requests that get a slot. asked is that of all, also
	// of those that are refused, byAccount the same of each account.
	admitted, asked demand
	byAccount       map[string]*demand
	prunedAt        time.Time
}

// virtualAt is the virtual time of a class as of a time.
type virtualAt struct {
	at      time.Time
	virtual time.Duration
}

func newClass() *class {
	return &class{finish: make(map[string]time.Duration), byAccount: make(map[string]*demand)}
}

// ask records the cost of a request that arrives.
func (c *class) ask(account string, cost time.Duration, now time.Time) {
	c.asked.add(cost, now)
	d, ok := c.byAccount[account]
	if !ok {
		d = &demand{}
		c.byAccount[account] = d
	}
	d.add(cost, now)
	if now.Sub(c.prunedAt) >= pruneInterval {
		c.prune(now)
	}
}

// admit records the cost of a request that gets a slot or waits for one.
func (c *class) admit(cost time.Duration, now time.Time) { c.admitted.add(cost, now) }

// displace takes back the cost of a request that gets no slot after all.
func (c *class) displace(cost time.Duration, now time.Time) { c.admitted.add(-cost, now) }

// othersDemand returns how many slots the accounts other than one ask for, and the number
// of accounts with it.
func (c *class) othersDemand(account string, now time.Time) (others float64, accounts int) {
	others = c.asked.rate(now)
	if own, ok := c.byAccount[account]; ok {
		others -= own.rate(now)
	}
	return max(others, 0), max(len(c.byAccount), 1)
}

// floorAt returns the virtual time as of an arrival.
func (c *class) floorAt(arrival time.Time) time.Duration {
	floor := c.virtual
	for i := len(c.history) - 1; i >= 0 && c.history[i].at.After(arrival); i-- {
		floor = c.history[i].virtual
	}
	return floor
}

// start records that a request of an account begins its service.
func (c *class) start(account string, floor, cost time.Duration, now time.Time) {
	tag := max(floor, c.finish[account])
	c.finish[account] = tag + cost
	if tag > c.virtual {
		if last := len(c.history) - 1; last < 0 || now.Sub(c.history[last].at) >= historyInterval {
			c.history = append(c.history, virtualAt{at: now, virtual: c.virtual})
		}
		c.virtual = tag
	}
	if len(c.history) > historyEntries {
		c.history = slices.Delete(c.history, 0, len(c.history)-historyEntries)
	}
}

// charge adds service time to what an account has had, or takes some back.
func (c *class) charge(account string, service time.Duration) {
	c.finish[account] = max(c.finish[account], c.virtual) + service
}

// prune forgets the accounts without debts and those without demand.
func (c *class) prune(now time.Time) {
	for account, finish := range c.finish {
		if finish <= c.virtual {
			delete(c.finish, account)
		}
	}
	for account, d := range c.byAccount {
		if d.rate(now) < minDemand {
			delete(c.byAccount, account)
		}
	}
	c.prunedAt = now
}
