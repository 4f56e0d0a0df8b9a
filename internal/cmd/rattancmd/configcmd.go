package rattancmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/config/rattancheck"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/platform"
)

func newConfigCmd(c *config) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check configurations of the users' platform",
		Args:  exactArgs(0),
	}
	cmd.AddCommand(newConfigCheckCmd(c))
	return cmd
}

// A configComparison says with what a configuration is compared.
type configComparison struct {
	// file holds another configuration, store is the address of the store that holds
	// the one in force. Both are optional.
	file, store string
	timeout     time.Duration
}

func newConfigCheckCmd(c *config) *cobra.Command {
	var against configComparison
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is sent, and show what it changes",
		Long: "Reads a configuration as it stands in the store and reports errors, entries that can never match\n" +
			"and limits that contradict each other; with --against or --against-store also what differs from\n" +
			"the version in force. Keys are never printed. It sends nothing.",
		Example: "  rattanstream config check next.json --against-store 10.200.1.7:8466",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.checkConfig(cmd.Context(), args[0], against)
		},
	}
	cmd.Flags().StringVar(&against.file, "against", "", "file with the configuration in force")
	cmd.Flags().StringVar(&against.store, "against-store", "", "address (host:port) of the store that holds the configuration in force")
	cmd.Flags().DurationVar(&against.timeout, "timeout", 5*time.Second, "longest time for a read of the store")
	cmd.MarkFlagsMutuallyExclusive("against", "against-store")
	return cmd
}

// A configReport is the result of a check as JSON.
type configReport struct {
	Version  int64           `json:"version"`
	InForce  *int64          `json:"version_in_force,omitempty"`
	Findings []findingReport `json:"findings"`
	Changes  []changeReport  `json:"changes,omitempty"`
}

type findingReport struct {
	Severity string `json:"severity"`
	Entry    string `json:"entry"`
	Problem  string `json:"problem"`
}

type changeReport struct {
	Entry  string `json:"entry"`
	Change string `json:"change"`
}

func (c *config) checkConfig(ctx context.Context, path string, against configComparison) error {
	document, err := readConfig(path)
	if err != nil {
		return err
	}
	inForce, err := against.read(ctx)
	if err != nil {
		return err
	}
	findings := rattancheck.Check(document)
	var changes []rattancheck.Change
	if inForce != nil {
		findings = append(rattancheck.CheckVersion(*inForce, document), findings...)
		changes = rattancheck.Diff(*inForce, document)
	}
	if err := c.printConfigReport(newConfigReport(document, inForce, findings, changes)); err != nil {
		return err
	}
	if rattancheck.HasErrors(findings) {
		return invalidError{errors.Errorf("%s: the configuration has errors", path)}
	}
	return nil
}

func readConfig(path string) (rattancatalog.Document, error) {
	value, err := os.ReadFile(path)
	if err != nil {
		return rattancatalog.Document{}, invalidError{errors.Wrap(err, "read the configuration")}
	}
	document, err := platform.Decoder{}.DecodeDocument(value)
	if err != nil {
		return rattancatalog.Document{}, invalidError{errors.Wrap(err, path)}
	}
	return document, nil
}

// read returns the configuration to compare with, nil for none.
func (a configComparison) read(ctx context.Context) (*rattancatalog.Document, error) {
	switch {
	case a.file != "":
		document, err := readConfig(a.file)
		return &document, err
	case a.store != "":
		return a.readStore(ctx)
	default:
		return nil, nil
	}
}

func (a configComparison) readStore(ctx context.Context) (*rattancatalog.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	var page rattankv.Page
	page, err := platform.NewStore(a.store).Range(ctx, "op/")
	if err != nil {
		return nil, unavailableError{errors.Wrapf(err, "read the configuration in force from %s", a.store)}
	}
	for _, item := range page.Items {
		if (platform.Decoder{}).IsConfig(item.Key) {
			document, err := platform.Decoder{}.DecodeDocument(item.Value)
			if err != nil {
				return nil, invalidError{errors.Wrap(err, a.store)}
			}
			return &document, nil
		}
	}
	return nil, invalidError{errors.Errorf("%s holds no configuration", a.store)}
}

func newConfigReport(document rattancatalog.Document, inForce *rattancatalog.Document, findings []rattancheck.Finding, changes []rattancheck.Change) configReport {
	report := configReport{Version: document.Version, Findings: []findingReport{}}
	if inForce != nil {
		report.InForce = &inForce.Version
	}
	for _, finding := range findings {
		report.Findings = append(report.Findings, findingReport{finding.Severity.String(), finding.Entry, finding.Problem})
	}
	for _, change := range changes {
		report.Changes = append(report.Changes, changeReport{change.Entry, change.What})
	}
	return report
}

func (c *config) printConfigReport(report configReport) error {
	if c.output == outputJSON {
		return c.printValue(report)
	}
	for _, finding := range report.Findings {
		fmt.Fprintf(c.stdout, "%s: %s: %s\n", finding.Severity, finding.Entry, finding.Problem)
	}
	if report.InForce != nil {
		fmt.Fprintf(c.stdout, "version %d -> %d, %d changes\n", *report.InForce, report.Version, len(report.Changes))
	}
	for _, change := range report.Changes {
		fmt.Fprintf(c.stdout, "%s: %s\n", change.Entry, change.Change)
	}
	if len(report.Findings) == 0 {
		fmt.Fprintln(c.stdout, "no problems found")
	}
	return nil
}
