package rattanload

import "time"

// A kind says whether a request reads, reads data that may be stale, or writes.
type kind string

const (
	kindRead      kind = "read"
	kindStaleRead kind = "stale_read"
	kindWrite     kind = "write"
)

// A sample is the result of one request. Times count from the start of the run.
type sample struct {
	account, service int
	kind             kind
	// arrival is when the request should have been sent. Latency counts from it, so
	// that it includes delays of the generator (no coordinated omission).
	arrival, end time.Duration
	// withinRate is true when the client account's rate and burst allow the request.
	withinRate bool
	served     bool
	// reason says why the request was not served.
	reason      string
	fromReplica bool
	// wrongValue is true when a read did not return the session's last write.
	wrongValue bool
}

func (s sample) latency() time.Duration { return s.end - s.arrival }
