package rattansql

import "fmt"

// A SyntaxError says where a statement's text is invalid.
type SyntaxError struct {
	// Offset is the byte offset of the unexpected token in the text.
	Offset int
	// Found describes the unexpected token, Wanted what would be accepted.
	Found, Wanted string
}

// Error implements the error interface.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("syntax error in statement at byte %d: found %s, want %s", e.Offset, e.Found, e.Wanted)
}

// A StatementError says why a statement with valid syntax cannot run, such as an
// unknown table or column, a value of the wrong type, or a duplicate primary key.
type StatementError struct{ Message string }

// Error implements the error interface.
func (e *StatementError) Error() string { return e.Message }

func statementErrorf(format string, args ...any) error {
	return &StatementError{Message: fmt.Sprintf(format, args...)}
}

// A BlockedError says that a lock is held by another transaction. The statement
// has changed no rows and may be run again after Released is closed.
type BlockedError struct {
	Lock     string
	Released <-chan struct{}
}

// Error implements the error interface.
func (e *BlockedError) Error() string { return "lock " + e.Lock + " is held by another transaction" }
