package rattanusage

import "slices"

// Counts are the requests of each client account that endpoints began to run in one
// window, as one daemon counted them.
type Counts struct {
	Window int64
	// Incarnation names the process that counted.
	Incarnation string
	// Requests holds the number of requests by client account.
	Requests map[string]uint64
}

// Changes are what a Ledger has learnt after an earlier state of it.
type Changes struct {
	Counts []Counts
	// CompleteThrough is, by incarnation, the last window up to which its counts are
	// complete.
	CompleteThrough map[string]int64
	// State is the state of the ledger that the changes lead to.
	State uint64
}

// A Ledger holds counts of many daemons. Counts only grow: of two counts of an account by
// one incarnation in one window, the higher one is the later one. So merging the same
// counts again, or older ones, changes nothing, whatever way they came.
type Ledger struct {
	entries map[entryKey]*entry
	through map[string]numbered
	// state numbers the changes.
	state uint64
	// first is the first window that is kept, since the first one of which this daemon
	// would know.
	first, since int64
}

type entryKey struct {
	window      int64
	incarnation string
}

// An entry holds the counts of one incarnation in one window, and the ledger's state at
// their last change.
type entry struct {
	requests map[string]numbered
	state    uint64
}

// A numbered is a number with the ledger's state at its last change.
type numbered struct {
	number int64
	state  uint64
}

// NewLedger returns an empty ledger of a daemon that started in a window.
func NewLedger(since int64) *Ledger {
	return &Ledger{since: since, entries: make(map[entryKey]*entry), through: make(map[string]numbered)}
}

// Add counts requests of an account in a window, by this incarnation. It returns false if
// the window is no longer kept, or was declared complete.
func (l *Ledger) Add(window int64, incarnation, account string, requests int64) bool {
	if window < l.first {
		return false
	}
	e := l.entry(window, incarnation)
	l.set(e, account, e.requests[account].number+requests)
	through, ok := l.through[incarnation]
	return !ok || window > through.number
}

// Merge takes over counts, and the window up to which those of incarnations are complete.
func (l *Ledger) Merge(changes Changes) {
	for _, counts := range changes.Counts {
		if counts.Window < l.first {
			continue
		}
		e := l.entry(counts.Window, counts.Incarnation)
		for account, requests := range counts.Requests {
			if number := int64(requests); number > e.requests[account].number {
				l.set(e, account, number)
			}
		}
	}
	for incarnation, window := range changes.CompleteThrough {
		l.Complete(incarnation, window)
	}
}

// Complete records that the counts of an incarnation are complete up to a window.
func (l *Ledger) Complete(incarnation string, window int64) {
	if known, ok := l.through[incarnation]; (ok && window <= known.number) || window < l.first {
		return
	}
	l.state++
	l.through[incarnation] = numbered{number: window, state: l.state}
}

func (l *Ledger) entry(window int64, incarnation string) *entry {
	key := entryKey{window: window, incarnation: incarnation}
	e, ok := l.entries[key]
	if !ok {
		e = &entry{requests: make(map[string]numbered)}
		l.entries[key] = e
	}
	return e
}

func (l *Ledger) set(e *entry, account string, number int64) {
	l.state++
	e.state = l.state
	e.requests[account] = numbered{number: number, state: l.state}
}

// ChangesAfter returns what the incarnations that match have counted, as far as it was
// learnt after an earlier state of the ledger, 0 for everything.
func (l *Ledger) ChangesAfter(state uint64, matches func(incarnation string) bool) Changes {
	changes := Changes{CompleteThrough: make(map[string]int64), State: l.state}
	for key, e := range l.entries {
		if e.state <= state || !matches(key.incarnation) {
			continue
		}
		counts := Counts{Window: key.window, Incarnation: key.incarnation, Requests: make(map[string]uint64)}
		for account, count := range e.requests {
			if count.state > state {
				counts.Requests[account] = uint64(count.number)
			}
		}
		changes.Counts = append(changes.Counts, counts)
	}
	for incarnation, through := range l.through {
		if through.state > state && matches(incarnation) {
			changes.CompleteThrough[incarnation] = through.number
		}
	}
	return changes
}

// IsEmpty reports whether there is nothing to pass on.
func (c Changes) IsEmpty() bool { return len(c.Counts) == 0 && len(c.CompleteThrough) == 0 }

// Totals returns the requests of each account in a window.
func (l *Ledger) Totals(window int64) map[string]uint64 {
	totals := make(map[string]uint64)
	for key, e := range l.entries {
		if key.window != window {
			continue
		}
		for account, count := range e.requests {
			totals[account] += uint64(count.number)
		}
	}
	return totals
}

// Missing returns which of the expected incarnations have not completed a window, sorted.
func (l *Ledger) Missing(window int64, expected []string) []string {
	var missing []string
	for _, incarnation := range expected {
		if through, ok := l.through[incarnation]; !ok || through.number < window {
			missing = append(missing, incarnation)
		}
	}
	slices.Sort(missing)
	return missing
}

// Knows reports whether some daemon has counted in a window, or would have been known to:
// the daemon of the ledger had started by then.
func (l *Ledger) Knows(window int64) bool {
	if window >= max(l.since, l.first) {
		return true
	}
	for key := range l.entries {
		if key.window == window {
			return true
		}
	}
	return false
}

// Forget drops the windows before the first one to keep.
func (l *Ledger) Forget(first int64) {
	l.first = max(l.first, first)
	for key := range l.entries {
		if key.window < l.first {
			delete(l.entries, key)
		}
	}
	for incarnation, through := range l.through {
		if through.number < l.first {
			delete(l.through, incarnation)
		}
	}
}

// Windows returns how many counts the ledger holds by window, for dumps.
func (l *Ledger) Windows() map[int64]int {
	windows := make(map[int64]int)
	for key, e := range l.entries {
		windows[key.window] += len(e.requests)
	}
	return windows
}
