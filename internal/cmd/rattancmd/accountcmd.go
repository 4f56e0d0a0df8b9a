package rattancmd

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

func newAccountCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "account",
		Short: "Create, change and list client accounts",
	}
	c.addOperatorFlags(cmd)
	cmd.AddCommand(newAccountCreateCmd(c), newAccountSetCmd(c), newAccountRemoveCmd(c), newAccountListCmd(c))
	return cmd
}

// accountFlags are the flags for the properties of a client account.
type accountFlags struct {
	rate     float64
	burst    int64
	weight   int64
	services []string
}

func (f *accountFlags) add(cmd *cobra.Command) {
	cmd.Flags().Float64Var(&f.rate, "rate", 0, "requests per second over the whole fleet")
	cmd.Flags().Int64Var(&f.burst, "burst", 0, "requests above the rate that are served at once")
	cmd.Flags().Int64Var(&f.weight, "weight", 0, "weight in fair queues")
	cmd.Flags().StringSliceVar(&f.services, "service", nil, "service that the client account may use; may be repeated")
}

// edits returns the edits of the flags that were given.
func (f *accountFlags) edits(cmd *cobra.Command, section string) []*rattanv1.SettingsEdit {
	var edits []*rattanv1.SettingsEdit
	if cmd.Flags().Changed("rate") {
		edits = append(edits, setEdit(section, "rate", strconv.FormatFloat(f.rate, 'f', -1, 64)))
	}
	if cmd.Flags().Changed("burst") {
		edits = append(edits, setEdit(section, "burst", strconv.FormatInt(f.burst, 10)))
	}
	if cmd.Flags().Changed("weight") {
		edits = append(edits, setEdit(section, "weight", strconv.FormatInt(f.weight, 10)))
	}
	if cmd.Flags().Changed("service") {
		edits = append(edits, setEdit(section, "services", strings.Join(f.services, ", ")))
	}
	return edits
}

func newAccountCreateCmd(c *config) *cobra.Command {
	var flags accountFlags
	cmd := &cobra.Command{
		Use:     "create NAME",
		Short:   "Create a client account",
		Example: "  rattanstream account create --team shop dealer-1 --rate 200 --burst 400 --service orders",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			section := accountSection(args[0])
			return c.editSection(cmd.Context(), section, false, flags.edits(cmd, section))
		},
	}
	flags.add(cmd)
	for _, name := range []string{"rate", "burst", "service"} {
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	return cmd
}

func newAccountSetCmd(c *config) *cobra.Command {
	var flags accountFlags
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Change the rate, burst, weight or services of a client account",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edits := flags.edits(cmd, accountSection(args[0]))
			if len(edits) == 0 {
				return usageErrorf("nothing to change: give --rate, --burst, --weight or --service")
			}
			return c.editSection(cmd.Context(), accountSection(args[0]), true, edits)
		},
	}
	flags.add(cmd)
	return cmd
}

func newAccountRemoveCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "remove NAME",
		Short: "Remove a client account that has no keys",
		Long: "Remove a client account that has no keys. Withdrawn keys stay in the document for good,\n" +
			"and so does their client account.",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edit := &rattanv1.SettingsEdit{Section: accountSection(args[0]), Remove: true}
			return c.editSettings(cmd.Context(), []*rattanv1.SettingsEdit{edit}, 0, false)
		},
	}
}

func accountSection(name string) string { return "client_account." + name }
