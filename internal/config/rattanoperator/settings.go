package rattanoperator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/config/rattanstore"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

var errNotFound = errors.New("no document, section or key at this path; accepted: team, team/section or team/section/key")

// GetSettings returns the stored documents, or a section or key of one. While the
// platform is unavailable it returns the settings in force in this daemon.
func (s *Service) GetSettings(ctx context.Context, request *connect.Request[rattanv1.GetSettingsRequest]) (*connect.Response[rattanv1.GetSettingsResponse], error) {
	team, section, _ := strings.Cut(request.Msg.GetPath(), "/")
	section, key, _ := strings.Cut(section, "/")
	if team == "" {
		return s.getAll(ctx, request)
	}
	if _, err := s.authorize(ctx, request.Header(), team); err != nil {
		return nil, err
	}
	stored, err := s.load(ctx, team)
	if err != nil {
		return nil, wireError(err)
	}
	text, found := stored.INI, stored.Revision > 0
	if section != "" {
		text, found = rattansettings.SectionText(stored.INI, section, key)
	}
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, errNotFound)
	}
	document := &rattanv1.SettingsDocument{Team: team, Ini: text, Revision: stored.Revision}
	return connect.NewResponse(&rattanv1.GetSettingsResponse{Documents: []*rattanv1.SettingsDocument{document}}), nil
}

// getAll returns all documents for team root, and only the team's own document for
// any other team.
func (s *Service) getAll(ctx context.Context, request *connect.Request[rattanv1.GetSettingsRequest]) (*connect.Response[rattanv1.GetSettingsResponse], error) {
	op, err := s.authenticate(ctx, request.Header())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	all, _, err := s.store.List(ctx)
	if err != nil {
		all = inForce(s.settings.Snapshot())
	}
	response := &rattanv1.GetSettingsResponse{}
	for _, stored := range all {
		if op.mayAccess(stored.Team) {
			response.Documents = append(response.Documents, &rattanv1.SettingsDocument{
				Team: stored.Team, Ini: stored.INI, Revision: stored.Revision,
			})
		}
	}
	return connect.NewResponse(response), nil
}

// inForce returns the documents of a snapshot in the form of stored documents.
func inForce(snapshot *rattansettings.Snapshot) []rattanstore.StoredDocument {
	var all []rattanstore.StoredDocument
	for _, document := range snapshot.Documents() {
		all = append(all, rattanstore.StoredDocument{Team: document.Team(), INI: document.Text(), Revision: document.Revision()})
	}
	return all
}

// load reads a document from the platform, or returns the one in force in this
// daemon when that read fails.
func (s *Service) load(ctx context.Context, team string) (rattanstore.StoredDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	stored, err := s.store.Load(ctx, team)
	if err == nil {
		return stored, nil
	}
	document, found := s.settings.Snapshot().Document(team)
	if !found {
		return rattanstore.StoredDocument{}, err
	}
	return rattanstore.StoredDocument{Team: team, INI: document.Text(), Revision: document.Revision()}, nil
}

// ApplySettings replaces a document.
func (s *Service) ApplySettings(ctx context.Context, request *connect.Request[rattanv1.ApplySettingsRequest]) (*connect.Response[rattanv1.ApplySettingsResponse], error) {
	op, err := s.authorize(ctx, request.Header(), request.Msg.GetTeam())
	if err != nil {
		return nil, err
	}
	ini := request.Msg.GetIni()
	return s.changeResponse(ctx, request.Msg.GetDryRun(), proposal{
		op: op, team: request.Msg.GetTeam(), id: request.Msg.GetChangeId(),
		request: "apply\n" + ini, expected: request.Msg.GetExpectedRevision(),
		makeText: func(string) (string, error) { return ini, nil },
	})
}

