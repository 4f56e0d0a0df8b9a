package rattansoak

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

const (
	// stopWindow is how long after a SIGTERM a daemon owes answers, also if it has started
	// again.
	stopWindow = stopTimeout + time.Second
	// calmTime is how long before a statement no unplanned trouble may have lasted.
	calmTime = 4 * time.Second
	// lossSlack is how long a daemon may have had a statement that it drops unsent.
	lossSlack = 200 * time.Millisecond
	// selfEnd is the message that is added to the log of a daemon that ended without a signal
	// to do so.
	selfEnd = "process_ended_by_itself"
)

// An exchange is a statement that a caller has sent whole, until its answer or the end of
// the connection.
type exchange struct {
	daemon, id, text string
	sent, ended      time.Time
	err              error
}

// A journal records what the check of the answers needs to know of a run. Its zero value is
// an empty journal.
type journal struct {
	mu       sync.Mutex
	troubles []interval
	// stops are the times of the SIGTERMs by daemon.
	stops map[string][]time.Time
	// unanswered are the exchanges without a whole answer.
	unanswered []exchange
	// inDoubt counts the answers, without unplanned trouble, that the outcome is unknown.
	inDoubt int
}

// recordTrouble records unplanned trouble that lasts until the returned function is called.
func (j *journal) recordTrouble() (over func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	at := len(j.troubles)
	j.troubles = append(j.troubles, interval{start: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.troubles[at].end = time.Now()
	}
}

func (j *journal) recordStop(daemon string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.stops == nil {
		j.stops = make(map[string][]time.Time)
	}
	j.stops[daemon] = append(j.stops[daemon], time.Now())
}

func (j *journal) recordExchange(e exchange, got answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.err != nil {
		j.unanswered = append(j.unanswered, e)
	} else if got.code() == "INDOUBT" && !j.hadTrouble(e.sent.Add(-calmTime), e.ended) {
		j.inDoubt++
	}
}

// hadTrouble reports whether there was unplanned trouble between two times. A daemon may
// send through each other one to each endpoint, so trouble anywhere counts.
func (j *journal) hadTrouble(from, to time.Time) bool {
	for _, trouble := range j.troubles {
		if !trouble.start.After(to) && (trouble.end.IsZero() || !trouble.end.Before(from)) {
			return true
		}
	}
	return false
}

// stopsBefore returns the SIGTERMs because of which a daemon owes the answer of an exchange
// (LOST). The rule excuses unplanned trouble, and an exchange that reached the timeout of its
// route; work in the last sixth of a stop is excused only for longer timeouts.
func (j *journal) stopsBefore(e exchange) []time.Time {
	if j.hadTrouble(e.sent.Add(-calmTime), e.ended) || e.ended.Sub(e.sent) >= routeTimeout {
		return nil
	}
	var stops []time.Time
	for _, stop := range j.stops[e.daemon] {
		if after := e.ended.Sub(stop); after >= 0 && after <= stopWindow {
			stops = append(stops, stop)
		}
	}
	return stops
}

// checkAnswers reports statements without the whole answer that a daemon owed, if they have
// reached an endpoint or the daemon had them for long.
func (r *run) checkAnswers() {
	j := &r.fleet.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	r.result.PlannedInDoubt = j.inDoubt
	for _, e := range j.unanswered {
		stops := j.stopsBefore(e)
		if len(stops) == 0 {
			continue
		}
		r.result.Unanswered++
		if hasReached, held := r.fleet.group.HasReceived(e.id), e.ended.Sub(e.sent); hasReached || held > lossSlack {
			r.reportViolation("no whole answer to %q (%s) at %s at %s: %v; reached an endpoint: %t, held for %s, %s after the first of %d SIGTERMs",
				e.text, e.id, e.daemon, e.ended.Format(time.StampMilli), e.err, hasReached, held.Round(time.Millisecond), e.ended.Sub(stops[0]).Round(time.Millisecond), len(stops))
		}
	}
}

// checkProcesses reports daemons that ended by themselves or, without unplanned trouble
// during the stop, with statements in progress. The processes must have ended.
func (r *run) checkProcesses() {
	j := &r.fleet.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, d := range r.fleet.daemons {
		for line := range strings.Lines(d.Log()) {
			var entry struct {
				Time    time.Time
				Msg, ID string
			}
			if json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			// A line without an id is that of a caller who has just left.
			isCut := entry.Msg == "statement_cut" && entry.ID != "" || entry.Msg == "forwarded_statements_cut"
			if entry.Msg == selfEnd || isCut && !j.hadTrouble(entry.Time.Add(-stopWindow-calmTime), entry.Time) {
				r.reportViolation("log of %s: %s", d.name, strings.TrimSpace(line))
			}
		}
	}
}
