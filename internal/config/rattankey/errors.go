package rattankey

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrUnauthenticated tells that a key is missing, malformed, unknown or has a
// wrong secret. It does not tell which, nor repeat the key.
var ErrUnauthenticated = errors.New("key is missing or not valid")

// A WithdrawnError tells that a key was withdrawn. It is the cause of the
// contexts that the withdrawal cancels.
type WithdrawnError struct {
	// KeyID identifies the key without its secret.
	KeyID string
}

// Error implements the error interface.
func (e *WithdrawnError) Error() string { return fmt.Sprintf("key %s was withdrawn", e.KeyID) }

// A NotFreshError tells that the daemon's knowledge of withdrawals is too old
// to accept keys.
type NotFreshError struct {
	// Age is the age of the knowledge; it is not set when IsKnown is false.
	Age     time.Duration
	IsKnown bool
	// Limit is key_freshness of the policy.
	Limit time.Duration
}

// Error implements the error interface.
func (e *NotFreshError) Error() string {
	if !e.IsKnown {
		return "daemon has not heard of withdrawals since its start"
	}
	return fmt.Sprintf("daemon's knowledge of withdrawals is %s old; accepted: at most %s", e.Age, e.Limit)
}
