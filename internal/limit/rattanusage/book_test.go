package rattanusage

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testLength = 5 * time.Second
	// firstWindow is the window in which the model begins.
	firstWindow = 1000
)

var testTiming = Timing{Length: testLength, Collect: 6 * time.Second}

// A stored is the content of the store of the model: a record with its revision.
type stored struct {
	record    Record
	hasRecord bool
	revision  int
}

// A delayed is a write that the store may still execute, if its condition holds.
type delayed struct {
	expected stored
	era      int64
	record   Record
}

// A modelHolder is a daemon that may hold the duty. Its ledger differs from that of the
// others, so that two holders would report different contents.
type modelHolder struct {
	book   Book
	ledger *Ledger
	read   stored
	era    int64
	// isLoaded is false before the record was read, and after a write with no answer.
	isLoaded bool
}

// A reportModel is the store, the platform and the holders.
type reportModel struct {
	t        *rapid.T
	now      time.Time
	store    stored
	era      int64
	revision int
	copies   []stored
	delayed  []delayed
	holders  []*modelHolder
	accepted map[int64]map[string]uint64
}

func (m *reportModel) newHolder() *modelHolder {
	h := &modelHolder{ledger: NewLedger(0)}
	for window := int64(firstWindow); window < firstWindow+300; window++ {
		m.revision++
		h.ledger.Add(window, "one", "miny", int64(m.revision))
	}
	return h
}

func (m *reportModel) load(h *modelHolder) {
	h.book.Load(m.store.record, m.store.hasRecord, m.era, WindowAt(m.now, testLength))
	h.read, h.era, h.isLoaded = m.store, m.era, true
}

// write executes a write whose condition holds, and reports whether it did.
func (m *reportModel) write(w delayed) bool {
	if w.era != m.era || w.expected.revision != m.store.revision {
		return false
	}
	m.revision++
	m.store = stored{record: w.record, hasRecord: true, revision: m.revision}
	return true
}

// decide is a holder's attempt to decide windows: done, refused, lost on the way, without
// an answer, or executed later.
func (m *reportModel) decide(h *modelHolder, fate string) {
	decision, ok := h.book.Decide(h.ledger, []string{"two"}, m.now, testTiming)
	if !ok || !h.isLoaded {
		return
	}
	w := delayed{expected: h.read, era: h.era, record: decision.Record}
	h.isLoaded = false
	switch fate {
	case "done":
		if m.write(w) {
			h.book.Accept(decision.Record)
			h.read, h.isLoaded = m.store, true
		}
	case "unanswered":
		m.write(w)
	case "late":
		m.delayed = append(m.delayed, w)
	}
}

func (m *reportModel) send(h *modelHolder, isAnswered bool) {
	report, ok := h.book.Next()
	if !ok || !h.isLoaded {
		return
	}
	if before, isKnown := m.accepted[report.Window]; isKnown && !maps.Equal(before, report.Counts) {
		m.t.Fatalf("window %d is reported as %v after %v", report.Window, report.Counts, before)
	}
	m.accepted[report.Window] = report.Counts
	if isAnswered {
		h.book.Sent(report.Window)
	}
}

// restore brings the store back from an older copy.
func (m *reportModel) restore(t *rapid.T) {
	m.store = rapid.SampledFrom(m.copies).Draw(t, "copy")
	m.era++
}

func (m *reportModel) step(t *rapid.T, steps []string) {
	h := m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
	switch rapid.SampledFrom(steps).Draw(t, "step") {
	case "time":
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
	case "load":
		m.load(h)
	case "work":
		if !h.isLoaded {
			m.load(h)
		}
		m.decide(h, "done")
		m.send(h, true)
	case "decide":
		m.decide(h, rapid.SampledFrom([]string{"done", "done", "lost", "unanswered", "late"}).Draw(t, "fate"))
	case "send":
		m.send(h, rapid.Bool().Draw(t, "answered"))
	case "die":
		*h = *m.newHolder()
	case "late write":
		if len(m.delayed) > 0 {
			m.write(m.delayed[0])
			m.delayed = m.delayed[1:]
		}
	case "copy":
		m.copies = append(m.copies, m.store)
	case "restore":
		m.restore(t)
	}
}

