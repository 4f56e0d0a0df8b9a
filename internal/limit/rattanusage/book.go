package rattanusage

import (
	"maps"
	"slices"
	"time"
)

// maxUnsent is the most reports that are kept for sending while the platform does not
// accept them, and the most windows whose counts are kept.
const maxUnsent = 24

// A Report is the usage of one window. Its content never changes once it is recorded.
type Report struct {
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

// Sum returns the requests of all accounts.
func (r Report) Sum() uint64 {
	var sum uint64
	for _, requests := range r.Counts {
		sum += requests
	}
	return sum
}

// A Record is what the store holds about the reports: which windows are decided, and the
// content of those that may not have been sent.
type Record struct {
	// Era is the store's era in which the record was written. A record of an earlier era
	// may lack the last windows.
	Era int64 `json:"era"`
	// Through is the last decided window. A decided window without a content is either
	// sent or never will be.
	Through int64    `json:"through"`
	Unsent  []Report `json:"unsent,omitempty"`
}

// A Book is what the holder of the duty knows of the reports. A content may be sent only
// once it is recorded in the store, and the store takes a new record only in place of the
// one that the holder has read. So whoever holds the duty, a window has one content.
type Book struct {
	record Record
}

// Load takes over the record in the store, hasRecord false for none, as read in an era at
// a true time. When the record may lack windows, because the store was restored from an
// older copy or has none, the windows that had ended by then are decided: what was sent
// for them is not known for certain.
func (b *Book) Load(record Record, hasRecord bool, era, current int64) {
	if hasRecord && record.Era == era {
		b.record = record
		return
	}
	unsent := slices.Clone(b.record.Unsent)
	for _, report := range record.Unsent {
		if !slices.ContainsFunc(unsent, func(r Report) bool { return r.Window == report.Window }) {
			unsent = append(unsent, report)
		}
	}
	slices.SortFunc(unsent, func(a, b Report) int { return int(a.Window - b.Window) })
	b.record = Record{Era: era, Through: max(b.record.Through, record.Through, current-1), Unsent: unsent}
}

// A Decision is the record that decides further windows.
type Decision struct {
	Record Record
	// Decided lists the windows that get a content.
	Decided []Outcome
	// Skipped lists the windows that nothing is known of, and that are not reported.
	Skipped []int64
}

// An Outcome is a decided window, with the incarnations whose counts may lack in it.
type Outcome struct {
	Report  Report
	Missing []string
}

// Timing says when windows are decided.
type Timing struct {
	// Length is that of a window.
	Length time.Duration
	// Collect is how long after its end a window waits for the counts of all daemons.
	Collect time.Duration
}

// Decide decides the windows that have ended and are complete, or have waited long enough,
// at a true time. It returns false when there is none. The decision counts once its record
// is in the store.
func (b *Book) Decide(ledger *Ledger, expected []string, now time.Time, timing Timing) (Decision, bool) {
	decision := Decision{Record: Record{Era: b.record.Era, Through: b.record.Through, Unsent: slices.Clone(b.record.Unsent)}}
	current := WindowAt(now, timing.Length)
	for window := b.record.Through + 1; window < current; window++ {
		missing := ledger.Missing(window, expected)
		isDue := !now.Before(End(window, timing.Length).Add(timing.Collect))
		if len(missing) > 0 && !isDue {
			break
		}
		decision.Record.Through = window
		if current-window > maxUnsent || !ledger.Knows(window) {
			decision.Skipped = append(decision.Skipped, window)
			continue
		}
		report := Report{Window: window, Counts: maps.Clone(ledger.Totals(window))}
		decision.Decided = append(decision.Decided, Outcome{Report: report, Missing: missing})
		decision.Record.Unsent = append(decision.Record.Unsent, report)
	}
	if surplus := len(decision.Record.Unsent) - maxUnsent; surplus > 0 {
		decision.Record.Unsent = decision.Record.Unsent[surplus:]
	}
	return decision, decision.Record.Through > b.record.Through
}

// Accept takes over a record that the store has accepted.
func (b *Book) Accept(record Record) { b.record = record }

// Next returns the report to send next, or false when all are sent.
func (b *Book) Next() (Report, bool) {
	if len(b.record.Unsent) == 0 {
		return Report{}, false
	}
	return b.record.Unsent[0], true
}

// Sent records that the platform has accepted the report of a window. The store learns it
// with the next record.
func (b *Book) Sent(window int64) {
	b.record.Unsent = slices.DeleteFunc(slices.Clone(b.record.Unsent), func(r Report) bool { return r.Window == window })
}

// Through returns the last decided window.
func (b *Book) Through() int64 { return b.record.Through }

// Unsent returns how many reports wait to be sent.
func (b *Book) Unsent() int { return len(b.record.Unsent) }

// KeepFrom returns the first window whose counts are still of use at a true time.
func KeepFrom(now time.Time, length time.Duration) int64 {
	return WindowAt(now, length) - maxUnsent
}
