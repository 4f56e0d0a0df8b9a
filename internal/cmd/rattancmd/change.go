package rattancmd

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

// changeAttempts is how often a change is sent at most when its response is lost.
// All attempts have the same change ID, so that the change is applied once.
const changeAttempts = 3

// editSettings applies edits to the team's document and reports on how many VMs the
// change is in force.
func (c *config) editSettings(ctx context.Context, edits []*rattanv1.SettingsEdit, expectedRevision uint64, dryRun bool) error {
	return c.withOperator(ctx, func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
		response, err := c.sendEdits(ctx, client, edits, expectedRevision, dryRun)
		if err != nil {
			return err
		}
		return c.reportChange(response, dryRun)
	})
}

func (c *config) sendEdits(ctx context.Context, client rattanv1connect.OperatorServiceClient, edits []*rattanv1.SettingsEdit, expectedRevision uint64, dryRun bool) (*rattanv1.ApplySettingsResponse, error) {
	request := &rattanv1.EditSettingsRequest{
		Team:             c.operator.team,
		Edits:            edits,
		ExpectedRevision: expectedRevision,
		ChangeId:         newChangeID(),
		DryRun:           dryRun,
	}
	response, err := retryUnavailable(func() (*connect.Response[rattanv1.ApplySettingsResponse], error) {
		return client.EditSettings(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// retryUnavailable calls f again, up to changeAttempts calls in all, as long as it
// fails with CodeUnavailable. f may have taken effect when it fails so, and only its
// response been lost; repeating it must be safe.
func retryUnavailable[T any](f func() (T, error)) (T, error) {
	var result T
	var err error
	for range changeAttempts {
		result, err = f()
		if connect.CodeOf(err) != connect.CodeUnavailable {
			break
		}
	}
	return result, err
}

// reportChange prints the difference and on how many VMs the change is in force. It
// returns a pendingError if VMs have not confirmed the change yet.
func (c *config) reportChange(response *rattanv1.ApplySettingsResponse, dryRun bool) error {
	if c.output == outputJSON {
		if err := c.printJSON(response); err != nil {
			return err
		}
	} else {
		for _, line := range response.GetDiff() {
			fmt.Fprintln(c.stdout, line)
		}
	}
	if dryRun {
		return nil
	}
	if c.output == outputTable {
		fmt.Fprintf(c.stdout, "revision %d in force on %d of %d VMs\n", response.GetRevision(), response.GetConfirmed(), response.GetDaemons())
	}
	if len(response.GetMissing()) > 0 {
		return pendingError{fmt.Sprintf("revision %d is stored and not yet confirmed by VMs %s",
			response.GetRevision(), strings.Join(response.GetMissing(), ", "))}
	}
	return nil
}

func setEdit(section, key, value string) *rattanv1.SettingsEdit {
	return &rattanv1.SettingsEdit{Section: section, Key: key, Value: value}
}
