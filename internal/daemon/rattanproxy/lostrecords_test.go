package rattanproxy

import (
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/platform"
)

// newIdleProxy returns a daemon that does not run.
func newIdleProxy(t *testing.T, vm string) *Proxy {
	t.Helper()
	settings, err := rattansettings.ParseProxySettings("test", `[proxy]
vm = `+vm+`
failure_domain = a
caller_address = 127.0.0.1:1
readiness_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
store_address = 127.0.0.1:4
duty_address = 127.0.0.1:4
`)
	if err != nil {
		t.Fatal(err)
	}
	reload := func() (*rattansettings.ProxySettings, error) { return settings, nil }
	return New(settings, reload, rattanclock.System(), rattanclock.BootTime(), log.New(io.Discard), Platform{Decoder: platform.Decoder{}})
}

// hold replaces the daemon's copy of the store by one that holds a group's record in an
// era.
func (p *Proxy) hold(t *testing.T, era, number int64, record rattangrant.PrimaryRecord) {
	t.Helper()
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	asOf, err := rattankv.NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	item := rattankv.Item{Key: rattancache.GroupPrefix + "orders", Value: value, Revision: asOf}
	p.replaceCache(context.Background(), rattankv.Page{Items: []rattankv.Item{item}, AsOf: asOf}, origin{source: sourceRead})
}

func (p *Proxy) assertPrimary(t *testing.T, want string) {
	t.Helper()
	if record, _, _ := p.grants.Record("orders"); record.Primary != want {
		t.Errorf("%s uses the primary %q, want %q", p.settings.VM(), record.Primary, want)
	}
}

// TestWatcherPassesLostRecordsOn guards against a follower that uses an old primary under
// the grants of its watcher, because the store, restored from an older copy, lacks the
// record that the watcher knows.
func TestWatcherPassesLostRecordsOn(t *testing.T) {
	t.Parallel()
	older := rattangrant.PrimaryRecord{Primary: "e1", Version: 3}
	watcher, follower := newIdleProxy(t, "vm-1"), newIdleProxy(t, "vm-2")
	watcher.hold(t, 1, 90, rattangrant.PrimaryRecord{Primary: "e2", Version: 5})
	watcher.hold(t, 2, 40, older)
	watcher.assertPrimary(t, "e2")
	follower.hold(t, 2, 40, older)
	response := &rattanv1.StoreWatchResponse{}
	watcher.follower.fill(response, &rattanv1.StoreWatchRequest{Vm: "vm-2", Revision: int64(follower.cache.Revision())})
	follower.follower.apply(context.Background(), response, origin{source: sourceWatcher, peer: "vm-1"})
	follower.assertPrimary(t, "e2")
}
