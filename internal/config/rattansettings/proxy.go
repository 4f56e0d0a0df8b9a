package rattansettings

import (
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ProxySettings contains the settings of a proxy, the daemon of an entry VM on the
// users' platform. It is immutable after construction.
type ProxySettings struct {
	vm               string
	failureDomain    string
	callerAddress    string
	readinessAddress string
	peerAddress      string
	metricsAddress   string
	storeAddress     string
	dutyAddress      string
	seedPeers        []string
	stopTimeout      time.Duration
	rateWindow       time.Duration
	drainLimit       time.Duration
	evacuationLimit  time.Duration
	usageWindow      time.Duration
	usageDelay       time.Duration
	usageHandover    time.Duration
	processorCores   float64
	egressBudget     int64
	logLevel         string
}

// maxEgressKiB is the largest egress budget, in KiB a second: that of a link of
// 8 Gbit/s.
const maxEgressKiB = 1 << 20

// LoadProxySettings reads the settings of a proxy from a file. The error is a
// *ValidationErrors, or the reason why the file cannot be read.
func LoadProxySettings(path string) (*ProxySettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read proxy settings")
	}
	return ParseProxySettings(path, string(text))
}

// ParseProxySettings parses and validates the settings of a proxy. path names the
// text in errors. The error is a *ValidationErrors that lists all validation errors.
func ParseProxySettings(path, text string) (*ProxySettings, error) {
	sections, errs := readSections(path, text)
	proxy := &ProxySettings{}
	reader := newSectionReader(path, takeSection(&sections, "proxy"), &errs)
	proxy.read(reader)
	reader.finish()
	for _, section := range sections {
		errs = append(errs, ValidationError{
			path: path, section: messageText(section.name),
			problem: "unknown section", accepted: "proxy",
		})
	}
	if err := NewValidationErrors(errs); err != nil {
		return nil, err
	}
	return proxy, nil
}

func (p *ProxySettings) read(r *sectionReader) {
	p.vm = r.nameValue("vm", true)
	p.failureDomain = r.nameValue("failure_domain", true)
	p.callerAddress = r.address("caller_address", true)
	p.readinessAddress = r.address("readiness_address", true)
	p.peerAddress = r.remoteAddress("peer_address", true)
	p.metricsAddress = r.address("metrics_address", false)
	p.storeAddress = r.remoteAddress("store_address", true)
	p.dutyAddress = r.remoteAddress("duty_address", true)
	p.seedPeers = r.addresses("seed_peers")
	p.stopTimeout = r.duration("stop_timeout", time.Second, 10*time.Minute, 6*time.Second)
	p.rateWindow = r.duration("rate_window", time.Second, time.Minute, 5*time.Second)
	p.drainLimit = r.duration("drain_limit", time.Second, 10*time.Minute, 7*time.Second)
	p.evacuationLimit = r.duration("evacuation_limit", time.Second, 10*time.Minute, 5*time.Second)
	p.usageWindow = r.duration("usage_window", time.Second, time.Hour, 0)
	p.usageDelay = r.duration("usage_delay", time.Second, time.Hour, 10*time.Second)
	p.usageHandover = r.duration("usage_handover", 0, 10*time.Minute, 3*time.Second)
	p.processorCores = r.cores("processor_cores", 1)
	p.egressBudget = int64(r.integer("egress_budget", " KiB a second", 0, maxEgressKiB, 0)) * 1024
	p.logLevel = r.choice("log_level", "info", "debug", "info", "warn", "error")
}

// VM returns the name of the daemon's VM.
func (p *ProxySettings) VM() string { return p.vm }

// FailureDomain returns the name of the daemon's failure domain.
func (p *ProxySettings) FailureDomain() string { return p.failureDomain }

// CallerAddress returns the address on which the daemon listens for callers.
func (p *ProxySettings) CallerAddress() string { return p.callerAddress }

// ReadinessAddress returns the address on which the daemon answers readiness checks:
// the load balancer queries there whether the daemon accepts new sessions.
func (p *ProxySettings) ReadinessAddress() string { return p.readinessAddress }

