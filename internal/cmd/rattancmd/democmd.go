package rattancmd

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/load/rattanload"
)

const (
	// demoDuration leaves half of a minute for start and stop on a busy machine, if
	// the whole demo is to take a minute.
	demoDuration = 30 * time.Second
	// demoStartTimeout bounds the start of all daemons and stand-ins, also on a busy machine.
	demoStartTimeout = time.Minute
)

func newDemoCmd(c *config) *cobra.Command {
	var f loadFlags
	var scenario string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment on loopback addresses under load and faults",
		Long: "Runs a whole deployment in this process on loopback addresses, with TLS certificates made in\n" +
			"memory, sends a load for half a minute, and meanwhile kills a primary, raises a rate, and takes\n" +
			"a failure domain out and returns it.",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return c.runDemo(cmd.Context(), f, scenario) },
	}
	cmd.Flags().DurationVar(&f.load.Duration, "duration", demoDuration, "length of the load; the faults come at fixed parts of it")
	cmd.Flags().StringVar(&scenario, "scenario", "fjordknute", "deployment: fjordknute or palapeli")
	f.addCommon(cmd)
	return cmd
}

func (c *config) runDemo(ctx context.Context, f loadFlags, name string) error {
	scenario, floodingAccount, err := rattanload.FindScenario(name)
	if err != nil {
		return usageError{err}
	}
	// The script and the load report at the same time.
	c.stderr = &syncWriter{w: c.stderr}
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	cluster, err := rattancluster.Start(startCtx, scenario, rattancluster.WithTLS())
	if err != nil {
		return errors.Wrap(err, "start the deployment")
	}
	defer cluster.Stop()
	fmt.Fprintf(c.stderr, "%s: %d daemons, %d endpoints; client account %s sends 4 times its rate\n",
		scenario.Name, len(cluster.VMs()), len(cluster.Endpoints()), floodingAccount)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(rattanload.SettleTime):
	}
	f.load = rattanload.ForCluster(cluster, f.load, floodingAccount)
	scriptDone := make(chan error, 1)
	go func() {
		script := rattancluster.Script{Duration: f.load.Duration, RaiseRate: scenario.Accounts[2].Name, Observe: func(e rattancluster.Event) {
			f.load.Marks.Add(e.At, rattanload.MarkKind(e.Kind), e.Subject)
			fmt.Fprintln(c.stderr, e.Detail)
		}}
		scriptDone <- script.Run(ctx, cluster, rattanclock.System())
	}()
	report, err := c.sendLoad(ctx, f)
	if err != nil {
		return err
	}
	if err := <-scriptDone; err != nil {
		return err
	}
	return c.printReport(report)
}
