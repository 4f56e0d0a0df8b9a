// Package rattantransaction holds the interactive transactions that a daemon
// owns. It runs their statements in order, enforces their limits and ends them.
package rattantransaction

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// randomBytes is the number of random bytes in an ID, enough that an ID cannot be
// guessed.
const randomBytes = 16

// maxIDLength is the longest text in bytes that ParseID accepts.
const maxIDLength = 256

// ErrMalformedID is the error for a text that is not a transaction identifier of any
// daemon.
var ErrMalformedID = errors.New("transaction identifier is malformed")

// An ID identifies a transaction in the fleet and names the daemon that owns it.
type ID struct {
	vm          string
	incarnation uint64
	random      string
}

// NewID returns a new ID of a transaction that the given daemon owns.
func NewID(vm string, incarnation uint64) ID {
	var random [randomBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	return ID{vm: vm, incarnation: incarnation, random: base64.RawURLEncoding.EncodeToString(random[:])}
}

// ParseID parses the text of an ID. The error is ErrMalformedID.
func ParseID(text string) (ID, error) {
	if len(text) > maxIDLength {
		return ID{}, ErrMalformedID
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return ID{}, ErrMalformedID
	}
	fields := strings.Split(string(raw), "/")
	if len(fields) != 3 || fields[0] == "" || fields[2] == "" {
		return ID{}, ErrMalformedID
	}
	incarnation, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return ID{}, ErrMalformedID
	}
	return ID{vm: fields[0], incarnation: incarnation, random: fields[2]}, nil
}

// VM returns the name of the VM whose daemon owns the transaction.
func (id ID) VM() string { return id.vm }

// Incarnation returns the incarnation of the daemon that owns the transaction.
func (id ID) Incarnation() uint64 { return id.incarnation }

// RequestID returns the request identifier of the commit when the caller gives
// none. It is derived from the ID, so that a caller that did not receive the answer
// of the commit can look up its outcome.
func (id ID) RequestID() string { return "tx-" + id.random }

// String returns the text of id that callers get. ParseID is its inverse.
func (id ID) String() string {
	return base64.RawURLEncoding.EncodeToString(fmt.Appendf(nil, "%s/%d/%s", id.vm, id.incarnation, id.random))
}
