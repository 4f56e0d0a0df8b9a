package rattancmd

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// editAttempts is how often an edit of a section is tried at most when another
// change is stored between its read and its write of the document.
const editAttempts = 3

// editSection applies edits to a section of the team's document. The section has to
// exist already if mustExist is true, and must not exist yet if it is false.
func (c *config) editSection(ctx context.Context, section string, mustExist bool, edits []*rattanv1.SettingsEdit) error {
	return c.withOperator(ctx, func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
		var response *rattanv1.ApplySettingsResponse
		var err error
		for range editAttempts {
			response, err = c.tryEditSection(ctx, client, section, mustExist, edits)
			if connect.CodeOf(err) != connect.CodeAborted {
				break
			}
		}
		if err != nil {
			return err
		}
		return c.reportChange(response, false)
	})
}

func (c *config) tryEditSection(ctx context.Context, client rattanv1connect.OperatorServiceClient, section string, mustExist bool, edits []*rattanv1.SettingsEdit) (*rattanv1.ApplySettingsResponse, error) {
	document, err := c.loadDocument(ctx, client)
	if err != nil {
		return nil, err
	}
	_, found := rattansettings.SectionText(document.GetIni(), section, "")
	switch {
	case found && !mustExist:
		return nil, invalidError{errors.Errorf("team %s already has [%s]", c.operator.team, section)}
	case !found && mustExist:
		return nil, invalidError{errors.Errorf("team %s has no [%s]", c.operator.team, section)}
	}
	return c.sendEdits(ctx, client, edits, document.GetRevision(), false)
}

// loadDocument returns the team's document; it is empty with revision 0 when
// none is stored.
func (c *config) loadDocument(ctx context.Context, client rattanv1connect.OperatorServiceClient) (*rattanv1.SettingsDocument, error) {
	response, err := client.GetSettings(ctx, connect.NewRequest(&rattanv1.GetSettingsRequest{Path: c.operator.team}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return &rattanv1.SettingsDocument{Team: c.operator.team}, nil
	}
	if err != nil {
		return nil, err
	}
	if len(response.Msg.GetDocuments()) != 1 {
		return nil, errors.Errorf("the daemon returned %d documents for team %s", len(response.Msg.GetDocuments()), c.operator.team)
	}
	return response.Msg.GetDocuments()[0], nil
}
