package rattanload

import (
	"encoding/json"
	"io"
	"sync"
)

// A traceLine is the trace of one request. Times are in microseconds from the start of
// the run. No field contains the secret key of a client account.
type traceLine struct {
	Account      string  `json:"client_account"`
	Session      string  `json:"session"`
	Kind         kind    `json:"kind"`
	Service      string  `json:"service"`
	URL          string  `json:"url"`
	RequestID    string  `json:"request_id,omitempty"`
	Row          string  `json:"row"`
	Value        string  `json:"value,omitempty"`
	Read         *string `json:"read,omitempty"`
	ArrivalUs    int64   `json:"arrival_us"`
	SentUs       int64   `json:"sent_us"`
	EndUs        int64   `json:"end_us"`
	WithinRate   bool    `json:"within_rate"`
	Served       bool    `json:"served"`
	Endpoint     string  `json:"endpoint,omitempty"`
	FromReplica  bool    `json:"from_replica"`
	AgeMs        uint32  `json:"age_ms"`
	Reason       string  `json:"reason,omitempty"`
	RunState     string  `json:"run_state"`
	RetryAfterMs uint32  `json:"retry_after_ms,omitempty"`
	Message      string  `json:"message,omitempty"`
}

// A tracer writes trace lines and keeps the first error, after which it writes no more.
type tracer struct {
	mutex   sync.Mutex
	encoder *json.Encoder
	err     error
}

// newTracer returns a tracer that writes to w, or nothing when w is nil.
func newTracer(w io.Writer) *tracer {
	if w == nil {
		return &tracer{}
	}
	return &tracer{encoder: json.NewEncoder(w)}
}

func (t *tracer) write(line traceLine) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.encoder != nil && t.err == nil {
		t.err = t.encoder.Encode(line)
	}
}