func newReportModel(t *rapid.T) *reportModel {
	m := &reportModel{t: t, now: End(firstWindow, testLength).Add(-time.Second), era: 1, accepted: make(map[int64]map[string]uint64), copies: []stored{{}}}
	for range 2 {
		m.holders = append(m.holders, m.newHolder())
	}
	return m
}

// TestOneContent guards against two different reports of a window, however holders die,
// take over and act at the same time, whatever becomes of their calls, and when the store
// comes back from an older copy.
func TestOneContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReportModel(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step(t, []string{"time", "time", "work", "work", "load", "decide", "send", "die", "late write", "copy", "restore"})
		}
	})
}

// TestEveryWindow guards against a window that is never reported after holders have died:
// one that then works without faults reports each window that ended since the first one.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReportModel(t)
		m.load(m.holders[0])
		m.now = m.now.Add(2 * testLength)
		m.decide(m.holders[0], "done")
		for range rapid.IntRange(0, 15).Draw(t, "steps") {
			m.step(t, []string{"time", "load", "decide", "send", "die", "late write"})
		}
		last := m.newHolder()
		m.now = m.now.Add(testTiming.Collect)
		m.load(last)
		m.decide(last, "done")
		for last.book.Unsent() > 0 {
			m.send(last, true)
		}
		for window := int64(firstWindow); window < WindowAt(m.now.Add(-testTiming.Collect), testLength); window++ {
			if _, ok := m.accepted[window]; !ok && WindowAt(m.now, testLength)-window <= maxUnsent {
				t.Fatalf("window %d is not reported at %s", window, m.now.UTC())
			}
		}
	})
}

// TestDecideWaits guards against a report that lacks counts which are still on their way,
// and against one that waits for a daemon that never answers.
func TestDecideWaits(t *testing.T) {
	var book Book
	book.Load(Record{}, false, 1, 10)
	ledger := NewLedger(0)
	ledger.Add(10, "one", "miny", 4)
	ledger.Complete("one", 10)
	end := End(10, testLength)
	assertDecided(t, book, ledger, []string{"one", "two"}, end.Add(testTiming.Collect-time.Millisecond), 0, 0)
	assertDecided(t, book, ledger, []string{"one", "two"}, end.Add(testTiming.Collect), 1, 1)
	assertDecided(t, book, ledger, []string{"one"}, end, 1, 0)
	assertDecided(t, book, ledger, []string{"one"}, end.Add(-time.Millisecond), 0, 0)
}

func assertDecided(t *testing.T, book Book, ledger *Ledger, expected []string, now time.Time, windows, missing int) {
	t.Helper()
	decision, _ := book.Decide(ledger, expected, now, testTiming)
	if len(decision.Decided) != windows {
		t.Fatalf("%s: decided %d windows, want %d", now.UTC(), len(decision.Decided), windows)
	}
	if windows > 0 && len(decision.Decided[0].Missing) != missing {
		t.Errorf("%s: %v are missing, want %d", now.UTC(), decision.Decided[0].Missing, missing)
	}
}

// TestUnknownWindow guards against a report of nothing for a window in which every daemon
// lost its counts: the account would be billed as if it had sent no requests.
func TestUnknownWindow(t *testing.T) {
	var book Book
	book.Load(Record{Era: 1, Through: 9}, true, 1, 12)
	ledger := NewLedger(11)
	ledger.Complete("one", 10)
	ledger.Add(11, "one", "miny", 4)
	decision, _ := book.Decide(ledger, []string{"one"}, End(11, testLength).Add(testTiming.Collect), testTiming)
	if len(decision.Skipped) != 1 || len(decision.Decided) != 1 || decision.Decided[0].Report.Window != 11 {
		t.Errorf("got %+v, want window 10 skipped and window 11 decided", decision)
	}
}
