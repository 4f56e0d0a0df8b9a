package rattancmd

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

func newRouteCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "route",
		Short: "Declare which reads may be stale and which routes are open",
	}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(newRouteStaleCmd(c), newRouteOpenCmd(c), newRouteCloseCmd(c))
	return cmd
}

func newRouteStaleCmd(c *config) *cobra.Command {
	var maxAge time.Duration
	cmd := &cobra.Command{
		Use:     "stale SERVICE ROUTE",
		Short:   "Allow reads of a route to return data of a stated age",
		Example: "  rattanstream route stale --team shop orders browse --max-age 2s",
		Args:    exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			edit := setEdit(routeSection(args), "max_age", maxAge.String())
			return c.editSettings(cmd.Context(), []*rattanv1.SettingsEdit{edit}, 0, false)
		},
	}
	cmd.Flags().DurationVar(&maxAge, "max-age", 0, "largest accepted age of the data; 0s allows none")
	return cmd
}

func newRouteOpenCmd(c *config) *cobra.Command {
	var account string
	cmd := &cobra.Command{
		Use:   "open SERVICE ROUTE",
		Short: "Open a route to callers without a key; their requests count against the rate of --account",
		Args:  exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			section := routeSection(args)
			edits := []*rattanv1.SettingsEdit{setEdit(section, "open", "true"), setEdit(section, "client_account", account)}
			return c.editSettings(cmd.Context(), edits, 0, false)
		},
	}
	cmd.Flags().StringVar(&account, "account", "", "client account whose rate and burst apply")
	if err := cmd.MarkFlagRequired("account"); err != nil {
		panic(err)
	}
	return cmd
}

func newRouteCloseCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "close SERVICE ROUTE",
		Short: "Close a route to callers without a key",
		Args:  exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			section := routeSection(args)
			noAccount := &rattanv1.SettingsEdit{Section: section, Key: "client_account", Remove: true}
			edits := []*rattanv1.SettingsEdit{setEdit(section, "open", "false"), noAccount}
			return c.editSettings(cmd.Context(), edits, 0, false)
		},
	}
}

func routeSection(args []string) string { return "route." + args[0] + "." + args[1] }
