// Package rattanendpoint is the stand-in for one database instance of a
// replicated group. It serves EndpointService and shares no decision code with
// the daemon.
//
// An instance trusts no clock and holds no lease. A write that it commits as
// primary may be lost until a majority of the group holds it in the same term;
// whoever acknowledges the write asks a replica with WaitPosition first.
package rattanendpoint

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// Default figures of an instance.
const (
	defaultSlots            = 3
	defaultConnections      = 20
	defaultOpenTime         = 10 * time.Millisecond
	defaultLockTimeout      = time.Second
	defaultTransactionIdle  = 30 * time.Second
	defaultPushInterval     = 20 * time.Millisecond
	defaultQuestionInterval = 50 * time.Millisecond
	// peerTimeout bounds a call to another instance. It decides how long a
	// healed partition still delays replication.
	peerTimeout = 500 * time.Millisecond
)

// A Config describes an instance. Zero figures take the defaults.
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
	// TransactionIdle is the time without a call after which an open
	// transaction is rolled back, default 30 s.
	TransactionIdle time.Duration
	// PushInterval is the longest time between two pushes to a replica, default 20 ms.
	PushInterval time.Duration
	// QuestionInterval is the time between two measurements of the age, default 50 ms.
	QuestionInterval time.Duration
}

func (c Config) withDefaults() Config {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.Connections = orDefault(c.Connections, defaultConnections)
	c.OpenTime = orDefault(c.OpenTime, defaultOpenTime)
	c.LockTimeout = orDefault(c.LockTimeout, defaultLockTimeout)
	c.TransactionIdle = orDefault(c.TransactionIdle, defaultTransactionIdle)
	c.PushInterval = orDefault(c.PushInterval, defaultPushInterval)
	c.QuestionInterval = orDefault(c.QuestionInterval, defaultQuestionInterval)
	return c
}

func orDefault[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

// majority returns the number of instances that make a majority of the group.
func (c Config) majority() int {
	return (len(c.Peers)+1)/2 + 1
}
