package rattanload

import "time"

// A kind is what a request does.
type kind string

const (
	kindRead      kind = "read"
	kindStaleRead kind = "stale_read"
	kindWrite     kind = "write"
)

// A sample is the outcome of one request. Times count from the start of the run.
type sample struct {
	account, service int
	kind             kind
	// arrival is when the request should be sent. Latency counts from it, so a
	// delay of the generator is not left out (coordinated omission).
	arrival, end time.Duration
	// withinRate is true when the client account's rate and burst allow it.
	withinRate bool
	served     bool
	// reason says why the request was not served.
	reason      string
	fromReplica bool
	// wrongValue is true when a read did not return the session's last write.
	wrongValue bool
}

func (s sample) latency() time.Duration { return s.end - s.arrival }
