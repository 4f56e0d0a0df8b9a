package rattanmember

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/peer/rattangossip"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

var (
	traffic    = flag.Bool("traffic", false, "print the control traffic of fleets of several sizes, up to 770 daemons")
	trafficMax = flag.Int("traffic_max", 770, "size of the largest fleet of -traffic")
)

// TestTraffic guards against control traffic above the 17 KB/s per daemon of the
// design, and against running daemons that are seen as not live. It also prints
// the bytes and messages per daemon. Large fleets are run only with -traffic.
func TestTraffic(t *testing.T) {
	sizes := []struct{ daemons, domains int }{{2, 1}, {9, 3}, {50, 3}}
	if *traffic {
		sizes = append(sizes, []struct{ daemons, domains int }{{200, 4}, {*trafficMax, 7}}...)
		t.Log("daemons domains  sent_B/s received_B/s messages/s max_sent_B/s not_live join settings_change")
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, size.daemons, size.domains)
				join := f.until(60*time.Second, "join", f.allLive)
				time.Sleep(15 * time.Second)
				f.resetCounters()
				const seconds = 10
				notLive := 0
				for range seconds * 2 {
					time.Sleep(500 * time.Millisecond)
					notLive += f.notLive()
				}
				sent, received, messages, highest := f.counters()
				n := uint64(size.daemons * seconds)
				f.daemons[0].store.Merge(settings(1, 20000))
				change := f.until(8*time.Second, "settings change", func() bool { return f.allHave(settings(1, 0)) })
				t.Logf("%7d %7d %9d %12d %10.1f %12d %8d %s %s", size.daemons, size.domains, sent/n, received/n,
					float64(messages)/float64(n), highest/seconds, notLive, join, change)
				if sent/n > 17000 {
					t.Errorf("%d bytes/s sent by a daemon of %d, want at most 17000", sent/n, size.daemons)
				}
				if notLive > 0 {
					t.Errorf("running daemons were seen as not live %d times, want none without faults", notLive)
				}
			})
		})
	}
}

func (f *fleet) resetCounters() {
	for _, d := range f.daemons {
		d.sent.Store(0)
		d.received.Store(0)
		d.messages.Store(0)
	}
}

// counters returns the totals over all daemons, and the most bytes that one of them
// has sent.
func (f *fleet) counters() (sent, received, messages, highest uint64) {
	for _, d := range f.daemons {
		sent += d.sent.Load()
		received += d.received.Load()
		messages += d.messages.Load()
		highest = max(highest, d.sent.Load())
	}
	return sent, received, messages, highest
}

// notLive returns how many pairs of daemons there are of which the first does not
// see the second live.
func (f *fleet) notLive() int {
	count := 0
	for _, d := range f.daemons {
		count += len(f.daemons) - 1 - len(d.registry.LivePeers())
	}
	return count
}

// TestSpread guards against changes that do not reach every daemon within 8 s when
// messages are lost, and against a daemon that returns to an older version.
func TestSpread(t *testing.T) {
	for _, size := range []struct{ daemons, domains int }{{9, 3}, {200, 4}} {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, size.daemons, size.domains)
				f.until(30*time.Second, "join", f.allLive)
				f.watchVersions()
				f.setNetwork(0.2, nil)
				for version := uint64(1); version <= 3; version++ {
					f.daemons[int(version)].store.Merge(settings(version, 20000))
					// An older version from a source that lags must not change anything.
					f.daemons[0].store.Merge(settings(version-1, 10))
					took := f.until(8*time.Second, "settings change with 20% loss", func() bool { return f.allHave(settings(version, 0)) })
					t.Logf("settings revision %d with 20%% loss: %s", version, took)
				}
				withdrawn := rattangossip.Record{Kind: rattanv1.RecordKind_RECORD_KIND_WITHDRAWAL, Name: "k7f3a", Version: 1}
				f.daemons[0].store.Merge(withdrawn)
				took := f.until(8*time.Second, "withdrawal with 20% loss", func() bool { return f.allHave(withdrawn) })
				t.Logf("withdrawal with 20%% loss: %s", took)
			})
		})
	}
}

// watchVersions fails the test when a daemon's version of the settings does not
// rise with each change.
func (f *fleet) watchVersions() {
	for _, d := range f.daemons {
		var last uint64
		d.store.Subscribe(rattanv1.RecordKind_RECORD_KIND_SETTINGS, func(records []rattangossip.Record) {
			for _, record := range records {
				if record.Version <= last {
					f.t.Errorf("%s went from revision %d to %d", d.identity.VM, last, record.Version)
				}
				last = record.Version
			}
		})
	}
}

// TestCutDomain guards against a failure domain that counts as live while it is
// partitioned from the others, and against one that does not catch up after the
// partition has healed.
func TestCutDomain(t *testing.T) {
	for _, size := range []struct{ daemons, domains int }{{9, 3}, {200, 4}} {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, size.daemons, size.domains)
				f.until(30*time.Second, "join", f.allLive)
				f.watchVersions()
				f.setNetwork(0, func(from, to *testDaemon) bool {
					return (from.identity.FailureDomain == "b") != (to.identity.FailureDomain == "b")
				})
				took := f.until(10*time.Second, "cut seen", func() bool { return f.seeOnly("b") })
				t.Logf("cut seen by all after %s", took)
				f.daemons[0].store.Merge(settings(5, 20000))
				f.daemons[1].store.Merge(settings(4, 20000))
				time.Sleep(15 * time.Second)
				f.setNetwork(0, nil)
				took = f.until(15*time.Second, "return", func() bool { return f.allHave(settings(5, 0)) && f.allLive() })
				t.Logf("returned domain up to date and live after %s", took)
			})
		})
	}
}

// seeOnly reports whether the daemons on each side of the partition see only daemons
// of their own side live.
func (f *fleet) seeOnly(domain string) bool {
	for _, d := range f.daemons {
		for _, m := range d.registry.LivePeers() {
			if (m.FailureDomain == domain) != (d.identity.FailureDomain == domain) {
				return false
			}
		}
	}
	return true
}
