// Package rattanendpoint is the stand-in for one database instance of a
// replicated group. It serves EndpointService and shares no decision code with
// the daemon.
//
// The role of primary depends on no clock and no lease. A write that an instance
// commits as primary may be lost until a majority of the group holds it in the same
// term; whoever acknowledges the write first calls WaitPosition on a replica.
package rattanendpoint

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// Defaults of Config.
const (
	defaultSlots               = 3
	defaultConnections         = 20
	defaultOpenTime            = 10 * time.Millisecond
	defaultLockTimeout         = time.Second
	defaultTransactionIdle     = 30 * time.Second
	defaultPushInterval        = 20 * time.Millisecond
	defaultStatusQueryInterval = 50 * time.Millisecond
	// peerTimeout bounds a call to another instance. For up to this time after a
	// partition has healed, a call that started before still delays replication.
	peerTimeout = 500 * time.Millisecond
)

// A Config describes an instance. Settings that are zero take their default.
type Config struct {
	Name          string
	Group         string
	FailureDomain string
	// Peers are the names of the other instances of the group.
	Peers []string
	// Dial returns the client of a peer. It is called for every call.
	Dial func(peer string) rattanv1connect.EndpointServiceClient
	// InitialPrimary is the instance that starts the first term of a new group.
	// It is not used when State is set.
	InitialPrimary string
	// State is the durable state of an earlier instance, nil for a new one.
	State *State

	// Slots is the number of statements that run at the same time, default 3.
	Slots int
	// Connections is the connection limit, default 20.
	Connections int
	// OpenTime is the time to open a connection, default 10 ms.
	OpenTime time.Duration
	// ServiceTime is the time that each statement spends in its slot, default 0.
	ServiceTime time.Duration
	// LockTimeout is the longest wait for a row lock, default 1 s.
	LockTimeout time.Duration
	// TransactionIdle is the time without a call after which an open transaction is
	// rolled back and its connection closed, default 30 s.
	TransactionIdle time.Duration
	// PushInterval is the longest time between two pushes to a replica, default 20 ms.
	PushInterval time.Duration
	// StatusQueryInterval is the time between two status queries, from which the age
	// of the data is computed, default 50 ms.
	StatusQueryInterval time.Duration
}

func (c Config) withDefaults() Config {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.Connections = orDefault(c.Connections, defaultConnections)
	c.OpenTime = orDefault(c.OpenTime, defaultOpenTime)
	c.LockTimeout = orDefault(c.LockTimeout, defaultLockTimeout)
	c.TransactionIdle = orDefault(c.TransactionIdle, defaultTransactionIdle)
	c.PushInterval = orDefault(c.PushInterval, defaultPushInterval)
	c.StatusQueryInterval = orDefault(c.StatusQueryInterval, defaultStatusQueryInterval)
	return c
}

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// majority returns the number of instances that make a majority of the group.
func (c Config) majority() int {
	return (len(c.Peers)+1)/2 + 1
}
