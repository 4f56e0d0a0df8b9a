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
	// ErrEraEnded means that the store was restored from an older copy during the
	// call: what the response says holds no longer, and a change may be lost.
	ErrEraEnded = errors.New("the store was restored from an older copy during the call")
)

// An Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change.
	Revision Revision
	// CreateRevision is the revision at which the key was created.
	CreateRevision Revision
	// Lease is the lease that the key is bound to, zero for none.
	Lease Lease
}

// An Event is one change of a key.
type Event struct {
	Item
	Deleted bool
}

// A Page is the result of a read. AsOf is the store's revision at that time.
type Page struct {
	Items []Item
	AsOf  Revision
}

// Changes is the result of a watch. The next watch continues after AsOf.
type Changes struct {
	Events []Event
	AsOf   Revision
}

// An Expectation is a condition of a transaction: the key must have this
// revision. Revision 0 means that the key must not exist. A revision of an era that has
// ended never matches.
type Expectation struct {
	Key      string
	Revision Revision
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
	// revision is no longer kept, or its era has ended.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit runs a transaction and returns its revision. It returns a
	// *ConflictError when a condition does not hold and ErrLeaseEnded when the lease
	// of a written item has ended.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// GrantLease returns a new lease and its time to live.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// KeepAlive renews a lease. It returns ErrLeaseEnded when it, or its era, has ended.
	KeepAlive(ctx context.Context, lease Lease) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease Lease) error
}
