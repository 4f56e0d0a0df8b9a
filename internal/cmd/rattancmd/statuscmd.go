package rattancmd

import (
	"context"
	"strconv"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func newStatusCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the daemons of the fleet",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := client.GetFleet(ctx, connect.NewRequest(&rattanv1.GetFleetRequest{}))
				if err != nil {
					return err
				}
				header := []string{"VM", "FAILURE DOMAIN", "STATE", "SILENT MS", "REVISION", "RUNNING"}
				return c.print(response.Msg, header, func() [][]string { return daemonRows(response.Msg.GetDaemons()) })
			})
		},
	}
	c.addOperatorFlags(cmd)
	return cmd
}

func daemonRows(daemons []*rattanv1.Daemon) [][]string {
	rows := make([][]string, 0, len(daemons))
	for _, daemon := range daemons {
		rows = append(rows, []string{
			daemon.GetVm(),
			daemon.GetFailureDomain(),
			daemon.GetState(),
			strconv.FormatUint(daemon.GetSilentMs(), 10),
			strconv.FormatUint(daemon.GetRevision(), 10),
			strconv.FormatUint(uint64(daemon.GetRunning()), 10),
		})
	}
	return rows
}
