package rattanchecker

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
)

// maxLineBytes is the maximum length of one line of a trace.
const maxLineBytes = 1 << 20

// eventWire is the JSON form of an Event, one per line of a trace.
type eventWire struct {
	Type          Type    `json:"type"`
	AtUS          int64   `json:"at_us"`
	UntilUS       int64   `json:"until_us,omitempty"`
	ID            string  `json:"id,omitempty"`
	Session       string  `json:"session,omitempty"`
	Daemon        string  `json:"daemon,omitempty"`
	KeyID         string  `json:"key_id,omitempty"`
	ClientAccount string  `json:"client_account,omitempty"`
	Open          bool    `json:"open,omitempty"`
	Operation     string  `json:"operation,omitempty"`
	Key           string  `json:"key,omitempty"`
	Value         string  `json:"value,omitempty"`
	Idempotent    bool    `json:"idempotent,omitempty"`
	Group         string  `json:"group,omitempty"`
	Term          uint64  `json:"term,omitempty"`
	Outcome       string  `json:"outcome,omitempty"`
	Whole         bool    `json:"whole,omitempty"`
	Endpoint      string  `json:"endpoint,omitempty"`
	FailureDomain string  `json:"failure_domain,omitempty"`
	RunState      string  `json:"run_state,omitempty"`
	Reason        string  `json:"reason,omitempty"`
	Connection    string  `json:"connection,omitempty"`
	Transaction   string  `json:"transaction,omitempty"`
	Step          string  `json:"step,omitempty"`
	KeySeen       bool    `json:"key_seen,omitempty"`
	Action        string  `json:"action,omitempty"`
	Target        string  `json:"target,omitempty"`
	Rate          float64 `json:"rate,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	Revision      uint64  `json:"revision,omitempty"`
}

// ReadTrace reads a trace. An error names the first line that is not a valid event.
func ReadTrace(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var events []Event
	for line := 1; scanner.Scan(); line++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		event, err := parseEvent(scanner.Bytes())
		if err != nil {
			return nil, errors.Wrapf(err, "trace line %d", line)
		}
		event.Line = line
		events = append(events, event)
	}
	return events, errors.Wrap(scanner.Err(), "read trace")
}

func parseEvent(line []byte) (Event, error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	var w eventWire
	if err := decoder.Decode(&w); err != nil {
		return Event{}, err
	}
	switch w.Type {
	case Request, Response, Execution, Term, Operator, InForce, Daemon, Fault:
	default:
		return Event{}, errors.Errorf("unknown event type %q", w.Type)
	}
	state, err := parseRunState(w.RunState)
	if err != nil {
		return Event{}, err
	}
	return Event{
		Type:  w.Type,
		At:    time.Duration(w.AtUS) * time.Microsecond,
		Until: time.Duration(w.UntilUS) * time.Microsecond,
		ID:    w.ID, Session: w.Session, Daemon: w.Daemon, KeyID: w.KeyID,
		ClientAccount: w.ClientAccount, Open: w.Open, Operation: w.Operation,
		Key: w.Key, Value: w.Value, Idempotent: w.Idempotent, Group: w.Group, Term: w.Term,
		Outcome: w.Outcome, Whole: w.Whole, Endpoint: w.Endpoint, FailureDomain: w.FailureDomain,
		RunState: state, Reason: w.Reason,
		Connection: w.Connection, Transaction: w.Transaction, Step: w.Step, KeySeen: w.KeySeen,
		Action: w.Action, Target: w.Target, Rate: w.Rate, Burst: w.Burst, Revision: w.Revision,
	}, nil
}

func parseRunState(name string) (rattanerr.RunState, error) {
	for _, state := range []rattanerr.RunState{rattanerr.Unknown, rattanerr.NotRun, rattanerr.Ran} {
		if name == state.String() {
			return state, nil
		}
	}
	if name == "" {
		return rattanerr.Unknown, nil
	}
	return rattanerr.Unknown, errors.Errorf("unknown run state %q, accepted are unknown, not_run and ran", name)
}

// A Writer writes events as lines of a trace. It is safe for concurrent use.
type Writer struct {
	mutex   sync.Mutex
	buffer  *bufio.Writer
	encoder *json.Encoder
}

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer {
	buffer := bufio.NewWriter(w)
	return &Writer{buffer: buffer, encoder: json.NewEncoder(buffer)}
}

// Write writes one event. Line is not written, since it follows from the position
// in the trace.
func (w *Writer) Write(e Event) error {
	state := ""
	if e.Outcome == Refused {
		state = e.RunState.String()
	}
	line := eventWire{
		Type:    e.Type,
		AtUS:    e.At.Microseconds(),
		UntilUS: e.Until.Microseconds(),
		ID:      e.ID, Session: e.Session, Daemon: e.Daemon, KeyID: e.KeyID,
		ClientAccount: e.ClientAccount, Open: e.Open, Operation: e.Operation,
		Key: e.Key, Value: e.Value, Idempotent: e.Idempotent, Group: e.Group, Term: e.Term,
		Outcome: e.Outcome, Whole: e.Whole, Endpoint: e.Endpoint, FailureDomain: e.FailureDomain,
		RunState: state, Reason: e.Reason,
		Connection: e.Connection, Transaction: e.Transaction, Step: e.Step, KeySeen: e.KeySeen,
		Action: e.Action, Target: e.Target, Rate: e.Rate, Burst: e.Burst, Revision: e.Revision,
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return errors.Wrap(w.encoder.Encode(line), "write trace")
}

// Flush writes buffered events to the underlying writer.
func (w *Writer) Flush() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return errors.Wrap(w.buffer.Flush(), "write trace")
}
