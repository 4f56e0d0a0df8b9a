// Package rattanstatement defines the statements of callers, the requests to
// endpoints and their results, independent of any wire format.
package rattanstatement

import "github.com/rattanstream/rattanstream/internal/base/rattanmodel"

// A Kind says what a statement does.
type Kind int

// The kinds of statements. Callers send those up to Deallocate; the others are
// sent by the system itself.
const (
	Begin Kind = iota + 1
	BeginRead
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
	Reset
	Status
	StepDown
)

// An Access says whether a prepared statement reads or writes.
type Access int

// The accesses.
const (
	ReadAccess Access = iota + 1
	WriteAccess
)

// A Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's id of the statement, unique per attempt.
	ID   string
	Kind Kind
	// Text is the statement as received; it is forwarded unchanged.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Access is what the statement prepared by Prepare does.
	Access Access
	// Argument is the value of Set, the shape of Prepare and the item, with
	// data where it writes, of Execute.
	Argument string
}

// A Request is one request to an endpoint.
type Request struct {
	// ID is the caller's id, empty for a statement of the system itself.
	ID   string
	Kind Kind
	// Text is forwarded unchanged; empty when the request is composed of the
	// fields below.
	Text     string
	Name     string
	Access   Access
	Argument string
	// MinPosition is the position that the endpoint must hold; the zero Position
	// asks for none.
	MinPosition rattanmodel.Position
	// Term is the term of StepDown.
	Term uint64
}

// A TransactionStatus is the state of a session after a statement.
type TransactionStatus int

// The states of a session.
const (
	Idle TransactionStatus = iota
	InTransaction
	FailedTransaction
)

// A Result is the complete answer to a request.
type Result struct {
	Rows []string
	// Signature is the endpoint's signature of a success.
	Signature string
	// Code is None on success.
	Code              Code
	Detail            string
	TransactionStatus TransactionStatus
	Position          rattanmodel.Position
}

// OK reports whether the result is a success.
func (r Result) OK() bool { return r.Code == None }

// Refuse returns a failed result.
func Refuse(code Code, detail string) Result {
	return Result{Code: code, Detail: detail}
}

// An EndpointStatus is what an endpoint says of its log.
type EndpointStatus struct {
	IsPrimary bool
	// Term is the newest term that the endpoint knows.
	Term uint64
	// Received is the last position that it has received.
	Received rattanmodel.Position
}
