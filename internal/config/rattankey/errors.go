package rattankey

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrUnauthenticated means that a key is missing, malformed, unknown or has a
// wrong secret. The text neither says which nor repeats the key.
var ErrUnauthenticated = errors.New("key is missing or not valid")

// A WithdrawnError means that a key was withdrawn. It is also the cause
// (context.Cause) of the contexts that the withdrawal cancels.
type WithdrawnError struct {
	// KeyID identifies the key without its secret.
	KeyID string
}

// Error implements the error interface.
func (e *WithdrawnError) Error() string { return fmt.Sprintf("key %s was withdrawn", e.KeyID) }

// A NotFreshError means that the daemon's list of withdrawn keys is too old, so
// that it may not accept keys.
type NotFreshError struct {
	// Age is the age of the list; it is not set when IsKnown is false.
	Age     time.Duration
	IsKnown bool
	// Limit is key_freshness of the policy.
	Limit time.Duration
}

// Error implements the error interface.
func (e *NotFreshError) Error() string {
	if !e.IsKnown {
		return "daemon has not synced its list of withdrawn keys since its start"
	}
	return fmt.Sprintf("daemon's list of withdrawn keys is %s old; accepted: at most %s", e.Age, e.Limit)
}
