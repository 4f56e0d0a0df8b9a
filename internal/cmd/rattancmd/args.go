package rattancmd

import "github.com/spf13/cobra"

// exactArgs returns a check that refuses another number of arguments as wrong usage.
func exactArgs(n int) cobra.PositionalArgs {
	return asUsage(cobra.ExactArgs(n))
}

// minimumArgs returns a check that refuses fewer than n arguments as wrong usage.
func minimumArgs(n int) cobra.PositionalArgs {
	return asUsage(cobra.MinimumNArgs(n))
}

// maximumArgs returns a check that refuses more than n arguments as wrong usage.
func maximumArgs(n int) cobra.PositionalArgs {
	return asUsage(cobra.MaximumNArgs(n))
}

func asUsage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
