package rattanservice

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattantransaction"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An Identity is the identity that a key authenticates. KeyID is empty for a request
// that runs on an open route for the client account of the route.
type Identity struct {
	KeyID         string
	ClientAccount string
}

// A Keyring authenticates keys. Its errors are *rattanerr.Refusal.
type Keyring interface {
	Authenticate(key string) (Identity, error)
	// Track returns a context that ends, with a *rattanerr.Refusal as its cause,
	// when the key is withdrawn.
	Track(ctx context.Context, keyID string) (context.Context, context.CancelFunc)
}

// A Route is a route of a service, as defined in the settings in force.
type Route struct {
	// Service and Group are full names.
	Service string
	Group   string
	// Open is true when requests need no key. Those without one run for
	// ClientAccount.
	Open          bool
	ClientAccount string
	// MaxAge is the greatest age of the data that reads accept; 0 means session
	// consistency.
	MaxAge time.Duration
	// AcknowledgeMajority is true when a write is acknowledged only once a
	// majority of the group's endpoints holds it.
	AcknowledgeMajority bool
}

// A Catalog looks up names in the settings in force.
type Catalog interface {
	// Route returns the route of a service. A local service name is resolved for
	// clientAccount, which is empty on a call without a key. ok is false when no
	// such route exists.
	Route(clientAccount, service, route string) (found Route, ok bool)
	// MayUse reports whether the client account may use the service.
	MayUse(clientAccount, service string) bool
	// Weight returns the client account's weight in the admission queues.
	Weight(clientAccount string) int64
}

// An Admitter counts requests against the rate share of their client account. Its
// errors are *rattanerr.Refusal.
type Admitter interface {
	Admit(ctx context.Context, clientAccount string) error
}

// A ReadRequest is a read outside a transaction.
type ReadRequest struct {
	Group         string
	ClientAccount string
	Weight        int64
	Statement     *rattanv1.Statement
	// MinPosition is the minimum position that the endpoint must hold.
	MinPosition rattanmodel.Position
	// MaxAge is the MaxAge of the route.
	MaxAge time.Duration
}

// A WriteRequest is one or more statements that run together in one transaction. It
// runs at most once per RequestID.
type WriteRequest struct {
	Group               string
	ClientAccount       string
	Weight              int64
	RequestID           string
	Statements          []*rattanv1.Statement
	AcknowledgeMajority bool
}

// An Answer is the complete answer to a ReadRequest or a WriteRequest.
type Answer struct {
	Results     []*rattanv1.Result
	Position    rattanmodel.Position
	Endpoint    string
	FromReplica bool
	Age         time.Duration
	// Repeated is true when the write had run before under the same request
	// identifier and Results are those of that run.
	Repeated bool
}

// An Outcome says whether the write with a request identifier has run, and with
// which results.
type Outcome struct {
	State    rattanv1.RunState
	Results  []*rattanv1.Result
	Position rattanmodel.Position
}

// An Executor runs statements on groups. Its errors are *rattanerr.Refusal.
type Executor interface {
	Read(ctx context.Context, read ReadRequest) (Answer, error)
	Write(ctx context.Context, write WriteRequest) (Answer, error)
	FindOutcome(ctx context.Context, group, clientAccount, requestID string) (Outcome, error)
	// OpenTransaction begins a transaction on the primary, which must hold
	// minPosition. write gives the group and the client account; its statements
	// are ignored.
	OpenTransaction(ctx context.Context, write WriteRequest, minPosition rattanmodel.Position) (rattantransaction.Connection, error)
}

// A Forwarder sends a call of a transaction to the daemon that owns the
// transaction, on the given VM. Its errors are *rattanerr.Refusal.
type Forwarder interface {
	Forward(ctx context.Context, vm string, request *rattanv1.ForwardRequest) (*rattanv1.ForwardResponse, error)
}

// Sessions opens session tokens. Its errors are *rattanerr.Refusal.
type Sessions interface {
	// Open returns the session that merges all tokens. A caller with concurrent
	// requests has one token from each of their answers.
	Open(tokens []string, clientAccount string) (Session, error)
}

// A Session is an opened session token.
type Session interface {
	// Position returns the position that the session has reached in a group.
	Position(group string) rattanmodel.Position
	// Advance raises the session's position in a group to at least position.
	Advance(group string, position rattanmodel.Position)
	// Seal returns the session token to send to the caller.
	Seal() string
}
