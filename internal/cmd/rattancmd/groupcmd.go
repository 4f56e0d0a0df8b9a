package rattancmd

import (
	"context"
	"fmt"
	"strconv"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func newGroupCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "group",
		Short: "Show groups and switch their primaries",
	}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(newGroupListCmd(c), newGroupSwitchCmd(c))
	return cmd
}

func newGroupListCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List groups with primary, term and positions",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := client.GetGroups(ctx, connect.NewRequest(&rattanv1.GetGroupsRequest{}))
				if err != nil {
					return err
				}
				header := []string{"GROUP", "ENDPOINT", "FAILURE DOMAIN", "ROLE", "TERM", "INDEX", "REACHABLE", "DRAINED", "BREAKER", "RUNNING"}
				return c.print(response.Msg, header, func() [][]string { return groupRows(response.Msg.GetGroups()) })
			})
		},
	}
}

func groupRows(groups []*rattanv1.GroupState) [][]string {
	var rows [][]string
	for _, group := range groups {
		for _, endpoint := range group.GetEndpoints() {
			rows = append(rows, []string{
				group.GetGroup(),
				endpoint.GetName(),
				endpoint.GetFailureDomain(),
				endpoint.GetRole(),
				strconv.FormatUint(endpoint.GetTerm(), 10),
				strconv.FormatUint(endpoint.GetIndex(), 10),
				yesNo(endpoint.GetReachable()),
				yesNo(endpoint.GetDrained()),
				endpoint.GetBreaker(),
				strconv.FormatUint(uint64(endpoint.GetRunning()), 10),
			})
		}
	}
	return rows
}

func newGroupSwitchCmd(c *config) *cobra.Command {
	var endpoint string
	cmd := &cobra.Command{
		Use:     "switch GROUP",
		Short:   "Make another endpoint the primary of a group",
		Example: "  rattanstream group switch root/orders --to root/orders-b",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := &rattanv1.SwitchPrimaryRequest{Group: args[0], Endpoint: endpoint}
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := client.SwitchPrimary(ctx, connect.NewRequest(request))
				if err != nil {
					return err
				}
				if c.output == outputJSON {
					return c.printJSON(response.Msg)
				}
				fmt.Fprintf(c.stdout, "%s: primary is %s in term %d after %d ms\n",
					args[0], response.Msg.GetPrimary(), response.Msg.GetTerm(), response.Msg.GetGapMs())
				return nil
			})
		},
	}
	cmd.Flags().StringVar(&endpoint, "to", "", "full name of the endpoint to promote; empty lets the daemon choose")
	return cmd
}
