package rattancmd

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanproxy"
)

// proxyCommand is the name of the command that runs a daemon on the users' platform.
const proxyCommand = "proxy"

func newProxyCmd(c *config) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     proxyCommand + " --config FILE",
		Short:   "Run the daemon of an entry VM on the users' platform",
		Example: "  rattanstream proxy --config /etc/rattanstream/proxy.ini",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := rattansettings.LoadProxySettings(path)
			if err != nil {
				return invalidError{err}
			}
			return c.proxy(cmd.Context(), path, settings)
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "file with the proxy's settings")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return cmd
}

func (c *config) proxy(ctx context.Context, path string, settings *rattansettings.ProxySettings) error {
	level := settings.LogLevel()
	if c.logLevel != "" {
		level = c.logLevel
	}
	logger, closeLog, err := startLog(c.stdout, level)
	if err != nil {
		return err
	}
	defer closeLog()
	logger = logger.With("vm", settings.VM())
	go c.observeRepeatedSignals(func(name string) { logger.Warn("signal_repeated", "signal", name) })
	reload := func() (*rattansettings.ProxySettings, error) { return rattansettings.LoadProxySettings(path) }
	proxy := rattanproxy.New(settings, reload, rattanclock.System(), rattanclock.BootTime(), logger, rattanplatform.New(settings.StoreAddress(), settings.DutyAddress()))
	return proxy.Run(ctx)
}
