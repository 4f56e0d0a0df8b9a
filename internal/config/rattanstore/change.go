package rattanstore

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Change is one change of a team's document.
type Change struct {
	Team   string
	ID     string
	Author string
	// Request identifies what is asked for, so that another request under the
	// same id is noticed. Only its hash is stored.
	Request string
	// ExpectedRevision is the revision that the document must have; 0 means that there
	// must be none. It is not used with AnyRevision.
	ExpectedRevision uint64
	AnyRevision      bool
	// Update returns the new text. It runs again when another change came first.
	// Its error ends the change and is returned as it is.
	Update func(current StoredDocument) (string, error)
}

// ChangeResult is the outcome of a change that took effect.
type ChangeResult struct {
	// Revision is the one that the change made.
	Revision uint64
	Diff     []string
	// AlreadyApplied is true when the change had taken effect before this call.
	AlreadyApplied bool
}

// Change makes a change by compare-and-swap. When an answer is lost it reads
// again and looks for the change id, until ctx ends; ctx should have a deadline.
// Errors are *ConflictError,
// *ChangeIDError, *TooLargeError, *CorruptError, *UnavailableError (not
// applied), *UnknownOutcomeError (may have been applied) and those of Make.
func (s *Store) Change(ctx context.Context, change Change) (ChangeResult, error) {
	attempt := changeAttempt{store: s, change: change, key: rattansettings.DocumentPath(change.Team)}
	pause := s.newBackoff()
	for {
		applied, err := attempt.run(ctx)
		if err == nil {
			return applied, nil
		}
		if !isTransient(err) {
			return ChangeResult{}, attempt.final(err)
		}
		if pause.wait(ctx) != nil {
			return ChangeResult{}, attempt.giveUp(err)
		}
	}
}

// A changeAttempt keeps what is known over the attempts at one change.
type changeAttempt struct {
	store  *Store
	change Change
	key    string
	// uncertain is true after a write whose outcome is not known; sent is the
	// revision that the last such write expected.
	uncertain bool
	sent      uint64
	// current is the revision last read.
	current uint64
}

// final returns the error of a change that cannot succeed any more. While the
// document still has the revision that an uncertain write expected, that write
// may yet arrive.
func (a *changeAttempt) final(err error) error {
	if a.uncertain && a.current == a.sent {
		return a.giveUp(err)
	}
	var made *makeError
	if errors.As(err, &made) {
		return made.err
	}
	return err
}

// giveUp returns the final error when the context has ended.
func (a *changeAttempt) giveUp(err error) error {
	if a.uncertain {
		return &UnknownOutcomeError{Key: a.key, ChangeID: a.change.ID, Err: err}
	}
	return &UnavailableError{Key: a.key, Err: err}
}

func (a *changeAttempt) run(ctx context.Context) (ChangeResult, error) {
	current, err := a.store.Load(ctx, a.change.Team)
	if err != nil {
		return ChangeResult{}, err
	}
	a.current = current.Revision
	fingerprint := strconv.FormatUint(xxhash.Sum64String(a.change.Request), 16)
	if record, revision, found := current.find(a.change.ID); found {
		if record.fingerprint != fingerprint {
			return ChangeResult{}, &ChangeIDError{Key: a.key, ChangeID: a.change.ID}
		}
		return ChangeResult{Revision: revision, Diff: record.Diff, AlreadyApplied: !a.uncertain}, nil
	}
	if a.uncertain && len(current.Changes) >= keptChanges && current.Changes[0].ReplacedRevision > a.sent {
		return ChangeResult{}, &UnknownOutcomeError{
			Key: a.key, ChangeID: a.change.ID, Err: errors.New("too many changes came after it"),
		}
	}
	// The document's changes would contain an earlier write of this change, so
	// no such write has taken effect; one still under way expects a revision
	// that the document no longer has once the next write succeeds.
	if !a.change.AnyRevision && current.Revision != a.change.ExpectedRevision {
		return ChangeResult{}, &ConflictError{Key: a.key, ExpectedRevision: a.change.ExpectedRevision, ActualRevision: current.Revision}
	}
	text, err := a.change.Update(current)
	if err != nil {
		return ChangeResult{}, &makeError{err: err}
	}
	diff := rattansettings.Diff(current.INI, text)
	next := current
	next.INI = text
	next.Changes = append(next.Changes[:len(next.Changes):len(next.Changes)], ChangeRecord{
		ID: a.change.ID, Author: a.change.Author, Time: a.store.clock.Now(), Diff: diff,
		ReplacedRevision: current.Revision, fingerprint: fingerprint,
	})
	value, err := next.encode()
	if err != nil {
		return ChangeResult{}, err
	}
	request := &rattanv1.PutRequest{Key: a.key, Value: value, ExpectedRevision: current.Revision}
	revision, err := a.store.put(ctx, request)
	if err != nil {
		if isUncertain(err) {
			a.uncertain, a.sent = true, current.Revision
		}
		return ChangeResult{}, err
	}
	return ChangeResult{Revision: revision, Diff: diff}, nil
}
