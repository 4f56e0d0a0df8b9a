// Package rattankv defines the interface of the key-value store that the daemons
// share: its items, calls and errors, independent of any wire format.
package rattankv

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	// ErrCompacted means that the history after a revision is no longer kept, so
	// that a watch cannot continue from there.
	ErrCompacted = errors.New("the store no longer keeps the history after the revision")
	// ErrLeaseEnded means that a lease has expired or was revoked.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrUnavailable means that the store refused the call; nothing was changed.
	ErrUnavailable = errors.New("the store refused the call")
	// ErrMalformed means that the store's response cannot be decoded.
	ErrMalformed = errors.New("the store's response cannot be decoded")
)

// An Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change.
	Revision int64
	// CreateRevision is the revision at which the key was created.
	CreateRevision int64
	// Lease is the lease that the key is bound to, 0 for none.
	Lease int64
}

// An Event is one change of a key.
type Event struct {
	Item
	Deleted bool
}

// A Page is the result of a read. AsOf is the store's revision at that time.
type Page struct {
	Items []Item
	AsOf  int64
}

// Changes is the result of a watch. The next watch continues after AsOf.
type Changes struct {
	Events []Event
	AsOf   int64
}

// An Expectation is a condition of a transaction: the key must have this
// revision. Revision 0 means that the key must not exist.
type Expectation struct {
	Key      string
	Revision int64
}

// A Txn changes several keys atomically, provided that all its expectations hold.
type Txn struct {
	Expect []Expectation
	Writes []Item
	Remove []string
}

// A ConflictError means that a condition of a transaction did not hold.
type ConflictError struct {
	// Items are the expected keys as they are now; those that do not exist
	// are left out.
	Items []Item
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition of the transaction does not hold (%d of the keys exist)", len(e.Items))
}

// Item returns an expected key as it was when the condition failed.
func (e *ConflictError) Item(key string) (Item, bool) {
	for _, item := range e.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// A Store is the shared store. After an error of a kind not defined in this
// package it is unknown whether the change was made.
type Store interface {
	// Range returns all items whose key begins with prefix. A large result is read
	// in several pages and is then no consistent snapshot.
	Range(ctx context.Context, prefix string) (Page, error)
	// Watch waits, at most for wait, until a key that begins with prefix changes
	// after the given revision. It returns ErrCompacted when the history after that
	// revision is no longer kept.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit runs a transaction and returns its revision. It returns a
	// *ConflictError when a condition does not hold and ErrLeaseEnded when the lease
	// of a written item has ended.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// GrantLease returns a new lease and its time to live.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
	// KeepAlive renews a lease. It returns ErrLeaseEnded when it has ended.
	KeepAlive(ctx context.Context, lease int64) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease int64) error
}
