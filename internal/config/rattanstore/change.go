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
	// Request identifies the content of the change, so that a different request
	// under the same id is detected. Only its hash is stored.
	Request string
	// ExpectedRevision is the revision that the document must have; 0 means that the
	// document must not exist. It is not used with AnyRevision.
	ExpectedRevision uint64
	AnyRevision      bool
	// Update returns the new text. It runs again when another change was stored
	// first. Its error ends the change and is returned unchanged.
	Update func(current StoredDocument) (string, error)
}

// ChangeResult is the outcome of a change that took effect.
type ChangeResult struct {
	// Revision is the document's revision that the change created.
	Revision uint64
	Diff     []string
	// AlreadyApplied is true when an earlier call had already applied the change.
	AlreadyApplied bool
}

// Change applies a change by compare-and-swap. When the response to a write is
// lost, Change reads the document again and looks for the change id. It retries
// until ctx ends; ctx should have a deadline. Errors are *ConflictError,
// *ChangeIDError, *TooLargeError, *CorruptError, *UnavailableError (not applied),
// *UnknownOutcomeError (may have been applied) and those of Change.Update.
func (s *Store) Change(ctx context.Context, change Change) (ChangeResult, error) {
	attempt := changeAttempt{store: s, change: change, key: rattansettings.DocumentPath(change.Team)}
	retry := s.newBackoff()
	for {
		applied, err := attempt.run(ctx)
		if err == nil {
			return applied, nil
		}
		if !isTransient(err) {
			return ChangeResult{}, attempt.final(err)
		}
		if retry.wait(ctx) != nil {
			return ChangeResult{}, attempt.giveUp(err)
		}
	}
}

// A changeAttempt is the state of one change, kept from one attempt to the next.
type changeAttempt struct {
	store  *Store
	change Change
	key    string
	// uncertain is true after a write whose outcome is not known;
	// uncertainRevision is the revision that the last such write expected.
	uncertain         bool
	uncertainRevision uint64
	// current is the revision of the document last read.
	current uint64
}

// final returns the error of a change after an attempt that must not be retried.
// While the document still has the revision that an uncertain write expected, that
// write may yet be applied, so the outcome is unknown.
func (a *changeAttempt) final(err error) error {
	if a.uncertain && a.current == a.uncertainRevision {
		return a.giveUp(err)
	}
	var updateErr *updateError
	if errors.As(err, &updateErr) {
		return updateErr.err
	}
	return err
}

// giveUp returns the error of a change that ends without a result: the outcome is
// unknown after an uncertain write, else nothing was changed.
func (a *changeAttempt) giveUp(err error) error {
	if a.uncertain {
		return &UnknownOutcomeError{Key: a.key, ChangeID: a.change.ID, Err: err}
	}
	return &UnavailableError{Key: a.key, Err: err}
}

// run makes one attempt: it reads the document, returns the stored result when the
// change id is already there, and else writes the new text.
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
	if a.uncertain && len(current.Changes) >= keptChanges && current.Changes[0].ReplacedRevision > a.uncertainRevision {
		return ChangeResult{}, &UnknownOutcomeError{
			Key: a.key, ChangeID: a.change.ID, Err: errors.New("too many later changes to find it by its id"),
		}
	}
	// No earlier write of this change has taken effect, because its id would be
	// among the document's changes. An earlier write that is still under way fails
	// once the next write succeeds, because the document then no longer has the
	// revision that it expects.
	if !a.change.AnyRevision && current.Revision != a.change.ExpectedRevision {
		return ChangeResult{}, &ConflictError{Key: a.key, ExpectedRevision: a.change.ExpectedRevision, ActualRevision: current.Revision}
	}
	text, err := a.change.Update(current)
	if err != nil {
		return ChangeResult{}, &updateError{err: err}
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
			a.uncertain, a.uncertainRevision = true, current.Revision
		}
		return ChangeResult{}, err
	}
	return ChangeResult{Revision: revision, Diff: diff}, nil
}
