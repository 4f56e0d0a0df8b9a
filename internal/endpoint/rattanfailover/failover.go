// Package rattanfailover detects that the primary of a group has failed and
// promotes another endpoint.
//
// Tracker keeps the statuses that endpoints report, Detector combines the
// suspicions of several monitors, Coordinator fences a majority of the endpoints
// and promotes one, and Monitor runs the three for one group. Safety depends only
// on terms and on the terms that endpoints have promised, never on clocks; clocks
// only decide when a failover is attempted.
package rattanfailover

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// Intervals and time-outs of detection and promotion; see section 6.1 of the
// design.
const (
	// MonitorsPerDomain is the number of daemons in each failure domain that
	// watch a group.
	MonitorsPerDomain = 2
	// ProbeInterval is the time between two probes of a primary.
	ProbeInterval = 200 * time.Millisecond
	// CallTimeout bounds every call to an endpoint.
	CallTimeout = 300 * time.Millisecond

	// missesToSuspect is the number of consecutive failed probes after which a
	// monitor suspects the primary.
	missesToSuspect = 3
	// suspicionRenewInterval is the time between two publications of the same
	// suspicion. One publication may be lost before suspicionTTL expires.
	suspicionRenewInterval = 500 * time.Millisecond
	// suspicionTTL is the time after which a suspicion that was not renewed expires.
	suspicionTTL = 1500 * time.Millisecond
	// heartbeatTimeout is the time since its last heartbeat after which a monitor no
	// longer counts as live.
	heartbeatTimeout = 2 * time.Second
	// rankDelay is the stagger delay between the starts of monitors of successive
	// ranks, so that their coordinators do not compete.
	rankDelay = 150 * time.Millisecond
	// maxPrimaryAge is the longest time for which a primary may be without a
	// majority that follows it. Such a primary still responds to probes but cannot
	// acknowledge writes, so it is treated as failed.
	maxPrimaryAge = time.Second
	// replicaInterval is the time between two probes of the replicas while the
	// primary is known and not suspected.
	replicaInterval = time.Second
	// gracePeriod is how long a coordinator waits for the remaining responses once
	// it has a majority; a late endpoint may have a higher position.
	gracePeriod = 20 * time.Millisecond
	// catchUpTimeout bounds the wait of a planned switchover for its target.
	catchUpTimeout = time.Second
	// higherPromiseTimeout is how long a replica may refuse a healthy primary,
	// because it has promised a higher term, before the primary is promoted to a new
	// term that the replica accepts.
	higherPromiseTimeout = 2 * time.Second
)

// An Endpoint has the calls to one database instance that detection and promotion
// need. An error means that the instance refused the call or that the outcome is
// unknown.
type Endpoint interface {
	Status(ctx context.Context) (*rattanv1.EndpointStatus, error)
	Fence(ctx context.Context, term uint64, coordinator string) (*rattanv1.EndpointStatus, error)
	Promote(ctx context.Context, term uint64, coordinator string, fenced []string) (*rattanv1.EndpointStatus, error)
	WaitPosition(ctx context.Context, position rattanmodel.Position, maxWait time.Duration) (*rattanv1.EndpointStatus, error)
}

// An EndpointLookup returns the endpoint with the given name.
type EndpointLookup func(name string) Endpoint

// A Daemon is a daemon that membership lists as live.
type Daemon struct {
	// Name is the VM's name. Incarnation differs for each start of the process.
	Name          string
	Incarnation   uint64
	FailureDomain string
}
