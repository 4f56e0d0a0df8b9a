package rattansql

import "fmt"

// A SyntaxError says where a statement's text is not valid.
type SyntaxError struct {
	// Offset is the place in the text, in bytes.
	Offset int
	// Found is what stands there; Wanted is what is accepted.
	Found, Wanted string
}

// Error implements the error interface.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("statement, byte %d: found %s, want %s", e.Offset, e.Found, e.Wanted)
}

// A StatementError says why a valid text cannot run: an unknown table or
// column, a value of the wrong type, or a duplicate primary key.
type StatementError struct{ Message string }

// Error implements the error interface.
func (e *StatementError) Error() string { return e.Message }

func statementErrorf(format string, args ...any) error {
	return &StatementError{Message: fmt.Sprintf(format, args...)}
}

// A BlockedError says that a lock is held by another transaction. The
// statement has had no effect and may be run again after Released is closed.
type BlockedError struct {
	Lock     string
	Released <-chan struct{}
}

// Error implements the error interface.
func (e *BlockedError) Error() string { return "lock " + e.Lock + " is held by another transaction" }
