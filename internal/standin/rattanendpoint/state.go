package rattanendpoint

import (
	"slices"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A State is the durable state of an instance. A later instance can start from it.
type State struct {
	// Term is the term that the instance has joined.
	Term uint64
	// PromisedTerm is the highest term that the instance has promised to a
	// coordinator or has joined; it is never below Term. PromisedBy is that
	// coordinator, empty in the first term and after the instance has joined the
	// term by replication without a promise.
	PromisedTerm uint64
	PromisedBy   string
	// Primary is true when the instance started Term and has not stepped down since.
	Primary bool
	// Following is the name of the primary of Term, empty while unknown.
	Following string
	// Log is never changed in place, because requests to peers share its array;
	// entries are only appended or truncated.
	Log []*rattanv1.LogEntry
}

func newState(config Config) State {
	state := State{Term: 1, PromisedTerm: 1, Following: config.InitialPrimary}
	if config.InitialPrimary == config.Name {
		state.Primary = true
		state.Log = []*rattanv1.LogEntry{{Position: &rattanv1.Position{Term: 1, Index: 1}}}
	}
	return state
}

// clone returns a copy that does not share the log's array.
func (s State) clone() *State {
	s.Log = slices.Clone(s.Log)
	return &s
}

// last returns the position of the last entry, 0/0 for an empty log.
func (s *State) last() (term, index uint64) {
	if len(s.Log) == 0 {
		return 0, 0
	}
	position := s.Log[len(s.Log)-1].GetPosition()
	return position.GetTerm(), position.GetIndex()
}

func (s *State) lastPosition() *rattanv1.Position {
	term, index := s.last()
	return &rattanv1.Position{Term: term, Index: index}
}

// termAt returns the term of the entry at index, 0 when the log has none.
func (s *State) termAt(index uint64) uint64 {
	if index == 0 || index > uint64(len(s.Log)) {
		return 0
	}
	return s.Log[index-1].GetPosition().GetTerm()
}

// termHistory returns the start of every term in the log.
func (s *State) termHistory() []*rattanv1.TermStart {
	var starts []*rattanv1.TermStart
	for at := 0; at < len(s.Log); {
		term := s.Log[at].GetPosition().GetTerm()
		starts = append(starts, &rattanv1.TermStart{Term: term, StartIndex: uint64(at) + 1})
		at, _ = slices.BinarySearchFunc(s.Log, term+1, func(entry *rattanv1.LogEntry, term uint64) int {
			return compare(entry.GetPosition().GetTerm(), term)
		})
	}
	return starts
}

// lastCommonIndex returns the index of the last entry that the log shares with
// another log, of which only the term history and the last index are known. That
// is enough, because a term and an index identify one entry, and equal entries
// have equal predecessors.
func (s *State) lastCommonIndex(history []*rattanv1.TermStart, lastIndex uint64) uint64 {
	index := min(uint64(len(s.Log)), lastIndex)
	for index > 0 && s.termAt(index) != termInHistory(history, index) {
		index--
	}
	return index
}

// termInHistory returns the term of the entry at index in a log with the history.
func termInHistory(history []*rattanv1.TermStart, index uint64) uint64 {
	var term uint64
	for _, start := range history {
		if start.GetStartIndex() <= index {
			term = start.GetTerm()
		}
	}
	return term
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
