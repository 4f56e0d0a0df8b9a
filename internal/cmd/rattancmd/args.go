package rattancmd

import "github.com/spf13/cobra"

// exactArgs returns a check that fails with a usage error unless there are n arguments.
func exactArgs(n int) cobra.PositionalArgs {
	return withUsageError(cobra.ExactArgs(n))
}

// minimumArgs returns a check that fails with a usage error on fewer than n arguments.
func minimumArgs(n int) cobra.PositionalArgs {
	return withUsageError(cobra.MinimumNArgs(n))
}

// maximumArgs returns a check that fails with a usage error on more than n arguments.
func maximumArgs(n int) cobra.PositionalArgs {
	return withUsageError(cobra.MaximumNArgs(n))
}

// withUsageError returns a check that turns the errors of check into usage errors.
func withUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
