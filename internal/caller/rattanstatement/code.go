package rattanstatement

// A Code is the reason why a statement failed.
type Code int

// The codes. None means success.
const (
	None Code = iota
	Busy
	Behind
	ReadOnly
	WrongEndpoint
	TooManyConnections
	Failed
	UnknownPrepared
	Timeout
	Unauthenticated
	UnknownDatabase
	TooLarge
	Malformed
	Aborted
	InDoubt
)

var codeNames = [...]string{
	"none", "busy", "behind", "read_only", "wrong_endpoint", "too_many_connections", "failed",
	"unknown_prepared", "timeout", "unauthenticated", "unknown_database", "too_large", "malformed",
	"aborted", "in_doubt",
}

// String returns the name that logs and metrics use for c.
func (c Code) String() string {
	if c < 0 || int(c) >= len(codeNames) {
		return "unknown"
	}
	return codeNames[c]
}

// NotRun reports whether c guarantees that the endpoint did not run the request.
// For any other code the request may have run.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Behind, ReadOnly, WrongEndpoint, TooManyConnections, UnknownPrepared:
		return true
	default:
		return false
	}
}
