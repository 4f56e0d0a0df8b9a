// Package rattankv defines the key-value store that the daemons share: what it
// holds, its calls and its errors, independent of any wire format.
package rattankv

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrCompacted says that the history after a revision is no longer kept.
	ErrCompacted = errors.New("the store no longer keeps the history after the revision")
	// ErrLeaseEnded says that a lease has expired or was revoked.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrUnavailable says that the store refused the call; nothing was done.
	ErrUnavailable = errors.New("the store refused the call")
	// ErrMalformed says that the store's answer cannot be read.
	ErrMalformed = errors.New("the store's answer cannot be read")
)

// An Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change.
	Revision int64
	// CreateRevision is the revision at which the key came into being.
	CreateRevision int64
	// Lease is the lease that the key is bound to, 0 for none.
	Lease int64
}

// An Event is one change of a key.
type Event struct {
	Item
	Deleted bool
}

// A Page is the result of a read with the revision of the store at that time.
type Page struct {
	Items []Item
	AsOf  int64
}

// A Changes is the result of a watch. The next watch continues after AsOf.
type Changes struct {
	Events []Event
	AsOf   int64
}

// An Expectation is a condition of a transaction; revision 0 means that the
// key does not exist.
type Expectation struct {
	Key      string
	Revision int64
}

// A Txn is a change of several keys under conditions, all or nothing.
type Txn struct {
	Expect []Expectation
	Writes []Item
	Remove []string
}

// A ConflictError says that a condition of a transaction did not hold.
type ConflictError struct {
	// Items are the expected keys as they are now; those that do not exist
	// are left out.
	Items []Item
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition of the transaction does not hold (%d of the keys exist)", len(e.Items))
}

// Item returns the present state of a key.
func (e *ConflictError) Item(key string) (Item, bool) {
	for _, item := range e.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// A Store is the shared store. An error other than those above leaves open
// whether a change was made.
type Store interface {
	// Range returns all items whose key begins with prefix. Pages of a large
	// result are no snapshot.
	Range(ctx context.Context, prefix string) (Page, error)
	// Watch waits until a key that begins with prefix changes after a
	// revision, at most wait. It returns ErrCompacted when the history is lost.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit makes a change and returns its revision. It returns a
	// *ConflictError when a condition does not hold and ErrLeaseEnded when a
	// lease has ended.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// GrantLease returns a new lease and its time to live.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
	// KeepAlive renews a lease. It returns ErrLeaseEnded when it has ended.
	KeepAlive(ctx context.Context, lease int64) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease int64) error
}
