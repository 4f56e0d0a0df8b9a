// Package rattanfailover finds out that the primary of a group has failed and
// promotes another endpoint.
//
// Tracker keeps what endpoints say of themselves, Detector combines the
// evidence of many monitors, Coordinator fences a majority and promotes, and
// Monitor runs the three for one group. No clock decides about safety: terms
// and promises of the endpoints do. Clocks only decide when to try.
package rattanfailover

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// Figures of detection and promotion; section 6.1 of the design explains them.
const (
	// MonitorsPerDomain is the number of daemons in each failure domain that
	// watch a group.
	MonitorsPerDomain = 2
	// ProbeInterval is the time between two probes of a primary.
	ProbeInterval = 200 * time.Millisecond
	// CallTimeout bounds every call to an endpoint.
	CallTimeout = 300 * time.Millisecond

	// missesToSuspect is the number of missed probes in a row that raise a suspicion.
	missesToSuspect = 3
	// suspicionRenewal is the time between two publications of the same suspicion.
	// It lets one be lost within suspicionLife.
	suspicionRenewal = 500 * time.Millisecond
	// suspicionLife is the time after which a suspicion that was not renewed ends.
	suspicionLife = 1500 * time.Millisecond
	// heardWithin is the time for which a silent monitor still counts.
	heardWithin = 2 * time.Second
	// rankDelay separates the starts of coordinators.
	rankDelay = 150 * time.Millisecond
	// maxPrimaryAge is the longest time for which a primary may have no majority
	// that follows it. Beyond it the primary acknowledges nothing, although it answers.
	maxPrimaryAge = time.Second
	// replicaInterval is the time between two looks at the replicas while all is well.
	replicaInterval = time.Second
	// gracePeriod is how long a majority of answers waits for the others, which
	// may hold a later position.
	gracePeriod = 20 * time.Millisecond
	// catchUpTime bounds the wait of a planned switch for its target.
	catchUpTime = time.Second
	// promisedAheadTime is how long a replica may refuse a healthy primary, because it
	// has promised a higher term, before a new term takes it in again.
	promisedAheadTime = 2 * time.Second
)

// An Endpoint is what detection and promotion ask of one database instance. An
// error means that the instance refused or that the outcome is not known.
type Endpoint interface {
	Status(ctx context.Context) (*rattanv1.EndpointStatus, error)
	Fence(ctx context.Context, term uint64, coordinator string) (*rattanv1.EndpointStatus, error)
	Promote(ctx context.Context, term uint64, coordinator string, fenced []string) (*rattanv1.EndpointStatus, error)
	WaitPosition(ctx context.Context, position rattanmodel.Position, maxWait time.Duration) (*rattanv1.EndpointStatus, error)
}

// EndpointLookup returns the endpoint of that name.
type EndpointLookup func(name string) Endpoint

// A Daemon is a live daemon, as membership knows it.
type Daemon struct {
	// Name is the VM's name. Incarnation differs for each start of the process.
	Name          string
	Incarnation   uint64
	FailureDomain string
}
