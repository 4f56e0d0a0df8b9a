// Package rattanchecker checks a recorded trace for violations of the guarantees
// P1 to P14. It uses only what is visible from outside the daemons: requests,
// responses, executions on endpoints, operators' changes, daemon starts and stops,
// and faults.
package rattanchecker

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
)

// A Type is the kind of an Event.
type Type string

// The event types, with the fields that each uses besides At.
const (
	// Request: a caller sends a request. ID, Session, Daemon, KeyID,
	// ClientAccount, Open, Operation, Key, Value, Idempotent, Group.
	Request Type = "request"
	// Response: the caller has received the final response. ID, Outcome; when OK: Key and
	// Value as returned, Whole, Endpoint, FailureDomain, Group, Term; when
	// refused: RunState, Reason.
	Response Type = "response"
	// Execution: an endpoint has run a statement and has committed it unless it
	// belongs to an open transaction. ID, Endpoint, FailureDomain,
	// ClientAccount, Connection, Transaction, Step, KeySeen.
	Execution Type = "execution"
	// Term: a primary begins a term. Group, Term, Endpoint.
	Term Type = "term"
	// Operator: an operator's change was accepted. Action, Target, and depending on
	// the action ClientAccount, Rate, Burst, Revision.
	Operator Type = "operator"
	// InForce: a revision of a document comes into force on a daemon. Daemon,
	// Target (the document), Revision.
	InForce Type = "in_force"
	// Daemon: a daemon starts or ends. Daemon, Action: start, stop_begin (a
	// planned stop), stop_end, crash.
	Daemon Type = "daemon"
	// Fault: a fault of Target (a daemon, endpoint or failure domain) lasts
	// from At to Until. Time limits of guarantees that it overlaps start again at
	// its end.
	Fault Type = "fault"
)

// Actions of Operator and Daemon events.
const (
	GiveKey        = "give_key"
	WithdrawKey    = "withdraw_key"
	DrainDomain    = "drain_domain"
	ReturnDomain   = "return_domain"
	DrainEndpoint  = "drain_endpoint"
	ReturnEndpoint = "return_endpoint"
	SetRate        = "set_rate"
	Apply          = "apply"
	Start          = "start"
	StopBegin      = "stop_begin"
	StopEnd        = "stop_end"
	Crash          = "crash"
)

// Operations of a Request.
const (
	// Write sets Key to Value; values are unique in a trace.
	Write = "write"
	// Read returns the value of Key.
	Read = "read"
	// Add adds 1 to the counter Key.
	Add = "add"
	// Audit reads Key from the current primary after all of its acknowledged
	// writes; its response is checked for linearizability.
	Audit = "audit"
	// Other is any other request, such as a statement of a transaction.
	Other = "other"
)

// Outcomes of a Response.
const (
	// OK means that the request succeeded.
	OK = "ok"
	// Refused means that the request was refused, with a run state.
	Refused = "refused"
	// Lost means that the connection ended or the caller timed out before a
	// response.
	Lost = "lost"
)

// Steps of an Execution; they equal TransactionStep on the wire.
const (
	Single   = "single"
	Begin    = "begin"
	Continue = "continue"
	Commit   = "commit"
	Rollback = "rollback"
)

// An Event is one line of a trace. Which fields are valid depends on Type.
type Event struct {
	Type Type
	// At is the time since the trace began. All events use the same clock.
	At time.Duration
	// Until is the end of a fault.
	Until time.Duration
	// Line is the number of the event in the trace, counted from 1.
	Line int

	ID            string
	Session       string
	Daemon        string
	KeyID         string
	ClientAccount string
	Open          bool
	Operation     string
	Key           string
	Value         string
	Idempotent    bool
	Group         string
	Term          uint64

	Outcome       string
	Whole         bool
	Endpoint      string
	FailureDomain string
	RunState      rattanerr.RunState
	Reason        string

	Connection  string
	Transaction string
	Step        string
	// KeySeen is true if the endpoint received a caller's key.
	KeySeen bool

	Action   string
	Target   string
	Rate     float64
	Burst    float64
	Revision uint64
}
