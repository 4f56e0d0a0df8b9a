package rattanproxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattanfanout"
)

const (
	// configApplyBound is the smallest config_apply_ms of the users' sites: each daemon in touch
	// uses a version no later than that after the store has acknowledged it.
	configApplyBound = 3 * time.Second
	// propagationFleet is a number of daemons of which half follow a watcher.
	propagationFleet = 8
)

// watchersOf returns the daemons that watch the store for a failure domain, of a fleet that
// startAll has started.
func watchersOf(domain string) []string {
	vms := make(rattanfanout.Fleet)
	for i := range propagationFleet {
		vms[fmt.Sprintf("vm-%d", i+1)] = rattanfanout.VM{FailureDomain: string(rune('a' + i%2)), ProcessorCores: 1}
	}
	return vms.Watchers(domain)
}

// TestVersionReachesDaemons guards against daemons that go on with an older version because
// the daemons that watch the store for them learn of no newer one.
func TestVersionReachesDaemons(t *testing.T) {
	t.Parallel()
	watchers := watchersOf("a")
	for _, test := range []struct {
		name  string
		begin func(f *fleet)
	}{
		{"the watches of one watcher hang", func(f *fleet) { f.store.HoldWatches(watchers[0], true) }},
		{"the watches of both watchers hang", func(f *fleet) {
			f.store.HoldWatches(watchers[0], true)
			f.store.HoldWatches(watchers[1], true)
		}},
		{"the store does not answer both watchers", func(f *fleet) {
			f.store.Silence(watchers[0], true)
			f.store.Silence(watchers[1], true)
		}},
		{"the store refuses both watchers", func(f *fleet) {
			f.store.Refuse(watchers[0], true)
			f.store.Refuse(watchers[1], true)
		}},
		{"all watches in progress hang", func(f *fleet) { f.store.SilenceWatches() }},
		{"the history is dropped", func(f *fleet) { f.store.Forget() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, propagationFleet)
			f.dial(f.daemons[propagationFleet-1], "checkout", testKey)
			time.Sleep(2 * settleTime)
			test.begin(f)
			for version := 2; version < 5; version++ {
				key := fmt.Sprint("key-of-version-", version)
				f.configure(version, 1000, key)
				f.assertKeyWorks(key, configApplyBound)
			}
		})
	}
}

// TestVersionsBehindNarrowLink guards against a daemon that gets each version which it has
// missed, one after the other, before the newest one.
func TestVersionsBehindNarrowLink(t *testing.T) {
	t.Parallel()
	const missed, accounts, link = 100, 600, 1 << 20
	f := newFleetWithoutDaemons(t)
	f.storeLink = link
	f.start("vm-1", "a")
	f.dial(f.daemons[0], "checkout", testKey)
	f.store.Silence("vm-1", true)
	time.Sleep(2 * settleTime)
	for version := range missed {
		f.configureAccounts(2+version, 1000, accounts, fmt.Sprint("key-of-version-", version))
	}
	f.store.Silence("vm-1", false)
	f.assertKeyWorks(fmt.Sprint("key-of-version-", missed-1), configApplyBound)
}
