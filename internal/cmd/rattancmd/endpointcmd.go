package rattancmd

import "github.com/spf13/cobra"

func newEndpointCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "Take endpoints out of service and return them",
	}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(
		newDrainCmd(c, "take-out", "Take an endpoint out of service", "endpoint.", true, c.endpointProgress),
		newDrainCmd(c, "return", "Return an endpoint to service", "endpoint.", false, nil),
	)
	return cmd
}
