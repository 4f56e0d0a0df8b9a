package rattanstore

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const rosterPrefix = "roster/"

// RosterPath returns the platform's key of a failure domain's roster.
func RosterPath(failureDomain string) string { return rosterPrefix + failureDomain }

// A Member is one daemon of a roster.
type Member struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// A Roster lists the daemons that hold base shares in a failure domain.
type Roster struct {
	FailureDomain string
	// Revision is 0 when the roster is not stored yet.
	Revision uint64
	Members  []Member
}

type storedRoster struct {
	Members []Member `json:"members"`
}

// DecodeRoster decodes the value stored under "roster/<failure domain>". When a part of it
// cannot be used, the error is a *CorruptError and the roster has the members that can.
func DecodeRoster(failureDomain string, revision uint64, value []byte) (Roster, error) {
	roster := Roster{FailureDomain: failureDomain, Revision: revision}
	var decoded struct {
		Members []json.RawMessage `json:"members"`
	}
	isCorrupt := json.Unmarshal(value, &decoded) != nil
	for _, text := range decoded.Members {
		var member Member
		if err := json.Unmarshal(text, &member); err != nil || member.VM == "" || roster.has(member.VM) {
			isCorrupt = true
			continue
		}
		roster.Members = append(roster.Members, member)
	}
	if isCorrupt {
		return roster, &CorruptError{Key: RosterPath(failureDomain), Revision: revision}
	}
	return roster, nil
}

func (r Roster) has(vm string) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.VM == vm })
}

// LoadRoster reads a failure domain's roster. Errors are those of Load; with a *CorruptError
// the roster has the members that can be used.
func (s *Store) LoadRoster(ctx context.Context, failureDomain string) (Roster, error) {
	entry, err := s.get(ctx, RosterPath(failureDomain))
	if err != nil {
		return Roster{}, err
	}
	if entry == nil {
		return Roster{FailureDomain: failureDomain}, nil
	}
	return DecodeRoster(failureDomain, entry.GetRevision(), entry.GetValue())
}

// ChangeRoster replaces a roster's members by compare-and-swap. The function change
// gets the stored members, must not modify them, and returns the new ones. It runs
// again when another change was stored first. Nothing is written when it returns
// the same members, so that a change whose response was lost is not repeated. A stored
// roster that is corrupt is replaced: change gets the last known members, or without any
// the stored ones that can be used.
// ChangeRoster retries until ctx ends; ctx should have a deadline. Errors are
// *UnavailableError and *UnknownOutcomeError.
func (s *Store) ChangeRoster(ctx context.Context, failureDomain string, known []Member, change func([]Member) []Member) (Roster, error) {
	retry := s.newBackoff()
	uncertain := false
	for {
		roster, err := s.tryChangeRoster(ctx, failureDomain, known, change)
		if err == nil {
			return roster, nil
		}
		if !isTransient(err) {
			return Roster{}, err
		}
		uncertain = uncertain || isUncertainWrite(err)
		if retry.wait(ctx) == nil {
			continue
		}
		if uncertain {
			return Roster{}, &UnknownOutcomeError{Key: RosterPath(failureDomain), Err: err}
		}
		return Roster{}, &UnavailableError{Key: RosterPath(failureDomain), Err: err}
	}
}

// tryChangeRoster makes one attempt of ChangeRoster.
func (s *Store) tryChangeRoster(ctx context.Context, failureDomain string, known []Member, change func([]Member) []Member) (Roster, error) {
	roster, err := s.LoadRoster(ctx, failureDomain)
	var corrupt *CorruptError
	isCorrupt := errors.As(err, &corrupt)
	if err != nil && !isCorrupt {
		return Roster{}, err
	}
	if isCorrupt && len(known) > 0 {
		roster.Members = known
	}
	wanted := change(slices.Clone(roster.Members))
	if !isCorrupt && slices.Equal(wanted, roster.Members) {
		return roster, nil
	}
	value, err := encodeJSON(storedRoster{Members: wanted})
	if err != nil {
		return Roster{}, err
	}
	revision, err := s.put(ctx, &rattanv1.PutRequest{
		Key: RosterPath(failureDomain), Value: value, ExpectedRevision: roster.Revision,
	})
	if err != nil {
		return Roster{}, err
	}
	return Roster{FailureDomain: failureDomain, Revision: revision, Members: wanted}, nil
}
