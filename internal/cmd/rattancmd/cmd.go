// Package rattancmd implements the command line: one file per command.
package rattancmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

// A config holds the global flags and the streams of the process.
type config struct {
	output   string
	logLevel string
	stdout   io.Writer
	stderr   io.Writer
	operator operatorFlags
	// isRunning is true once the flags and arguments of the command are accepted.
	isRunning bool
	// repeatedSignals gets the signals that ask a daemon again to stop. It is nil for other
	// commands.
	repeatedSignals <-chan os.Signal
}

// Main runs the command line and returns the exit code of the process.
func Main() int {
	args := os.Args[1:]
	c := &config{stdout: os.Stdout, stderr: os.Stderr}
	if isDaemon(args) {
		var ctx context.Context
		ctx, c.repeatedSignals = handleDaemonSignals()
		return run(ctx, c, args)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// After the first signal, signals have their default effect again, so that a
	// second one ends the process at once.
	context.AfterFunc(ctx, stop)
	return run(ctx, c, args)
}

func run(ctx context.Context, c *config, args []string) int {
	cmd := newRootCmd(c)
	cmd.SetArgs(args)
	cmd.SetOut(c.stdout)
	cmd.SetErr(c.stderr)
	if err := cmd.ExecuteContext(ctx); err != nil {
		if !c.isRunning {
			err = usageError{err}
		}
		fmt.Fprintln(c.stderr, "rattanstream:", describe(err))
		return exitCode(err)
	}
	return exitOK
}

func newRootCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:               "rattanstream",
		Short:             "Database proxy with session consistency",
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return c.checkGlobalFlags() },
	}
	cmd.PersistentFlags().StringVar(&c.output, "output", outputTable, "format of results: table or json")
	cmd.PersistentFlags().StringVar(&c.logLevel, "log-level", "", "lowest level that is logged: debug, info, warn or error")
	cmd.AddCommand(
		newAccountCmd(c),
		newCheckCmd(c),
		newConfigCmd(c),
		newCredentialCmd(c),
		newDemoCmd(c),
		newDomainCmd(c),
		newDumpCmd(c),
		newEndpointCmd(c),
		newExplainCmd(c),
		newGroupCmd(c),
		newKeyCmd(c),
		newLoadCmd(c),
		newProxyCmd(c),
		newRouteCmd(c),
		newServeCmd(c),
		newSettingsCmd(c),
		newStandinCmd(c),
		newStatusCmd(c),
		newVersionCmd(c),
	)
	cmd.InitDefaultCompletionCmd()
	c.wrapCommands(cmd)
	return cmd
}

// wrapCommands makes cmd and all commands below it set isRunning when they run,
// and makes those that only group other commands fail with a usage error. By
// default, cobra prints the help of such a command and reports success.
func (c *config) wrapCommands(cmd *cobra.Command) {
	for _, child := range cmd.Commands() {
		c.wrapCommands(child)
	}
	run := cmd.RunE
	if run == nil && cmd.Run == nil {
		cmd.Args = cobra.ArbitraryArgs
		cmd.RunE = func(cmd *cobra.Command, args []string) error { return unknownCommand(cmd, args) }
		return
	}
	if run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			c.isRunning = true
			return run(cmd, args)
		}
	}
}

// unknownCommand returns the usage error of a command that only groups others and
// was called without a subcommand, or with one that does not exist.
func unknownCommand(cmd *cobra.Command, args []string) error {
	var names []string
	for _, child := range cmd.Commands() {
		if child.IsAvailableCommand() {
			names = append(names, child.Name())
		}
	}
	accepted := strings.Join(names, ", ")
	if len(args) == 0 {
		return usageErrorf("%s: a command is missing; accepted: %s", cmd.CommandPath(), accepted)
	}
	return usageErrorf("%s: unknown command %q; accepted: %s", cmd.CommandPath(), args[0], accepted)
}

// checkGlobalFlags rejects invalid values of --output and --log-level.
func (c *config) checkGlobalFlags() error {
	switch c.output {
	case outputTable, outputJSON:
	default:
		return usageErrorf("--output %q: accepted are table and json", c.output)
	}
	switch c.logLevel {
	case "", "debug", "info", "warn", "error":
		return nil
	default:
		return usageErrorf("--log-level %q: accepted are debug, info, warn and error", c.logLevel)
	}
}
