package rattanendpoint

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxControlBytes bounds the body of a control request.
const maxControlBytes = 64 << 10

// controlDocument is the JSON of /control. GET returns it; POST changes the fields
// that its body has and returns the result. A body with an unknown field or a value
// of the wrong type gets status 400 and changes nothing. For the fields see
// Controls; durations are in milliseconds, service_us in microseconds.
type controlDocument struct {
	Killed             bool     `json:"killed"`
	Frozen             bool     `json:"frozen"`
	DelayMs            uint32   `json:"delay_ms"`
	LateMs             uint32   `json:"late_ms"`
	LoseAnswers        uint32   `json:"lose_answers"`
	LoseOf             string   `json:"lose_of"`
	CrossAnswers       uint32   `json:"cross_answers"`
	ReplicationLagMs   uint32   `json:"replication_lag_ms"`
	ReplicationStopped bool     `json:"replication_stopped"`
	CutFrom            []string `json:"cut_from"`
	CutTo              []string `json:"cut_to"`
	Recording          bool     `json:"recording"`
	ServiceUs          uint32   `json:"service_us"`
}

func (i *Instance) serveControl(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	document := newControlDocument(i.controls)
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&document); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.setControls(document.controls())
	default:
		http.Error(w, "method not allowed, want GET or POST", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

func newControlDocument(c Controls) controlDocument {
	return controlDocument{
		Killed:             c.Killed,
		Frozen:             c.Frozen,
		DelayMs:            uint32(c.Delay.Milliseconds()),
		LateMs:             uint32(c.Late.Milliseconds()),
		LoseAnswers:        uint32(c.LoseAnswers),
		LoseOf:             c.LoseOf,
		CrossAnswers:       uint32(c.CrossAnswers),
		ReplicationLagMs:   uint32(c.ReplicationLag.Milliseconds()),
		ReplicationStopped: c.ReplicationStopped,
		CutFrom:            c.CutFrom,
		CutTo:              c.CutTo,
		Recording:          c.Recording,
		ServiceUs:          uint32(c.ServiceTime.Microseconds()),
	}
}

func (d controlDocument) controls() Controls {
	return Controls{
		Killed:             d.Killed,
		Frozen:             d.Frozen,
		Delay:              fromMilliseconds(d.DelayMs),
		Late:               fromMilliseconds(d.LateMs),
		LoseAnswers:        int(d.LoseAnswers),
		LoseOf:             d.LoseOf,
		CrossAnswers:       int(d.CrossAnswers),
		ReplicationLag:     fromMilliseconds(d.ReplicationLagMs),
		ReplicationStopped: d.ReplicationStopped,
		CutFrom:            d.CutFrom,
		CutTo:              d.CutTo,
		Recording:          d.Recording,
		ServiceTime:        time.Duration(d.ServiceUs) * time.Microsecond,
	}
}
