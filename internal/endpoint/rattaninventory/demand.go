package rattaninventory

import (
	"math"
	"time"
)

const (
	// demandTime is the time after which a request weighs e times less than a new one:
	// several intervals of the rarest accounts that are worth a connection, and short
	// against the time for which the demand of an account stays the same.
	demandTime = 20 * time.Second
	// rebaseAfter is the time after which all weights are divided by the same factor,
	// so that they stay in the range of a float64.
	rebaseAfter = 10 * demandTime
	// negligibleWeight is the weight, in requests, below which an account without a
	// connection in use is forgotten.
	negligibleWeight = 0.01
	// maxLevels is the number of connections of one account that are told apart.
	maxLevels = 32
	// evictionFactor is how much rarer the use of an idle connection must be for it to
	// be replaced before another account's request has come, so that accounts of about
	// the same demand do not take turns.
	evictionFactor = 2
)

// A demand is how often each account needs a connection, and how many at once. The mean
// time between the uses of an account's nth connection follows from the number of its
// requests that came while n-1 of its connections were in use. Older requests weigh
// less.
type demand struct {
	accounts map[string]*accountDemand
	// base is the time of a request of weight 1. Later requests weigh more instead of
	// earlier ones less, so that weights of different accounts can be compared at any
	// time.
	base time.Time
	// since is the time of the first request.
	since time.Time
}

type accountDemand struct {
	// inUse counts the connections that are in use or being opened.
	inUse int
	// weights has the weight of the requests that found 0, 1, 2, ... connections in
	// use.
	weights []float64
}

func newDemand() *demand { return &demand{accounts: make(map[string]*accountDemand)} }

// record records that an account's request uses a connection from now on.
func (d *demand) record(account string, now time.Time) {
	if d.base.IsZero() {
		d.base, d.since = now, now
	}
	if now.Sub(d.base) > rebaseAfter {
		d.rebase(now)
	}
	a := d.account(account)
	level := min(a.inUse, maxLevels-1)
	for len(a.weights) <= level {
		a.weights = append(a.weights, 0)
	}
	a.weights[level] += d.weightOfRequest(now)
	a.inUse++
}

// use records that a connection of an account is being opened.
func (d *demand) use(account string) { d.account(account).inUse++ }

// release records that a connection of an account is no longer in use.
func (d *demand) release(account string) {
	if a := d.account(account); a.inUse > 0 {
		a.inUse--
	}
}

// weight returns the weight of the uses of an account's connection before which so many
// of its idle connections, itself included, are used.
func (d *demand) weight(account string, idle int) float64 {
	a, ok := d.accounts[account]
	if !ok {
		return 0
	}
	level := a.inUse + idle - 1
	if level >= len(a.weights) {
		return 0
	}
	return a.weights[level]
}

// mostWanted returns the account with the highest weight among those that have no
// connection, in use or idle. Equal ones are ordered by name.
func (d *demand) mostWanted(isIdle map[string]bool) (account string, weight float64, ok bool) {
	for name, a := range d.accounts {
		if a.inUse > 0 || isIdle[name] || len(a.weights) == 0 {
			continue
		}
		if !ok || a.weights[0] > weight || a.weights[0] == weight && name < account {
			account, weight, ok = name, a.weights[0], true
		}
	}
	return account, weight, ok
}

// interval returns the mean time between the uses of a connection with a weight.
func (d *demand) interval(weight float64, now time.Time) time.Duration {
	requests := weight / d.weightOfRequest(now)
	// The requests of the time since the first one, weighed by their age.
	observed := 1 - math.Exp(-float64(now.Sub(d.since))/float64(demandTime))
	if requests <= 0 || observed <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(observed*float64(demandTime)/requests, math.MaxInt64/2))
}

func (d *demand) account(name string) *accountDemand {
	a, ok := d.accounts[name]
	if !ok {
		a = &accountDemand{}
		d.accounts[name] = a
	}
	return a
}

func (d *demand) weightOfRequest(now time.Time) float64 {
	return math.Exp(float64(now.Sub(d.base)) / float64(demandTime))
}

// rebase makes a request of the given time weigh 1 and forgets accounts that have no
// demand any more.
func (d *demand) rebase(now time.Time) {
	factor := 1 / d.weightOfRequest(now)
	d.base = now
	for name, a := range d.accounts {
		total := 0.0
		for level := range a.weights {
			a.weights[level] *= factor
			total += a.weights[level]
		}
		if total < negligibleWeight && a.inUse == 0 {
			delete(d.accounts, name)
		}
	}
}
