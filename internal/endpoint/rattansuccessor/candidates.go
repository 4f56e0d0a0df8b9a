package rattansuccessor

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// ErrLogsMissing says that endpoints which have not answered may hold a log that is better
// than all others.
var ErrLogsMissing = errors.New("endpoints that may hold a better log do not answer")

// A logRank says how much a log is worth beside those of the other endpoints.
type logRank int

// The ranks of logs, the best one first.
const (
	// historyRank is that of a log which belongs to the history of the group.
	historyRank logRank = iota
	// emptiedRank is that of a log which was lost with its process.
	emptiedRank
	// divergedRank is that of a log with entries that a later term has left out.
	divergedRank
)

// Candidates returns the endpoints in the order in which to try their promotion. First come
// those whose log belongs to the history of the group, of these the ones that stay in
// service, and of these the ones with the longest log, since commits that the new primary
// lacks are lost. Of equal logs the one of the leader comes first: nothing changes then. It
// returns ErrLogsMissing while none of the logs that are known belongs to
// the history and another endpoint may hold one that does. Where replicas hold each commit
// before it is acknowledged, only endpoints that hold all acknowledged commits are candidates,
// and it returns ErrLogsMissing while an endpoint that does not answer may be the only one.
func (v View) Candidates() ([]Status, error) {
	acknowledged, err := v.acknowledged()
	if err != nil {
		return nil, err
	}
	ordered := slices.DeleteFunc(slices.Clone(v.statuses), func(s Status) bool {
		return s.Received.Compare(acknowledged) < 0 || !v.holdsEarlierTerms(s)
	})
	if len(ordered) == 0 && v.IsComplete() {
		ordered = slices.Clone(v.statuses)
	}
	slices.SortStableFunc(ordered, func(a, b Status) int {
		return cmp.Or(
			cmp.Compare(v.rank(a), v.rank(b)),
			compareBool(v.IsLeaving(a), v.IsLeaving(b)),
			b.Received.Compare(a.Received),
			compareBool(!v.IsLeader(a), !v.IsLeader(b)),
		)
	})
	if ordered = v.preferUsable(ordered); !v.IsComplete() && (len(ordered) == 0 || v.rank(ordered[0]) != historyRank) && len(v.statuses) > 0 {
		return nil, ErrLogsMissing
	}
	return ordered, nil
}

// preferUsable returns the candidates that get work. Others remain where replicas hold each
// commit, since any of them may be the only one that does, and where the best of them is of
// a better rank than all that get work.
func (v View) preferUsable(ordered []Status) []Status {
	if v.group.SyncReplicas > 0 {
		return ordered
	}
	usable := slices.DeleteFunc(slices.Clone(ordered), func(s Status) bool { return v.group.Unusable[s.Endpoint.ID] })
	if len(usable) > 0 && v.rank(usable[0]) != v.rank(ordered[0]) {
		return ordered
	}
	return usable
}

// acknowledged returns a position up to which a log holds all acknowledged commits. Each is
// held by SyncReplicas endpoints besides the primary, of which as many may be missing as do
// not answer or have lost their log. When all have answered, what none of them holds is lost.
func (v View) acknowledged() (rattanmodel.Position, error) {
	if v.group.SyncReplicas == 0 {
		return rattanmodel.Position{}, nil
	}
	holders := v.group.SyncReplicas - v.group.Unconfirmed
	var received []rattanmodel.Position
	for _, endpoint := range v.group.Endpoints {
		switch status, ok := v.status(endpoint.ID); {
		case endpoint.ID == v.group.Primary:
		case ok && !v.hasLostLog(status):
			received = append(received, status.Received)
		default:
			holders--
		}
	}
	switch primary, ok := v.newestPrimary(); {
	case holders < 1 && ok && !v.hasLostLog(primary):
		return primary.Received, nil
	case holders < 1 && !v.IsComplete():
		return rattanmodel.Position{}, ErrLogsMissing
	case holders < 1 || len(received) == 0:
		return rattanmodel.Position{}, nil
	}
	slices.SortFunc(received, func(a, b rattanmodel.Position) int { return b.Compare(a) })
	return received[min(holders, len(received))-1], nil
}

