package rattanload_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/daemon/rattandaemon"
	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/load/rattanload"
	"github.com/rattanstream/rattanstream/internal/proof/rattannet"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

var (
	duration     = flag.Duration("measures.duration", 6*time.Second, "simulated time of the load of each cell")
	seed         = flag.Uint64("measures.seed", 1, "seed of the load")
	onlyScenario = flag.String("measures.scenario", defaultScenario, "run this scenario only: fjordknute or palapeli")
	onlyDesign   = flag.String("measures.design", "design", "run this design only: design, primary_reads, fixed_shares or fifo_queues; or all")
	serviceTime  = flag.Duration("measures.service_time", 4*time.Millisecond, "how long a statement occupies a slot")
	tracePrefix  = flag.String("measures.trace", "", "prefix of the files to which the trace of each cell is written")
	dumpPrefix   = flag.String("measures.dump", "", "prefix of the files to which the state dumps of each cell's daemons are written")
)

// designs returns the current design and the baselines that it is compared with.
func designs() []design {
	return []design{
		{"design", nil},
		{"primary_reads", []rattandaemon.Option{rattandaemon.WithPrimaryReads()}},
		{"fixed_shares", []rattandaemon.Option{rattandaemon.WithFixedShares()}},
		{"fifo_queues", []rattandaemon.Option{rattandaemon.WithFIFOQueues()}},
	}
}

type design struct {
	name    string
	options []rattandaemon.Option
}

const (
	// linkLatency gives a round trip of 1 ms.
	linkLatency = 500 * time.Microsecond
	// setupTimeout bounds the start of a cluster.
	setupTimeout = 30 * time.Second
	// failoverBound is the stated longest time without an acknowledged write.
	failoverBound = 8 * time.Second
)

// TestMeasures runs the same load and faults with the design and, with
// -measures.design=all, with each baseline, and prints the measures. A cell is one
// design in one scenario. It costs about 1.3 CPU seconds per second of load, so by
// default the test runs short and without baselines. It guards against a failover that
// takes longer than its bound, a client account that is served more than its rate and
// burst, and a session that does not read its own writes.
func TestMeasures(t *testing.T) {
	for _, scenario := range []string{"fjordknute", "palapeli"} {
		if *onlyScenario != "" && *onlyScenario != scenario {
			continue
		}
		t.Run(scenario, func(t *testing.T) {
			reports := make(map[string]rattanload.Report)
			var mutex sync.Mutex
			t.Run("designs", func(t *testing.T) {
				for _, d := range designs() {
					if *onlyDesign != "all" && *onlyDesign != d.name {
						continue
					}
					t.Run(d.name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							report := measure(t, scenario, d)
							mutex.Lock()
							defer mutex.Unlock()
							reports[d.name] = report
						})
					})
				}
			})
			t.Logf("scenario %s, seed %d, %s of load\n%s", scenario, *seed, *duration, table(reports))
		})
	}
}

func measure(t *testing.T, name string, d design) rattanload.Report {
	t.Helper()
	scenario, flooding, err := rattanload.FindScenario(name)
	if err != nil {
		t.Fatal(err)
	}
	scenario.ServiceTime = *serviceTime
	cluster := startCluster(t, scenario, d.options)
	defer cluster.Stop()
	time.Sleep(rattanload.SettleTime)
	transport := cluster.NewCallerTransport()
	defer transport.CloseIdleConnections()
	config := rattanload.ForCluster(cluster, rattanload.Config{Duration: *duration, Seed: *seed, Transport: transport}, flooding)
	if *tracePrefix != "" {
		file, err := os.Create(fmt.Sprintf("%s-%s-%s.jsonl", *tracePrefix, name, d.name))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		config.Trace = file
	}
	scripted := make(chan error, 1)
	go func() {
		script := rattancluster.Script{Duration: *duration, Observe: func(e rattancluster.Event) {
			config.Marks.Add(e.At, rattanload.MarkKind(e.Kind), e.Subject)
		}}
		scripted <- script.Run(context.Background(), cluster, rattanclock.System())
	}()
	report, err := rattanload.Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-scripted; err != nil {
		t.Fatal(err)
	}
	if *dumpPrefix != "" {
		dump(t, cluster, fmt.Sprintf("%s-%s-%s", *dumpPrefix, name, d.name))
	}
	checkBounds(t, report)
	return report
}

// dump writes the state dump of each daemon to a file of its own.
func dump(t *testing.T, cluster *rattancluster.Cluster, prefix string) {
	t.Helper()
	for _, vm := range cluster.VMs() {
		response, err := cluster.Operator(vm, "root").Dump(context.Background(), connect.NewRequest(&rattanv1.DumpRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(fmt.Sprintf("%s-%s.json", prefix, vm.Name()), response.Msg.GetJson(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func startCluster(t *testing.T, scenario rattancluster.Scenario, options []rattandaemon.Option) *rattancluster.Cluster {
	t.Helper()
	network := rattannet.New(linkLatency)
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	cluster, err := rattancluster.Start(ctx, scenario,
		rattancluster.WithNetwork(network),
		rattancluster.WithDaemonOptions(options...),
		rattancluster.WithHostOptions(func(host string) []rattandaemon.Option {
			return []rattandaemon.Option{rattandaemon.WithPeerLink(rattannet.NewLinkClient(network.Dialer(host)), rattannet.NewLinkServer())}
		}))
	if err != nil {
		t.Fatal(err)
	}
	return cluster
}

// checkBounds checks the bounds that the design page states.
func checkBounds(t *testing.T, r rattanload.Report) {
	t.Helper()
	if gap := time.Duration(r.Measures.FailoverGapMs * float64(time.Millisecond)); gap > failoverBound {
		t.Errorf("failover took %s, the bound is %s", gap, failoverBound)
	}
	if over := r.Measures.OverRateAccounts; len(over) > 0 {
		t.Errorf("client accounts that were served more than rate and burst allow: %s", strings.Join(over, ", "))
	}
	if n := r.Measures.WrongValues; n > 0 {
		t.Errorf("%d reads did not return the last write of their session", n)
	}
}

// table returns one row for each measure and one column for each design.
func table(reports map[string]rattanload.Report) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 8, 2, ' ', 0)
	var header []string
	var columns [][]rattanload.Row
	for _, d := range designs() {
		if report, ok := reports[d.name]; ok {
			header = append(header, d.name)
			columns = append(columns, slices.Concat(report.Measures.Rows(), latencies(report)))
		}
	}
	if len(columns) == 0 {
		return "no cell has a report"
	}
	fmt.Fprintln(w, "MEASURE\t"+strings.Join(header, "\t"))
	for i, row := range columns[0] {
		fmt.Fprint(w, row.Name)
		for _, column := range columns {
			fmt.Fprint(w, "\t", column[i].Value)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // a strings.Builder returns no error
	return b.String()
}

func latencies(r rattanload.Report) []rattanload.Row {
	return []rattanload.Row{
		{Name: "p50, p99, max of all", Value: fmt.Sprintf("%.1f, %.1f, %.1f ms", r.Latency.P50Ms, r.Latency.P99Ms, r.Latency.MaxMs)},
		{Name: "sent, served", Value: fmt.Sprintf("%d, %d", r.Sent, r.Served)},
	}
}
