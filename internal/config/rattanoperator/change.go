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

// changeIDPattern is the form of change ids, which become part of stored values
// and messages.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// A proposal is a change that an operator asks for.
type proposal struct {
	who  operator
	team string
	id   string
	// request identifies the change for repeats under the same id.
	request     string
	expected    uint64
	anyRevision bool
	// makeText returns the new text.
	makeText func(current string) (string, error)
}

// prepare checks the change id, or makes one.
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

// apply checks a proposal against all stored documents and stores it.
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
	if err := confirmCredential(p.who, stored); err != nil {
		return rattanstore.ChangeResult{}, err
	}
	return s.store.Change(ctx, rattanstore.Change{
		Team: p.team, ID: p.id, Author: p.who.author(), Request: p.request,
		ExpectedRevision: p.expected, AnyRevision: p.anyRevision,
		Update: func(current rattanstore.StoredDocument) (string, error) { return s.checked(p, stored, current) },
	})
}

// dryRun does everything that apply does but store.
func (s *Service) dryRun(ctx context.Context, p proposal) (rattanstore.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	stored, err := s.storedSnapshot(ctx)
	if err != nil {
		return rattanstore.ChangeResult{}, err
	}
	if err := confirmCredential(p.who, stored); err != nil {
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
	text, err := s.checked(p, stored, current)
	if err != nil {
		return rattanstore.ChangeResult{}, err
	}
	return rattanstore.ChangeResult{Revision: current.Revision, Diff: rattansettings.Diff(current.INI, text)}, nil
}

// checked returns the new text of the current document after all checks.
func (s *Service) checked(p proposal, stored *rattansettings.Snapshot, current rattanstore.StoredDocument) (string, error) {
	text, err := p.makeText(current.INI)
	if err != nil {
		return "", err
	}
	after, err := rattansettings.ParseDocument(p.team, text)
	if err != nil {
		return "", err
	}
	// A stored document that does not parse can only be replaced as a whole.
	before, err := current.Parse()
	if err != nil {
		before = nil
	}
	if err := rattansettings.CheckChange(before, after, s.keys.IsWithdrawn); err != nil {
		return "", err
	}
	if err := checkTogether(stored, before, after); err != nil {
		return "", err
	}
	return text, nil
}

// checkTogether compares the stored documents with and without the change.
func checkTogether(stored *rattansettings.Snapshot, before, after *rattansettings.Document) error {
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
