// Package rattanwork defines the types that pass between the parts which decide how
// requests wait, are refused and are placed at endpoints. It decides nothing.
package rattanwork

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// An Operation is what a request does at an endpoint.
type Operation int

// The operations.
const (
	Read Operation = iota + 1
	Write
	// Transaction is the begin of a transaction with its first statement.
	Transaction
)

// A Kind groups requests that cost about the same at an endpoint.
type Kind struct {
	// Route is the name of the route.
	Route     string
	Operation Operation
}

// A Cost is the time that requests of a kind hold a slot of an endpoint.
type Cost struct {
	Mean, Deviation time.Duration
}

// Priorities is the number of priorities that load reports distinguish. Less urgent
// requests count as the last one.
const Priorities = 4

// PriorityIndex returns the index of a route's priority in a Load.
func PriorityIndex(priority int) int { return min(max(priority, 0), Priorities-1) }

// A Load is what the owner of an endpoint's connections reports of the work there.
type Load struct {
	Endpoint string
	// StartedUnixMS is the start of the endpoint's process. Reports of an earlier
	// process say nothing of this one.
	StartedUnixMS int64
	// Owner is the incarnation of the daemon that made the report. Number rises with
	// each report of an incarnation.
	Owner  string
	Number uint64
	// Wait is the expected wait of a new request, by priority.
	Wait [Priorities]time.Duration
	// Slots is how many statements the endpoint runs at once; FreeSlots of them are
	// free.
	Slots, FreeSlots int
	// FreeConnections is how many connections may still be opened.
	FreeConnections int
	// ServiceTime is the mean time that a statement takes at the endpoint.
	ServiceTime time.Duration
	// FailureShare is the share of failures among the last answers, from 0 to 1.
	FailureShare float64
	// Position is the newest position that the endpoint is known to hold. PositionAge is
	// the time between the answer that last showed it and the report.
	Position    rattanmodel.Position
	PositionAge time.Duration
}

// A Refusal says that a request has not run and when there is expected to be room for
// it.
type Refusal struct {
	// Reason is for the log.
	Reason string
	// RetryAfter is the time after which the caller should come back, zero when that
	// is not known.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (r *Refusal) Error() string { return r.Reason }
