package rattanload

import (
	"math/rand/v2"
	"time"
)

// An arrival is a request that will be sent. All its random choices are drawn before it
// is sent, so that they do not depend on responses.
type arrival struct {
	account, service int
	kind             kind
	at               time.Duration
	withinRate       bool
	// session, daemon and roam are random numbers in [0, 1). They choose the session and
	// the daemon, and decide whether the session moves to another daemon.
	session, daemon, roam float64
}

func newArrival(config Config, random *rand.Rand, account int, at time.Duration) arrival {
	a := arrival{
		account: account,
		service: random.IntN(len(config.Services)),
		kind:    kindWrite,
		at:      at,
		session: random.Float64(),
		daemon:  random.Float64(),
		roam:    random.Float64(),
	}
	reads, stale := random.Float64() < config.ReadShare, random.Float64() < config.StaleShare
	switch {
	case reads && stale && config.StaleRoute != "":
		a.kind = kindStaleRead
	case reads:
		a.kind = kindRead
	}
	return a
}

func (a arrival) sample() sample {
	return sample{account: a.account, service: a.service, kind: a.kind, arrival: a.at, withinRate: a.withinRate}
}
