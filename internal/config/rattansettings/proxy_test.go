package rattansettings

import (
	"strings"
	"testing"
	"time"
)

const proxyText = `[proxy]
vm = vm-a1
failure_domain = a
caller_address = 127.0.0.1:7101
readiness_address = 127.0.0.1:7102
peer_address = 127.0.0.1:7103
store_address = 127.0.0.1:7001
duty_address = 127.0.0.1:7001
`

// TestParseProxySettings guards against defaults and values that are lost.
func TestParseProxySettings(t *testing.T) {
	settings, err := ParseProxySettings("test", proxyText+"rate_window = 4s\ndrain_limit = 10000ms\nprocessor_cores = 0.192\negress_budget = 64\n")
	if err != nil {
		t.Fatal(err)
	}
	if settings.RateWindow() != 4*time.Second || settings.ProcessorCores() != 0.192 || settings.StopTimeout() != 6*time.Second {
		t.Errorf("got the window %s, %g cores and the stop timeout %s", settings.RateWindow(), settings.ProcessorCores(), settings.StopTimeout())
	}
	if settings.DrainLimit() != 10*time.Second || settings.EvacuationLimit() != 5*time.Second {
		t.Errorf("got the limits %s and %s", settings.DrainLimit(), settings.EvacuationLimit())
	}
	if settings.EgressBudget() != 64*1024 {
		t.Errorf("got the egress budget %d", settings.EgressBudget())
	}
}

// TestParseProxySettingsErrors guards against a wrong value that is accepted, and
// against an error that does not name the key and what is accepted.
func TestParseProxySettingsErrors(t *testing.T) {
	for _, test := range []struct{ line, key, accepted string }{
		{"rate_window = 0s", "rate_window", "a duration from 1s to 1m0s"},
		{"rate_window = 5", "rate_window", "a duration from 1s to 1m0s"},
		{"drain_limit = 500ms", "drain_limit", "a duration from 1s to 10m0s"},
		{"usage_window = 0s", "usage_window", "a duration from 1s to 1h0m0s"},
		{"usage_delay = 0s", "usage_delay", "a duration from 1s to 1h0m0s"},
		{"evacuation_limit = ms", "evacuation_limit", "a duration from 1s to 10m0s"},
		{"processor_cores = 0", "processor_cores", "a number of cores from 0.001 to 1024"},
		{"processor_cores = NaN", "processor_cores", "a number of cores from 0.001 to 1024"},
		{"processor_cores = -1", "processor_cores", "a number of cores from 0.001 to 1024"},
		{"egress_budget = -1", "egress_budget", "from 0 to 1048576 KiB a second"},
		{"egress_budget = 64 KiB", "egress_budget", "from 0 to 1048576 KiB a second"},
	} {
		t.Run(test.line, func(t *testing.T) {
			_, err := ParseProxySettings("test", proxyText+test.line+"\n")
			if err == nil || !strings.Contains(err.Error(), test.key) || !strings.Contains(err.Error(), test.accepted) {
				t.Errorf("got error %v, want one that names %s and %q", err, test.key, test.accepted)
			}
		})
	}
}

// TestRestartRequired guards against a changed key that neither takes effect nor is
// reported.
func TestRestartRequired(t *testing.T) {
	before, err := ParseProxySettings("test", proxyText)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"rate_window = 9s", "drain_limit = 9s", "evacuation_limit = 9s", "processor_cores = 2", "egress_budget = 9", "seed_peers = 127.0.0.1:9"} {
		after, err := ParseProxySettings("test", proxyText+line+"\n")
		if err != nil {
			t.Fatal(err)
		}
		key, _, _ := strings.Cut(line, " ")
		if changed := before.RestartRequired(after); len(changed) != 1 || changed[0] != key {
			t.Errorf("%s: the keys that need a restart are %q", line, changed)
		}
	}
}
