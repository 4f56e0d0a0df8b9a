package rattancmd

import (
	"bufio"
	"context"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/load/rattanload"
)

// loadFlags are the flags of the commands that send a load.
type loadFlags struct {
	load      rattanload.Config
	keys      string
	accounts  []string
	authority string
	trace     string
	plot      string
}

func newLoadCmd(c *config) *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send an open-loop load to running daemons and measure what callers get",
		Args:  exactArgs(0),
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.runLoad(cmd.Context(), f) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.load.URLs, "urls", []string{"http://127.0.0.1:7101"}, "caller addresses of the daemons")
	flags.StringVar(&f.keys, "keys", "", "INI file with a section [client_account.NAME] (key, rate, burst, send) for each client account")
	flags.StringSliceVar(&f.accounts, "accounts", nil, "client accounts that send (default: all of the file)")
	flags.StringSliceVar(&f.load.Services, "services", nil, "services, as callers name them")
	flags.StringVar(&f.load.StaleRoute, "stale-route", "", "route of stale reads (default: no stale reads)")
	flags.Float64Var(&f.load.ReadShare, "read-share", 0.7, "share of reads among requests")
	flags.Float64Var(&f.load.StaleShare, "stale-share", 0.3, "share of stale reads among reads")
	flags.Float64Var(&f.load.Roam, "roam", 0.3, "probability that a session moves to another daemon before a request")
	flags.DurationVar(&f.load.Duration, "duration", 30*time.Second, "time during which requests are sent")
	flags.DurationVar(&f.load.Timeout, "request-timeout", rattanload.DefaultTimeout, "deadline of each request")
	flags.StringVar(&f.authority, "tls-authority", "", "file with the certificate authority of the daemons")
	f.addCommon(cmd)
	return cmd
}

// addCommon adds the flags that load and demo share.
func (f *loadFlags) addCommon(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Uint64Var(&f.load.Seed, "seed", 1, "seed of arrivals and choices")
	flags.StringVar(&f.trace, "trace", "", "file that gets one JSON line for each request")
	flags.StringVar(&f.plot, "plot", "", "PNG file that gets requests served and refused over time")
}

func (c *config) runLoad(ctx context.Context, f loadFlags) error {
	if f.keys == "" || len(f.load.Services) == 0 {
		return usageErrorf("--keys and --services are required")
	}
	text, err := os.ReadFile(f.keys)
	if err != nil {
		return errors.Wrap(err, "read --keys")
	}
	accounts, err := rattanload.ParseAccounts(f.keys, text)
	if err != nil {
		return usageError{err}
	}
	if f.load.Accounts, err = chooseAccounts(accounts, f.accounts); err != nil {
		return err
	}
	client, err := operatorFlags{authority: f.authority}.httpClient()
	if err != nil {
		return err
	}
	f.load.Transport = client.Transport
	report, err := c.sendLoad(ctx, f)
	if err != nil {
		return err
	}
	return c.printReport(report)
}

// chooseAccounts returns the accounts with the given names, or all accounts if no
// names are given.
func chooseAccounts(accounts []rattanload.Account, names []string) ([]rattanload.Account, error) {
	if len(names) == 0 {
		return accounts, nil
	}
	var chosen []rattanload.Account
	for _, name := range names {
		i := slices.IndexFunc(accounts, func(a rattanload.Account) bool { return a.Name == name })
		if i < 0 {
			return nil, usageErrorf("--accounts %q: the file of --keys has no section for it", name)
		}
		chosen = append(chosen, accounts[i])
	}
	return chosen, nil
}

// sendLoad runs the load and writes the trace and the plot that the flags ask for.
func (c *config) sendLoad(ctx context.Context, f loadFlags) (rattanload.Report, error) {
	f.load.Progress = c.stderr
	var report rattanload.Report
	run := func() error {
		var err error
		report, err = rattanload.Run(ctx, f.load)
		var configErr *rattanload.ConfigError
		if errors.As(err, &configErr) {
			return usageError{err}
		}
		return err
	}
	if f.trace == "" {
		if err := run(); err != nil {
			return report, err
		}
	} else if err := withFile(f.trace, func(w *bufio.Writer) error {
		f.load.Trace = w
		return run()
	}); err != nil {
		return report, err
	}
	if f.plot == "" {
		return report, nil
	}
	return report, withFile(f.plot, func(w *bufio.Writer) error { return report.WritePlot(w) })
}

// withFile creates a file, calls write with a buffer in front of it, and flushes and
// closes the file.
func withFile(name string, write func(w *bufio.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	buffer := bufio.NewWriter(file)
	err = write(buffer)
	if flushErr := buffer.Flush(); err == nil {
		err = flushErr
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrapf(err, "write %s", name)
}

func (c *config) printReport(report rattanload.Report) error {
	if c.output == outputJSON {
		return report.WriteJSON(c.stdout)
	}
	return report.WriteText(c.stdout)
}
