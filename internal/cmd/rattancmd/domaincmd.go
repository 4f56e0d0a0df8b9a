package rattancmd

import (
	"context"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func newDomainCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "domain",
		Short: "Take failure domains out of service and return them",
	}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(
		newDrainCmd(c, "take-out", "Take a failure domain out of service", "failure_domain.", true, c.domainProgress),
		newDrainCmd(c, "return", "Return a failure domain to service", "failure_domain.", false, nil),
		newDomainListCmd(c),
	)
	return cmd
}

// newDrainCmd returns a command that sets the key "drained" of a section to the value
// of drained. The section's name is prefix and the argument of the command. progress
// is used only where drained is true, and may be nil otherwise.
func newDrainCmd(c *config, name, short, prefix string, drained bool, progress progressFunc) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   name + " NAME",
		Short: short,
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			section := prefix + args[0]
			edit := setEdit(section, "drained", strconv.FormatBool(drained))
			if err := c.editSection(cmd.Context(), section, true, []*rattanv1.SettingsEdit{edit}); err != nil {
				return err
			}
			if wait == 0 {
				return nil
			}
			return c.waitDrained(cmd.Context(), strings.TrimSuffix(prefix, ".")+" "+args[0], wait, func(ctx context.Context) (drainProgress, error) {
				return progress(ctx, args[0])
			})
		},
	}
	if drained {
		cmd.Flags().DurationVar(&wait, "wait", 0, "report progress for this time, or until nothing runs there")
	}
	return cmd
}

func newDomainListCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List failure domains with the work on their endpoints",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := client.GetFleet(ctx, connect.NewRequest(&rattanv1.GetFleetRequest{}))
				if err != nil {
					return err
				}
				return c.print(response.Msg, []string{"FAILURE DOMAIN", "DRAINED", "RUNNING", "STARTED/S"}, func() [][]string {
					return domainRows(response.Msg.GetFailureDomains())
				})
			})
		},
	}
}

func domainRows(domains []*rattanv1.DomainState) [][]string {
	rows := make([][]string, 0, len(domains))
	for _, domain := range domains {
		rows = append(rows, []string{
			domain.GetName(),
			yesNo(domain.GetDrained()),
			strconv.FormatUint(uint64(domain.GetRunning()), 10),
			strconv.FormatUint(uint64(domain.GetStarted()), 10),
		})
	}
	return rows
}
