package rattanproxy

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanholder"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

const (
	// maxLatencyMicros is the longest latency that the histograms distinguish.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the number of significant digits of the histograms.
	latencyDigits = 2
)

// metrics are the counters and histograms of one daemon. They are expvar
// variables that belong to the daemon, not to the process, so that several
// daemons can run in one process.
type metrics struct {
	counters expvar.Map

	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	m := &metrics{latencies: make(map[string]*hdrhistogram.Histogram)}
	m.counters.Init()
	return m
}

// count adds one to a counter.
func (m *metrics) count(name string) { m.counters.Add(name, 1) }

// set sets a value.
func (m *metrics) set(name string, value int64) {
	gauge := new(expvar.Int)
	gauge.Set(value)
	m.counters.Set(name, gauge)
}

// countStatement counts a statement by its outcome and records its latency.
func (m *metrics) countStatement(consistency string, code rattanstatement.Code, took time.Duration) {
	m.count("statements_" + consistency + "_" + code.String())
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram, ok := m.latencies[consistency]
	if !ok {
		histogram = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
		m.latencies[consistency] = histogram
	}
	// A value outside the range is counted at its end.
	_ = histogram.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
}

// writeText writes all metrics, one per line: name, blank, value.
func (m *metrics) writeText(w http.ResponseWriter) {
	m.counters.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value) })
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.latencies))
	for name := range m.latencies {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		h := m.latencies[name]
		for _, quantile := range []float64{50, 90, 99, 99.9} {
			fmt.Fprintf(w, "latency_us{consistency=%q,quantile=\"%g\"} %d\n", name, quantile, h.ValueAtQuantile(quantile))
		}
		fmt.Fprintf(w, "latency_count{consistency=%q} %d\n", name, h.TotalCount())
	}
}

// A dump is the state of a daemon, as served on request. It holds no caller's
// key.
type dump struct {
	VM                    string             `json:"vm"`
	Incarnation           string             `json:"incarnation"`
	Configuration         configurationState `json:"configuration"`
	Revision              string             `json:"revision"`
	HoldsGrants           bool               `json:"holds_grants"`
	IsIsolated            bool               `json:"isolated"`
	IsStoreLost           bool               `json:"store_lost"`
	Sessions              int                `json:"sessions"`
	ForwardedTransactions int                `json:"kept_transactions"`
	VMs                   []string           `json:"vms"`
	Primaries             map[string]string  `json:"primaries"`
	// Holders are the endpoints that may hold a part of each group's log, Awaited those that
	// a switchover waits for.
	Holders   map[string]rattanholder.Holders `json:"holders"`
	Awaited   map[string][]string             `json:"awaited"`
	Endpoints []rattanupstream.State          `json:"endpoints"`
	Loads     []loadState                     `json:"loads"`
	Usage     *usageState                     `json:"usage,omitempty"`
	Egress    egressState                     `json:"egress"`
}

func (p *Proxy) dump() dump {
	snapshot := p.cache.Snapshot()
	d := dump{
		VM: p.settings.VM(), Incarnation: p.registration.incarnation, Revision: p.cache.Revision().String(),
		Configuration: p.configuration.state(), HoldsGrants: p.grants.IsHeld(), IsIsolated: p.isolation.isIsolated.Load(), IsStoreLost: p.registration.storeLost.Load(),
		Sessions: p.sessions.count(), ForwardedTransactions: p.forwarded.count(), Primaries: make(map[string]string),
		Holders: make(map[string]rattanholder.Holders), Awaited: make(map[string][]string), Endpoints: p.endpoints.State(),
		Loads:  p.loads.State(),
		Usage:  p.usage.state(),
		Egress: p.egress.state(),
	}
	for name := range snapshot.VMs {
		d.VMs = append(d.VMs, name)
	}
	sort.Strings(d.VMs)
	for group, entry := range snapshot.Groups {
		d.Primaries[group], d.Holders[group] = entry.Record.Primary, entry.Record.Holders
		if len(entry.Record.Awaited) > 0 {
			d.Awaited[group] = entry.Record.Awaited
		}
	}
	return d
}

// serveMetrics serves metrics at /metrics and the state at /dump.
func (p *Proxy) serveMetrics(ctx context.Context) error {
	if p.settings.MetricsAddress() == "" {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		state := p.configuration.state()
		p.metrics.set("configuration_version", state.Version)
		p.metrics.set("configuration_confirmed_ms", state.ConfirmedMs)
		p.metrics.writeText(w)
		p.egress.writeText(w)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.dump()); err != nil {
			p.logger.Warn("dump_failed", "error", err)
		}
	})
	server := &http.Server{Addr: p.settings.MetricsAddress(), Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve metrics")
	}
	return nil
}