// PeerAddress returns the address at which other daemons reach the daemon.
func (p *ProxySettings) PeerAddress() string { return p.peerAddress }

// MetricsAddress returns the address on which the daemon serves metrics and state
// dumps. If it is empty, the daemon does not serve them.
func (p *ProxySettings) MetricsAddress() string { return p.metricsAddress }

// StoreAddress returns the address of the shared store.
func (p *ProxySettings) StoreAddress() string { return p.storeAddress }

// DutyAddress returns the address at which the platform accepts the calls of failover
// leaders.
func (p *ProxySettings) DutyAddress() string { return p.dutyAddress }

// SeedPeers returns the peer addresses of other daemons, for the first contact with
// them. The caller must not change the slice.
func (p *ProxySettings) SeedPeers() []string { return p.seedPeers }

// StopTimeout returns the maximum duration of a graceful shutdown.
func (p *ProxySettings) StopTimeout() time.Duration { return p.stopTimeout }

// RateWindow returns the length of the time in which a client account may send its
// rate times that length plus its burst.
func (p *ProxySettings) RateWindow() time.Duration { return p.rateWindow }

// DrainLimit returns how long an endpoint may get new statements after the store
// acknowledged that it drains.
func (p *ProxySettings) DrainLimit() time.Duration { return p.drainLimit }

// EvacuationLimit returns how long the endpoints of a failure domain may get new
// statements after the store acknowledged that the domain is evacuated.
func (p *ProxySettings) EvacuationLimit() time.Duration { return p.evacuationLimit }

// UsageWindow returns the length of the time for which usage is reported, 0 when the
// fleet does not report usage.
func (p *ProxySettings) UsageWindow() time.Duration { return p.usageWindow }

// UsageDelay returns how long after the end of a window its report must have arrived.
func (p *ProxySettings) UsageDelay() time.Duration { return p.usageDelay }

// UsageHandover returns the time for which a daemon that has become the holder of the
// duty does not send reports yet.
func (p *ProxySettings) UsageHandover() time.Duration { return p.usageHandover }

// ProcessorCores returns the processor time that the daemon may use, in cores. Daemons
// with more of it do more of the work for others.
func (p *ProxySettings) ProcessorCores() float64 { return p.processorCores }

// EgressBudget returns the bytes a second of work that the daemon may exchange with
// other failure domains by choice, 0 for no limit.
func (p *ProxySettings) EgressBudget() int64 { return p.egressBudget }

// LogLevel returns "debug", "info", "warn" or "error".
func (p *ProxySettings) LogLevel() string { return p.logLevel }

// RestartRequired returns the keys that have another value in next and take effect
// only after a restart. A running daemon applies only log_level.
func (p *ProxySettings) RestartRequired(next *ProxySettings) []string {
	var changed []string
	for _, key := range []struct {
		name    string
		differs bool
	}{
		{"vm", p.vm != next.vm},
		{"failure_domain", p.failureDomain != next.failureDomain},
		{"caller_address", p.callerAddress != next.callerAddress},
		{"readiness_address", p.readinessAddress != next.readinessAddress},
		{"peer_address", p.peerAddress != next.peerAddress},
		{"metrics_address", p.metricsAddress != next.metricsAddress},
		{"store_address", p.storeAddress != next.storeAddress},
		{"duty_address", p.dutyAddress != next.dutyAddress},
		{"stop_timeout", p.stopTimeout != next.stopTimeout},
		{"rate_window", p.rateWindow != next.rateWindow},
		{"drain_limit", p.drainLimit != next.drainLimit},
		{"evacuation_limit", p.evacuationLimit != next.evacuationLimit},
		{"usage_window", p.usageWindow != next.usageWindow},
		{"usage_delay", p.usageDelay != next.usageDelay},
		{"usage_handover", p.usageHandover != next.usageHandover},
		{"processor_cores", p.processorCores != next.processorCores},
		{"egress_budget", p.egressBudget != next.egressBudget},
		{"seed_peers", !slices.Equal(p.seedPeers, next.seedPeers)},
	} {
		if key.differs {
			changed = append(changed, key.name)
		}
	}
	return changed
}
