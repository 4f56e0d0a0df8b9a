package rattancmd

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func newSettingsCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Read and change the shared settings of a team",
	}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(
		newSettingsGetCmd(c),
		newSettingsSetCmd(c),
		newSettingsApplyCmd(c),
		newSettingsHistoryCmd(c),
		newSettingsWatchCmd(c),
	)
	return cmd
}

func newSettingsGetCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:     "get [TEAM[/SECTION[/KEY]]]",
		Short:   "Print settings under a path",
		Example: "  rattanstream settings get shop/client_account.dealer-1/rate",
		Args:    maximumArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := strings.Join(args, "")
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := client.GetSettings(ctx, connect.NewRequest(&rattanv1.GetSettingsRequest{Path: path}))
				if err != nil {
					return err
				}
				return c.printDocuments(response.Msg)
			})
		},
	}
}

func (c *config) printDocuments(response *rattanv1.GetSettingsResponse) error {
	if c.output == outputJSON {
		return c.printJSON(response)
	}
	for _, document := range response.GetDocuments() {
		fmt.Fprintf(c.stdout, "# %s, revision %d\n%s\n", document.GetTeam(), document.GetRevision(), strings.TrimRight(document.GetIni(), "\n"))
	}
	return nil
}

func newSettingsSetCmd(c *config) *cobra.Command {
	var revision uint64
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "set SECTION/KEY=VALUE...",
		Short: "Set single keys; an empty value removes the key",
		Long: "Set single keys of the team's document, all or none. An empty value removes the key.\n" +
			"There is no command that starts an editor: get the document, change the file, and\n" +
			"apply it with --expect-revision.",
		Example: "  rattanstream settings set --team shop client_account.dealer-1/rate=300",
		Args:    minimumArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edits, err := parseEdits(args)
			if err != nil {
				return err
			}
			return c.editSettings(cmd.Context(), edits, revision, dryRun)
		},
	}
	cmd.Flags().Uint64Var(&revision, "expect-revision", 0, "revision that the document must have; 0 means the newest")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check and print the difference only")
	return cmd
}

func parseEdits(args []string) ([]*rattanv1.SettingsEdit, error) {
	edits := make([]*rattanv1.SettingsEdit, 0, len(args))
	for _, arg := range args {
		path, value, ok := strings.Cut(arg, "=")
		slash := strings.LastIndex(path, "/")
		if !ok || slash <= 0 || slash == len(path)-1 {
			return nil, usageErrorf("%q: expected SECTION/KEY=VALUE", arg)
		}
		edit := setEdit(path[:slash], path[slash+1:], value)
		edit.Remove = value == ""
		edits = append(edits, edit)
	}
	return edits, nil
}

func newSettingsApplyCmd(c *config) *cobra.Command {
	var revision uint64
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the team's document by an INI file",
		Long: "Replace the team's document by an INI file. The whole file is checked first and\n" +
			"every invalid entry is reported. The change is refused when the document has\n" +
			"another revision than --expect-revision.",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return invalidError{errors.Wrap(err, "read settings")}
			}
			return c.apply(cmd.Context(), string(text), revision, dryRun)
		},
	}
	cmd.Flags().Uint64Var(&revision, "expect-revision", 0, "revision that the document must have; 0 means that it is new")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check and print the difference only")
	return cmd
}

func (c *config) apply(ctx context.Context, text string, revision uint64, dryRun bool) error {
	request := &rattanv1.ApplySettingsRequest{
		Team:             c.operator.team,
		Ini:              text,
		ExpectedRevision: revision,
		ChangeId:         newChangeID(),
		DryRun:           dryRun,
	}
	return c.withOperator(ctx, func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
		response, err := retryUnavailable(func() (*connect.Response[rattanv1.ApplySettingsResponse], error) {
			return client.ApplySettings(ctx, connect.NewRequest(request))
		})
		if err != nil {
			return err
		}
		return c.reportChange(response.Msg, dryRun)
	})
}

func newSettingsHistoryCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the last changes of the team's document",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				request := &rattanv1.ListHistoryRequest{Team: c.operator.team}
				response, err := client.ListHistory(ctx, connect.NewRequest(request))
				if err != nil {
					return err
				}
				return c.print(response.Msg, []string{"TIME", "AUTHOR", "REPLACED", "CHANGE", "DIFF"}, func() [][]string {
					return historyRows(response.Msg.GetChanges())
				})
			})
		},
	}
}

func historyRows(changes []*rattanv1.Change) [][]string {
	rows := make([][]string, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, []string{
			time.UnixMilli(change.GetUnixMs()).UTC().Format(time.RFC3339),
			change.GetAuthor(),
			strconv.FormatUint(change.GetReplacedRevision(), 10),
			change.GetChangeId(),
			strings.Join(change.GetDiff(), " | "),
		})
	}
	return rows
}

func newSettingsWatchCmd(c *config) *cobra.Command {
	var changes int
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Print the team's document each time it changes",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.watch(cmd.Context(), changes)
		},
	}
	cmd.Flags().IntVar(&changes, "changes", 0, "end after this many changes; 0 means never")
	return cmd
}

// watch prints the document now and after each change. It ends with ctx, or after
// the given number of changes unless that is zero.
func (c *config) watch(ctx context.Context, changes int) error {
	const wait = 10 * time.Second
	client, err := c.operator.client()
	if err != nil {
		return err
	}
	var revision uint64
	for printed := 0; changes == 0 || printed < changes; {
		response, err := client.WatchSettings(ctx, connect.NewRequest(&rattanv1.WatchSettingsRequest{
			Team:          c.operator.team,
			AfterRevision: revision,
			MaxWaitMs:     uint32(wait.Milliseconds()),
		}))
		if ctx.Err() != nil {
			return nil // an interrupt is the ordinary end of a watch
		}
		if err != nil {
			return err
		}
		for _, document := range response.Msg.GetDocuments() {
			revision = max(revision, document.GetRevision())
			printed++
		}
		if err := c.printDocuments(response.Msg); err != nil {
			return err
		}
	}
	return nil
}
