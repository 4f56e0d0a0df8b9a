package rattankvserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// A UsageReport is a report of usage that the platform has accepted.
type UsageReport struct {
	Window int64             `json:"window_id"`
	Counts map[string]uint64 `json:"counts"`
	Holder string            `json:"-"`
	Token  int64             `json:"-"`
	// At is when the platform accepted it.
	At time.Time `json:"-"`
}

// A UsageMode is what becomes of reports of usage.
type UsageMode int

// The modes: reports are accepted; refused with status 429; accepted, and the answer is
// lost.
const (
	UsageAccepted UsageMode = iota
	UsageRefused
	UsageAnswerLost
)

// SetUsageMode sets what becomes of the next reports of usage.
func (s *Server) SetUsageMode(mode UsageMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usageMode = mode
}

// UsageReports returns the accepted reports in their order, with repeats.
func (s *Server) UsageReports() []UsageReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.usageReports)
}

func (s *Server) serveUsage(w http.ResponseWriter, r *http.Request) {
	report := UsageReport{Holder: r.Header.Get("Duty-Holder")}
	token, tokenErr := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil || tokenErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	report.Token, report.At = token, time.Now()
	s.mu.Lock()
	mode := s.usageMode
	if mode != UsageRefused {
		s.usageReports = append(s.usageReports, report)
	}
	s.mu.Unlock()
	switch mode {
	case UsageRefused:
		w.WriteHeader(http.StatusTooManyRequests)
	case UsageAnswerLost:
		panic(http.ErrAbortHandler)
	default:
		respond(w, http.StatusOK, struct{}{})
	}
}
