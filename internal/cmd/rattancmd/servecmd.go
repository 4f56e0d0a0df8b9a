package rattancmd

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattandaemon"
)

// serveCommand is the name of the command that runs a daemon with its own protocol.
const serveCommand = "serve"

func newServeCmd(c *config) *cobra.Command {
	var path string
	var overrides []string
	var baselineNames []string
	cmd := &cobra.Command{
		Use:     serveCommand + " --config FILE",
		Short:   "Run the daemon of an entry VM",
		Example: "  rattanstream serve --config /etc/rattanstream/vm.ini --set daemon.vm=vm-a2",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			process, err := c.loadProcess(path, overrides)
			if err != nil {
				return err
			}
			options, err := baselineOptions(baselineNames)
			if err != nil {
				return err
			}
			return c.serve(cmd.Context(), process, options)
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "file with the process settings")
	cmd.Flags().StringArrayVar(&overrides, "set", nil, "SECTION.KEY=VALUE over the file; may be repeated")
	cmd.Flags().StringSliceVar(&baselineNames, "baseline", nil, "baseline for measurements: fifo, primary-reads or fixed-shares")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return cmd
}

func (c *config) loadProcess(path string, overrides []string) (*rattansettings.ProcessSettings, error) {
	parsed := make([]rattansettings.Override, 0, len(overrides)+1)
	for _, override := range overrides {
		section, key, value, ok := cutOverride(override)
		if !ok {
			return nil, usageErrorf("--set %q: expected SECTION.KEY=VALUE", override)
		}
		parsed = append(parsed, rattansettings.Override{Section: section, Key: key, Value: value})
	}
	if c.logLevel != "" {
		parsed = append(parsed, rattansettings.Override{Section: "daemon", Key: "log_level", Value: c.logLevel})
	}
	process, err := rattansettings.LoadProcessSettings(path, parsed...)
	if err != nil {
		return nil, invalidError{err}
	}
	return process, nil
}

// baselineOptions returns the daemon options for the named baselines. A baseline is a
// simpler design that measurements compare the daemon with.
func baselineOptions(names []string) ([]rattandaemon.Option, error) {
	known := map[string]func() rattandaemon.Option{
		"fifo":          rattandaemon.WithFIFOQueues,
		"primary-reads": rattandaemon.WithPrimaryReads,
		"fixed-shares":  rattandaemon.WithFixedShares,
	}
	var options []rattandaemon.Option
	for _, name := range names {
		option, ok := known[name]
		if !ok {
			return nil, usageErrorf("--baseline %q: accepted are fifo, primary-reads and fixed-shares", name)
		}
		options = append(options, option())
	}
	return options, nil
}

// serve runs a daemon until ctx ends and it has stopped gracefully.
func (c *config) serve(ctx context.Context, process *rattansettings.ProcessSettings, options []rattandaemon.Option) error {
	logger, closeLog, err := startLog(c.stderr, process.Daemon().LogLevel())
	if err != nil {
		return err
	}
	defer closeLog()
	logger = logger.With("vm", process.Daemon().VM())
	defer captureLibraryLog(logger)()
	go c.observeRepeatedSignals(func(name string) { logger.Warn("daemon was asked again to stop", "signal", name) })
	daemon, err := rattandaemon.New(process, rattanclock.System(), logger, options...)
	if err != nil {
		return invalidError{err}
	}
	return daemon.Run(ctx)
}
