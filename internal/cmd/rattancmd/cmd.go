// Package rattancmd implements the command line: one file per command.
package rattancmd

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Main runs the command line and returns the exit code of the process.
func Main() int {
	if err := newRootCmd().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rattanstream:", err)
		return 1
	}
	return 0
}

func newRootCmd() *cobra.Command {
	return &cobra.Command{
		Use:           "rattanstream",
		Short:         "Database proxy with session consistency",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
}
