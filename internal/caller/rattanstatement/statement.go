// Package rattanstatement defines the statements that callers send, the requests
// to endpoints and the results of both, independent of any wire format.
package rattanstatement

import "github.com/rattanstream/rattanstream/internal/base/rattanmodel"

// A Kind is the kind of a statement.
type Kind int

// The kinds of statements. Callers send the kinds from Begin to Deallocate; only
// the daemon itself sends Reset, Status and StepDown.
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

var kindNames = [...]string{
	"statement", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate",
	"reset", "status", "step_down",
}

// String returns the name that logs use for k.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// An Access says whether a prepared statement reads or writes.
type Access int

// The kinds of access.
const (
	ReadAccess Access = iota + 1
	WriteAccess
)

// A Statement is one statement of a caller.
type Statement struct {
	// ID is the identifier that the caller gave the statement, unique per attempt.
	ID   string
	Kind Kind
	// Text is the statement as received; it is forwarded unchanged.
	Text string
	// Name is the name of a session variable or of a prepared statement.
	Name string
	// Access is the access of the statement that Prepare prepares.
	Access Access
	// Argument depends on Kind: for Set the value of the session variable, for
	// Prepare the statement text, for Execute the item, followed by the data when
	// the prepared statement writes.
	Argument string
	// HasLineBreak is true when the message holds a carriage return or a line feed.
	HasLineBreak bool
}

// A Request is one request to an endpoint.
type Request struct {
	// ID is the identifier that the caller gave the statement, empty for a request
	// of the daemon itself.
	ID   string
	Kind Kind
	// Text is the statement to forward unchanged. When it is empty, the request
	// consists of the fields below.
	Text     string
	Name     string
	Access   Access
	Argument string
	// MinPosition is the minimum position that the endpoint must hold; the zero
	// Position requires none.
	MinPosition rattanmodel.Position
	// Term is the term of a StepDown request.
	Term uint64
	// IsRepeat is true when an earlier attempt of the request has run at an endpoint. It is
	// not sent.
	IsRepeat bool
}

// A TransactionStatus says whether a session has an open transaction and whether
// that transaction has failed.
type TransactionStatus int

// The transaction statuses. Idle means that no transaction is open.
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
	Code   Code
	Detail string
	// IsPartial is true for an answer of an endpoint that says neither success nor error.
	IsPartial         bool
	TransactionStatus TransactionStatus
	Position          rattanmodel.Position
}

// OK reports whether the result is a success.
func (r Result) OK() bool { return r.Code == None }

// Refuse returns the Result of a request that failed with code.
func Refuse(code Code, detail string) Result {
	return Result{Code: code, Detail: detail}
}

// An EndpointStatus is an endpoint's own report of its role and its log.
type EndpointStatus struct {
	IsPrimary bool
	// Term is the newest term that the endpoint knows.
	Term uint64
	// Received is the last position that the endpoint has received.
	Received rattanmodel.Position
	// Connections is how many connections the endpoint counts, that of the request
	// included, or -1 when it does not tell.
	Connections int
}
