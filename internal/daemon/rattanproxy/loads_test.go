package rattanproxy_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"
)

// knownLoad is the part of a dump that says what a daemon knows of an endpoint's load.
type knownLoad struct {
	Endpoint string `json:"endpoint"`
	AgeMS    int64  `json:"age_ms"`
	Slots    int    `json:"slots"`
}

// loads returns the loads that a daemon knows.
func (d *testDaemon) loads(t *testing.T) []knownLoad {
	t.Helper()
	response, err := http.Get("http://" + d.metrics + "/dump")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var dump struct {
		Loads []knownLoad `json:"loads"`
	}
	if err := json.NewDecoder(response.Body).Decode(&dump); err != nil {
		t.Fatal(err)
	}
	return dump.Loads
}

// TestLoadReports guards against daemons that know nothing of the load of endpoints to
// which they send little: the reports of the owners in a failure domain reach its other
// daemons without a statement of theirs, and stay younger than the age from which they
// say nothing.
func TestLoadReports(t *testing.T) {
	t.Parallel()
	f := newFleet(t, followedFleet)
	caller := f.dial(f.daemons[0], "checkout", testKey)
	caller.retryUntilOK("WRITE i1 first", waitBound)
	last := len(f.daemons) - 1
	for _, test := range []struct {
		daemon    *testDaemon
		endpoints []string
	}{{f.daemons[last-1], []string{"e1"}}, {f.daemons[last], []string{"e2", "e3"}}} {
		t.Run(test.daemon.name, func(t *testing.T) {
			f.await("the load of the failure domain is known", func() bool { return knowsAll(test.daemon.loads(t), test.endpoints) })
		})
	}
	t.Run("by a response from another failure domain", func(t *testing.T) {
		primary := f.group.Primary()
		asking := f.daemons[last]
		if primary != "e1" {
			asking = f.daemons[last-1]
		}
		caller := f.dial(asking, "checkout", testKey)
		f.await("the load of the primary is known", func() bool {
			caller.query("WRITE i1 second")
			return knowsAll(asking.loads(t), []string{primary})
		})
	})
}

// knowsAll reports whether fresh loads of all endpoints are known.
func knowsAll(loads []knownLoad, endpoints []string) bool {
	for _, endpoint := range endpoints {
		if !slices.ContainsFunc(loads, func(l knownLoad) bool {
			return l.Endpoint == endpoint && l.Slots > 0 && l.AgeMS < time.Second.Milliseconds()
		}) {
			return false
		}
	}
	return true
}
