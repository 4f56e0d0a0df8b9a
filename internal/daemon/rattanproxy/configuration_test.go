package rattanproxy_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// A configurationLine is a log line that names a version of the configuration.
type configurationLine struct {
	Event       string `json:"msg"`
	Database    string `json:"database"`
	Version     int64  `json:"version"`
	Source      string `json:"source"`
	ConfirmedMs *int64 `json:"confirmed_ms"`
}

// configurationLines returns the lines of one event in a daemon's log.
func (d *testDaemon) configurationLines(t *testing.T, event string) []configurationLine {
	t.Helper()
	var found []configurationLine
	for line := range strings.Lines(d.log.String()) {
		var decoded configurationLine
		if !strings.Contains(line, `"`+event+`"`) {
			continue
		}
		if err := json.Unmarshal([]byte(line), &decoded); err != nil {
			t.Fatal(err)
		}
		if decoded.Event == event {
			found = append(found, decoded)
		}
	}
	return found
}

func assertDated(t *testing.T, line configurationLine, version int64) {
	t.Helper()
	if line.Version != version || line.Source == "" || line.ConfirmedMs == nil || *line.ConfirmedMs < 0 {
		t.Errorf("%+v, want version %d with its source and the age of its confirmation", line, version)
	}
}

// TestConfigurationIsLogged guards against versions that come into force, or decide a refusal,
// without a log line that says which one, from where and how old.
func TestConfigurationIsLogged(t *testing.T) {
	t.Parallel()
	f := newFleet(t, propagationFleet)
	f.dial(f.daemons[propagationFleet-1], "checkout", testKey)
	time.Sleep(settleTime)
	f.configure(2, 1000, "another-key")
	f.assertKeyWorks("another-key", followedChangeBound)
	for _, daemon := range f.daemons {
		t.Run(daemon.name, func(t *testing.T) {
			lines := daemon.configurationLines(t, "configuration_in_force")
			if len(lines) != 2 {
				t.Fatalf("%d versions were logged, want 2: %+v", len(lines), lines)
			}
			assertDated(t, lines[1], 2)
			if acceptsKey(daemon, testKey) {
				t.Fatal("a removed key opens a session")
			}
			refused := daemon.configurationLines(t, "session_refused")
			assertDated(t, refused[len(refused)-1], 2)
		})
	}
}
