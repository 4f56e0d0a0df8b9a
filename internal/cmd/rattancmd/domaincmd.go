package rattancmd

import (
	"context"
	"fmt"
	"strconv"
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
		newDrainCmd(c, "take-out", "Take a failure domain out of service", "failure_domain.", true),
		newDrainCmd(c, "return", "Return a failure domain to service", "failure_domain.", false),
		newDomainListCmd(c),
	)
	return cmd
}

// newDrainCmd returns a command that sets or clears "drained" of a section.
func newDrainCmd(c *config, name, short, prefix string, drained bool) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   name + " NAME",
		Short: short,
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edit := setEdit(prefix+args[0], "drained", strconv.FormatBool(drained))
			if err := c.edit(cmd.Context(), []*rattanv1.SettingsEdit{edit}, 0, false); err != nil {
				return err
			}
			if !drained || prefix != "failure_domain." {
				return nil
			}
			return c.waitDrained(cmd.Context(), args[0], wait)
		},
	}
	if drained {
		cmd.Flags().DurationVar(&wait, "wait", 0, "report progress for this time, or until nothing runs there")
	}
	return cmd
}

// waitDrained reports how much runs in the failure domain until nothing does.
func (c *config) waitDrained(ctx context.Context, name string, wait time.Duration) error {
	const interval = 500 * time.Millisecond
	client, err := c.operator.client()
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(interval) {
		response, err := client.GetFleet(ctx, connect.NewRequest(&rattanv1.GetFleetRequest{}))
		if err != nil {
			return err
		}
		for _, domain := range response.Msg.GetFailureDomains() {
			if domain.GetName() != name {
				continue
			}
			fmt.Fprintf(c.stdout, "%s: %d running, %d started in the last second\n", name, domain.GetRunning(), domain.GetStarted())
			if domain.GetRunning() == 0 && domain.GetStarted() == 0 {
				return nil
			}
		}
	}
	return nil
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
