package rattanservice

import (
	"context"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattantransaction"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An Identity is what a key proves.
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

// A Route is a route of a service as the settings in force declare it.
type Route struct {
	// Service and Group are full names.
	Service string
	Group   string
	// Open routes run without a key for ClientAccount.
	Open          bool
	ClientAccount string
	// MaxAge is the accepted age of data on reads; 0 means session consistency.
	MaxAge time.Duration
	// AcknowledgeMajority demands that a write is held by a majority of the group.
	AcknowledgeMajority bool
}

// A Catalog looks names up in the settings in force.
type Catalog interface {
	// Route finds a route. clientAccount resolves a local service name and is
	// empty on a call without a key. ok is false when there is none.
	Route(clientAccount, service, route string) (found Route, ok bool)
	// MayUse reports whether the client account may use the service.
	MayUse(clientAccount, service string) bool
	// Weight returns the client account's weight in fair queues.
	Weight(clientAccount string) int64
}

// An Admitter spends a client account's share. Its errors are *rattanerr.Refusal.
type Admitter interface {
	Admit(ctx context.Context, clientAccount string) error
}

// A ReadRequest is a read outside a transaction.
type ReadRequest struct {
	Group         string
	ClientAccount string
	Weight        int64
	Statement     *rattanv1.Statement
	// MinPosition is the position that the read must have reached.
	MinPosition rattanmodel.Position
	MaxAge      time.Duration
}

// A WriteRequest is one or more statements that run in one transaction at most once
// for the request identifier.
type WriteRequest struct {
	Group               string
	ClientAccount       string
	Weight              int64
	RequestID           string
	Statements          []*rattanv1.Statement
	AcknowledgeMajority bool
}

// An Answer is the whole answer to a Read or Write.
type Answer struct {
	Results     []*rattanv1.Result
	Position    rattanmodel.Position
	Endpoint    string
	FromReplica bool
	Age         time.Duration
	Repeated    bool
}

// An Outcome says what became of a request identifier.
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
	// OpenTransaction begins a transaction on the primary; write names the
	// group and client account, its statements are not looked at.
	OpenTransaction(ctx context.Context, write WriteRequest, need rattanmodel.Position) (rattantransaction.Connection, error)
}

// A Forwarder takes a call of a transaction to the daemon that owns it. Its
// errors are *rattanerr.Refusal.
type Forwarder interface {
	Forward(ctx context.Context, vm string, request *rattanv1.ForwardRequest) (*rattanv1.ForwardResponse, error)
}

// Sessions seals and opens session tokens. Its errors are *rattanerr.Refusal.
type Sessions interface {
	// Open returns the session of the tokens: a caller with concurrent requests
	// holds a token of each answer.
	Open(tokens []string, clientAccount string) (Session, error)
}

// A Session is an opened session token.
type Session interface {
	// Position returns the position that the session has reached in a group.
	Position(group string) rattanmodel.Position
	// Advance merges a position of a group by maximum.
	Advance(group string, position rattanmodel.Position)
	Seal() string
}
