package rattansettings

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

// ProxySettings is the settings of a daemon that runs on the users' platform, immutable
// after construction.
type ProxySettings struct {
	vm            string
	failureDomain string
	callers       string
	readiness     string
	peers         string
	metrics       string
	store         string
	duties        string
	seeds         []string
	stopTimeout   time.Duration
	logLevel      string
}

// LoadProxySettings reads the settings of a proxy from a file. The error is a
// *ValidationErrors, or tells why the file cannot be read.
func LoadProxySettings(path string) (*ProxySettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read proxy settings")
	}
	return ParseProxySettings(path, string(text))
}

// ParseProxySettings reads the settings of a proxy; path names the text in faults. The
// error is a *ValidationErrors that lists all faults.
func ParseProxySettings(path, text string) (*ProxySettings, error) {
	sections, faults := readSections(path, text)
	proxy := &ProxySettings{}
	reader := newSectionReader(path, takeSection(&sections, "proxy"), &faults)
	proxy.read(reader)
	reader.finish()
	for _, section := range sections {
		faults = append(faults, ValidationError{
			path: path, section: shown(section.name),
			problem: "unknown section", accepted: "proxy",
		})
	}
	if err := NewValidationErrors(faults); err != nil {
		return nil, err
	}
	return proxy, nil
}

func (p *ProxySettings) read(r *sectionReader) {
	p.vm = r.nameValue("vm", true)
	p.failureDomain = r.nameValue("failure_domain", true)
	p.callers = r.address("caller_address", true)
	p.readiness = r.address("readiness_address", true)
	p.peers = r.remoteAddress("peer_address", true)
	p.metrics = r.address("metrics_address", false)
	p.store = r.remoteAddress("store_address", true)
	p.duties = r.remoteAddress("duty_address", true)
	p.seeds = r.addresses("seed_peers")
	p.stopTimeout = r.duration("stop_timeout", time.Second, 10*time.Minute, 6*time.Second)
	p.logLevel = r.choice("log_level", "info", "debug", "info", "warn", "error")
}

// VM returns the name of the daemon's VM.
func (p *ProxySettings) VM() string { return p.vm }

// FailureDomain returns the name of the daemon's failure domain.
func (p *ProxySettings) FailureDomain() string { return p.failureDomain }

// CallerAddress returns where the daemon listens for callers.
func (p *ProxySettings) CallerAddress() string { return p.callers }

// ReadinessAddress returns where the load balancer asks whether the daemon takes
// new sessions.
func (p *ProxySettings) ReadinessAddress() string { return p.readiness }

// PeerAddress returns where other daemons reach the daemon.
func (p *ProxySettings) PeerAddress() string { return p.peers }

// MetricsAddress returns where the daemon serves metrics and state dumps; empty
// means nowhere.
func (p *ProxySettings) MetricsAddress() string { return p.metrics }

// StoreAddress returns where the shared store is.
func (p *ProxySettings) StoreAddress() string { return p.store }

// DutyAddress returns where the platform takes the calls of duty holders.
func (p *ProxySettings) DutyAddress() string { return p.duties }

// SeedPeers returns peer addresses of other daemons. The caller must not change
// the slice.
func (p *ProxySettings) SeedPeers() []string { return p.seeds }

// StopTimeout returns the longest time of a graceful shutdown.
func (p *ProxySettings) StopTimeout() time.Duration { return p.stopTimeout }

// LogLevel returns "debug", "info", "warn" or "error".
func (p *ProxySettings) LogLevel() string { return p.logLevel }

// RestartRequired returns the keys that differ in next and that a running daemon
// cannot take up; all but log_level are fixed.
func (p *ProxySettings) RestartRequired(next *ProxySettings) []string {
	var changed []string
	for _, key := range []struct {
		name    string
		differs bool
	}{
		{"vm", p.vm != next.vm},
		{"failure_domain", p.failureDomain != next.failureDomain},
		{"caller_address", p.callers != next.callers},
		{"readiness_address", p.readiness != next.readiness},
		{"peer_address", p.peers != next.peers},
		{"metrics_address", p.metrics != next.metrics},
		{"store_address", p.store != next.store},
		{"duty_address", p.duties != next.duties},
		{"stop_timeout", p.stopTimeout != next.stopTimeout},
	} {
		if key.differs {
			changed = append(changed, key.name)
		}
	}
	return changed
}