// newestPrimary returns the leader, or the recorded primary if it has stepped down in the
// newest term.
func (v View) newestPrimary() (Status, bool) {
	if leader, ok := v.Leader(); ok {
		return leader, true
	}
	primary, ok := v.status(v.group.Primary)
	return primary, ok && primary.Term == v.NewestTerm()
}

// holdsEarlierTerms reports whether a log holds all that the earlier terms have left to the
// newest one. Only the primary of that term is known to hold it: the replicas that have
// received a commit of an earlier term may have left since.
func (v View) holdsEarlierTerms(s Status) bool {
	history := v.group.TermHistory
	if v.group.SyncReplicas == 0 || len(history) == 0 || history.Term() < v.group.Term {
		return true
	}
	return s.Received.Index+1 >= history[len(history)-1].StartIndex
}

// hasLostLog reports whether an endpoint lacks what its process held before: it was started
// again, or its log is empty while there are commits in the group.
func (v View) hasLostLog(s Status) bool { return v.group.LostLogs[s.Endpoint.ID] || v.isEmptied(s) }

// isEmptied reports whether the log of an endpoint is empty while there are commits in the
// group, or were before the endpoint was started again.
func (v View) isEmptied(s Status) bool {
	if s.Received.Index > 0 {
		return false
	}
	hasCommits := slices.ContainsFunc(v.statuses, func(other Status) bool { return other.Received.Index > 0 }) ||
		slices.ContainsFunc(v.group.TermHistory, func(start rattanmodel.TermStart) bool { return start.StartIndex > 1 })
	return hasCommits || v.group.LostLogs[s.Endpoint.ID]
}

// rank returns the rank of the log of an endpoint.
func (v View) rank(s Status) logRank {
	switch {
	case v.hasDiverged(s):
		return divergedRank
	case v.isEmptied(s):
		return emptiedRank
	default:
		return historyRank
	}
}

// status returns the status of an endpoint, or false if it has not answered.
func (v View) status(id string) (Status, bool) {
	at := slices.IndexFunc(v.statuses, func(s Status) bool { return s.Endpoint.ID == id })
	if at < 0 {
		return Status{}, false
	}
	return v.statuses[at], true
}

// maxTerms limits the terms in a history.
const maxTerms = 8

// ExtendHistory returns a history with the term of an endpoint that has just been promoted
// and has not run a write in it, unless that term is there already. The start of a term that
// is too old becomes that of the next one if it is lower, so that what it left out stays left
// out.
func ExtendHistory(history rattanmodel.TermHistory, promoted Status) rattanmodel.TermHistory {
	if promoted.Term <= history.Term() {
		return history
	}
	extended := append(slices.Clone(history), rattanmodel.TermStart{Term: promoted.Term, StartIndex: promoted.Received.Index + 1})
	for len(extended) > maxTerms {
		extended[1].StartIndex = min(extended[0].StartIndex, extended[1].StartIndex)
		extended = extended[1:]
	}
	return extended
}

// IsLeaving reports whether an endpoint goes out of service.
func (v View) IsLeaving(s Status) bool {
	return s.Endpoint.IsDraining || v.group.Evacuated[s.Endpoint.FailureDomain] || v.group.Unusable[s.Endpoint.ID]
}

// hasDiverged reports whether a log has entries of an ended term that the next term does not
// contain. Callers have seen them vanish, and promoting that log would bring them back.
func (v View) hasDiverged(s Status) bool {
	return hasDiverged(v.group.TermHistory, s.Received)
}

func hasDiverged(history rattanmodel.TermHistory, received rattanmodel.Position) bool {
	index, ok := history.Resolve(received)
	return ok && index < received.Index
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
