package rattanowner

import "time"

const (
	// handoverTime is how long a registered daemon that is no longer the owner takes to
	// see that and to close its connections.
	handoverTime = 500 * time.Millisecond
	// unregisteredAfter is the least time between the last sign of a daemon and the end
	// of its registration: the time to live of its lease less the interval of renewals.
	unregisteredAfter = 1 * time.Second
	// takeoverTime is how long after the end of a daemon's registration an endpoint may
	// still count its connections.
	takeoverTime = DarkConnectionTime - unregisteredAfter
)

// Tenures tell for each endpoint whether its owner may use all of the owner's connections
// or has to leave room for those of the owner before it. The zero value knows no owner.
type Tenures struct {
	byEndpoint map[string]tenure
}

type tenure struct {
	owner string
	// settledAt is when the endpoint no longer counts the connections of former owners.
	settledAt time.Time
}

// Observe records the owner of an endpoint and reports whether the endpoint no longer
// counts connections of former owners. IsRegistered reports whether a VM's daemon is
// live. While the endpoint does not answer, that is not known: a former owner may be cut
// off together with it.
func (t *Tenures) Observe(endpoint, owner string, answers bool, isRegistered func(vm string) bool, now time.Time) bool {
	known, ok := t.byEndpoint[endpoint]
	settledAt := known.settledAt
	switch {
	case !ok:
		settledAt = now.Add(DarkConnectionTime)
	case known.owner != owner && isRegistered(known.owner):
		settledAt = latest(settledAt, now.Add(handoverTime))
	case known.owner != owner:
		settledAt = latest(settledAt, now.Add(takeoverTime))
	case !answers && now.Before(settledAt):
		settledAt = now.Add(DarkConnectionTime)
	}
	if t.byEndpoint == nil {
		t.byEndpoint = make(map[string]tenure)
	}
	t.byEndpoint[endpoint] = tenure{owner: owner, settledAt: settledAt}
	return !now.Before(settledAt)
}

// Settle records that the endpoint has room for all connections of its owner.
func (t *Tenures) Settle(endpoint, owner string, now time.Time) {
	if known, ok := t.byEndpoint[endpoint]; ok && known.owner == owner {
		t.byEndpoint[endpoint] = tenure{owner: owner, settledAt: now}
	}
}

// Forget drops what is known of an endpoint.
func (t *Tenures) Forget(endpoint string) { delete(t.byEndpoint, endpoint) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
