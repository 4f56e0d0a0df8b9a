package rattancmd

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func newDumpCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "dump [PART]",
		Short: "Print the state of one daemon as JSON, without any key",
		Args:  maximumArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := &rattanv1.DumpRequest{Part: strings.Join(args, "")}
			return c.withOperator(cmd.Context(), func(ctx context.Context, client rattanv1connect.OperatorServiceClient) error {
				response, err := client.Dump(ctx, connect.NewRequest(request))
				if err != nil {
					return err
				}
				fmt.Fprintln(c.stdout, string(response.Msg.GetJson()))
				return nil
			})
		},
	}
	c.addOperatorFlags(cmd)
	return cmd
}
