package rattanoperator

import (
	"context"
	"crypto/rand"
	"regexp"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
)

// changeIDPattern matches valid change ids. They are restricted because they become
// part of stored values and messages.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// A proposal is a change of a team's document that an operator requests.
type proposal struct {
	op   operator
	team string
	id   string
	// request identifies the content of the change, so that a different request
	// under the same id is detected.
	request string
	// expected is the revision that the document must have; it is not used with
	// anyRevision.
	expected    uint64
	anyRevision bool
	// makeText returns the new text of the document.
	makeText func(current string) (string, error)
}

// prepare checks the change id, or generates one if the operator sent none.
func (p *proposal) prepare() error {
	if p.id == "" {
		p.id = rand.Text()
		return nil
	}
	if !changeIDPattern.MatchString(p.id) {
		return connect.NewError(connect.CodeInvalidArgument,
			errors.New(`the change id is not valid; accepted: 1 to 64 letters, digits, ".", "_", ":" and "-"`))
	}
	return nil
}

// apply checks a proposal against all stored documents and stores the new text.
func (s *Service) apply(ctx context.Context, p proposal) (rattanstore.ChangeResult, error) {
	if err := p.prepare(); err != nil {
		return rattanstore.ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	stored, err := s.storedSnapshot(ctx)
	if err != nil {
		return rattanstore.ChangeResult{}, err
	}
	if err := recheckCredential(p.op, stored); err != nil {
		return rattanstore.ChangeResult{}, err
	}
	return s.store.Change(ctx, rattanstore.Change{
		Team: p.team, ID: p.id, Author: p.op.author(), Request: p.request,
		ExpectedRevision: p.expected, AnyRevision: p.anyRevision,
		Update: func(current rattanstore.StoredDocument) (string, error) { return s.checkedText(p, stored, current) },
	})
}

// dryRun makes the checks of apply, except that of the change id, and stores
// nothing. The result has the current revision and the diff.
func (s *Service) dryRun(ctx context.Context, p proposal) (rattanstore.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	stored, err := s.storedSnapshot(ctx)
	if err != nil {
		return rattanstore.ChangeResult{}, err
	}
	if err := recheckCredential(p.op, stored); err != nil {
		return rattanstore.ChangeResult{}, err
	}
	current, err := s.store.Load(ctx, p.team)
	if err != nil {
		return rattanstore.ChangeResult{}, err
	}
	if !p.anyRevision && current.Revision != p.expected {
		return rattanstore.ChangeResult{}, &rattanstore.ConflictError{
			Key: rattansettings.DocumentPath(p.team), ExpectedRevision: p.expected, ActualRevision: current.Revision,
		}
	}
	text, err := s.checkedText(p, stored, current)
	if err != nil {
		return rattanstore.ChangeResult{}, err
	}
	return rattanstore.ChangeResult{Revision: current.Revision, Diff: rattansettings.Diff(current.INI, text)}, nil
}

// checkedText returns the proposal's new text for the current document, or the
// error of the first check that it does not pass.
func (s *Service) checkedText(p proposal, stored *rattansettings.Snapshot, current rattanstore.StoredDocument) (string, error) {
	text, err := p.makeText(current.INI)
	if err != nil {
		return "", err
	}
	after, err := rattansettings.ParseDocument(p.team, text)
	if err != nil {
		return "", err
	}
	// A stored document that does not parse counts as absent in the checks, so that it
	// can be replaced as a whole.
	before, err := current.Parse()
	if err != nil {
		before = nil
	}
	if err := rattansettings.CheckChange(before, after, s.keys.IsWithdrawn); err != nil {
		return "", err
	}
	if err := checkReferences(stored, before, after); err != nil {
		return "", err
	}
	return text, nil
}

// checkReferences returns an error when references between documents hold before
// the change and do not hold after it.
func checkReferences(stored *rattansettings.Snapshot, before, after *rattansettings.Document) error {
	var others []*rattansettings.Document
	for _, document := range stored.Documents() {
		if document.Team() != after.Team() {
			others = append(others, document)
		}
	}
	without := rattansettings.NewSnapshot(others...)
	if before != nil {
		without, _ = without.With(before)
	}
	return rattansettings.CheckReferences(without, rattansettings.NewSnapshot(append(others, after)...))
}
