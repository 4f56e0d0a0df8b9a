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

// Candidates returns the endpoints in the order in which to try their promotion. First come
// those whose log belongs to the history of the group, of these the ones that stay in
// service, and of these the ones with the longest log, since commits that the new primary
// lacks are lost. Of equal logs the one of the leader comes first: nothing changes then. It
// returns ErrLogsMissing while none of the logs that are known belongs to
// the history and another endpoint may hold one that does. Where replicas hold each commit
// before it is acknowledged, only endpoints that hold all acknowledged commits are candidates.
func (v View) Candidates() ([]Status, error) {
	acknowledged, err := v.acknowledged()
	if err != nil {
		return nil, err
	}
	ordered := slices.DeleteFunc(slices.Clone(v.statuses), func(s Status) bool { return s.Received.Compare(acknowledged) < 0 })
	slices.SortStableFunc(ordered, func(a, b Status) int {
		return cmp.Or(
			compareBool(v.hasDiverged(a), v.hasDiverged(b)),
			compareBool(v.IsLeaving(a), v.IsLeaving(b)),
			b.Received.Compare(a.Received),
			compareBool(!v.IsLeader(a), !v.IsLeader(b)),
		)
	})
	if len(ordered) > 0 && v.hasDiverged(ordered[0]) && !v.IsComplete() {
		return nil, ErrLogsMissing
	}
	return ordered, nil
}

// acknowledged returns a position up to which a log holds all acknowledged commits. Each is
// held by SyncReplicas endpoints besides the primary, of which as many may be silent as do not
// answer.
func (v View) acknowledged() (rattanmodel.Position, error) {
	if v.group.SyncReplicas == 0 {
		return rattanmodel.Position{}, nil
	}
	holders := v.group.SyncReplicas
	var received []rattanmodel.Position
	for _, endpoint := range v.group.Endpoints {
		switch status, ok := v.status(endpoint.ID); {
		case endpoint.ID == v.group.Primary:
		case ok:
			received = append(received, status.Received)
		default:
			holders--
		}
	}
	switch primary, ok := v.status(v.group.Primary); {
	case holders < 1 && ok && primary.Term == v.NewestTerm():
		return primary.Received, nil
	case holders < 1:
		return rattanmodel.Position{}, ErrLogsMissing
	case len(received) == 0:
		return rattanmodel.Position{}, nil
	}
	slices.SortFunc(received, func(a, b rattanmodel.Position) int { return b.Compare(a) })
	return received[min(holders, len(received))-1], nil
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
// and has not run a write in it, unless that term is there already.
func ExtendHistory(history rattanmodel.TermHistory, promoted Status) rattanmodel.TermHistory {
	if promoted.Term <= history.Term() {
		return history
	}
	extended := append(slices.Clone(history), rattanmodel.TermStart{Term: promoted.Term, StartIndex: promoted.Received.Index + 1})
	return extended[max(0, len(extended)-maxTerms):]
}

// IsLeaving reports whether an endpoint goes out of service.
func (v View) IsLeaving(s Status) bool {
	return s.Endpoint.IsDraining || v.group.Evacuated[s.Endpoint.FailureDomain]
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
