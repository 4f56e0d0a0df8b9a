package rattanadapter

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of Conn.Run for a request that has not been sent.
var (
	ErrBusy   = errors.New("connection has a call in progress")
	ErrClosed = errors.New("connection is closed or in an unknown state")
)

// A CrossedAnswerError says that the answer to another call arrived. The state of the
// connection is unknown after it.
type CrossedAnswerError struct {
	Connection string
	// Want and Got are call numbers.
	Want, Got uint64
}

// Error implements the error interface.
func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("connection %s: answer to call %d arrived for call %d", e.Connection, e.Got, e.Want)
}

// A PartialAnswerError says that an answer does not have one result for every
// statement. The state of the connection is unknown after it.
type PartialAnswerError struct {
	Connection string
	// Want and Got are numbers of results.
	Want, Got int
}

// Error implements the error interface.
func (e *PartialAnswerError) Error() string {
	return fmt.Sprintf("connection %s: answer has %d results for %d statements", e.Connection, e.Got, e.Want)
}

// notSentError wraps the error of a request of which no byte was sent.
type notSentError struct {
	err error
}

func (e *notSentError) Error() string { return "not sent: " + e.err.Error() }

func (e *notSentError) Unwrap() error { return e.err }