// EditSettings changes single keys of a document.
func (s *Service) EditSettings(ctx context.Context, request *connect.Request[rattanv1.EditSettingsRequest]) (*connect.Response[rattanv1.ApplySettingsResponse], error) {
	op, err := s.authorize(ctx, request.Header(), request.Msg.GetTeam())
	if err != nil {
		return nil, err
	}
	if len(request.Msg.GetEdits()) == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the request has no edits; accepted: at least one"))
	}
	var edits []rattansettings.Edit
	var content strings.Builder
	for _, edit := range request.Msg.GetEdits() {
		edits = append(edits, rattansettings.Edit{
			Section: edit.GetSection(), Key: edit.GetKey(), Value: edit.GetValue(), Remove: edit.GetRemove(),
		})
		fmt.Fprintf(&content, "\n%q %q %q %t", edit.GetSection(), edit.GetKey(), edit.GetValue(), edit.GetRemove())
	}
	return s.changeResponse(ctx, request.Msg.GetDryRun(), proposal{
		op: op, team: request.Msg.GetTeam(), id: request.Msg.GetChangeId(),
		request:  "edit" + content.String(),
		expected: request.Msg.GetExpectedRevision(), anyRevision: request.Msg.GetExpectedRevision() == 0,
		makeText: func(current string) (string, error) { return rattansettings.EditText(current, edits...) },
	})
}

// changeResponse applies a proposal, or only checks it on a dry run. After a change
// is stored it waits for the live daemons as awaitAll does.
func (s *Service) changeResponse(ctx context.Context, dryRun bool, p proposal) (*connect.Response[rattanv1.ApplySettingsResponse], error) {
	if dryRun {
		applied, err := s.dryRun(ctx, p)
		if err != nil {
			return nil, wireError(err)
		}
		return connect.NewResponse(&rattanv1.ApplySettingsResponse{Revision: applied.Revision, Diff: applied.Diff}), nil
	}
	applied, err := s.apply(ctx, p)
	if err != nil {
		return nil, wireError(err)
	}
	confirmed := s.awaitAll(ctx, p.team, applied.Revision)
	return connect.NewResponse(&rattanv1.ApplySettingsResponse{
		Revision: applied.Revision, Diff: applied.Diff,
		Confirmed: confirmed.count, Daemons: confirmed.daemons, Missing: confirmed.missing,
	}), nil
}

// ListHistory returns the stored changes of a document, oldest first.
func (s *Service) ListHistory(ctx context.Context, request *connect.Request[rattanv1.ListHistoryRequest]) (*connect.Response[rattanv1.ListHistoryResponse], error) {
	team := request.Msg.GetTeam()
	if _, err := s.authorize(ctx, request.Header(), team); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	stored, err := s.store.Load(ctx, team)
	if err != nil {
		return nil, wireError(err)
	}
	response := &rattanv1.ListHistoryResponse{}
	for _, change := range stored.Changes {
		response.Changes = append(response.Changes, &rattanv1.Change{
			ChangeId: change.ID, Team: team, Author: change.Author, UnixMs: change.Time.UnixMilli(),
			Diff: change.Diff, ReplacedRevision: change.ReplacedRevision,
		})
	}
	return connect.NewResponse(response), nil
}

// WatchSettings waits until the team's document is in force in this daemon with a
// revision above the given one. It returns no document when the wait ends first. A
// response does not mean that other daemons have the revision in force.
func (s *Service) WatchSettings(ctx context.Context, request *connect.Request[rattanv1.WatchSettingsRequest]) (*connect.Response[rattanv1.GetSettingsResponse], error) {
	team := request.Msg.GetTeam()
	if _, err := s.authorize(ctx, request.Header(), team); err != nil {
		return nil, err
	}
	response := &rattanv1.GetSettingsResponse{}
	s.poll(ctx, time.Duration(request.Msg.GetMaxWaitMs())*time.Millisecond, func() bool {
		document, found := s.settings.Snapshot().Document(team)
		if !found || document.Revision() <= request.Msg.GetAfterRevision() {
			return false
		}
		response.Documents = []*rattanv1.SettingsDocument{{
			Team: team, Ini: document.Text(), Revision: document.Revision(),
		}}
		return true
	})
	return connect.NewResponse(response), nil
}
