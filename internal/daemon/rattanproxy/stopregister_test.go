package rattanproxy_test

import (
	"context"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattankv"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanproxy"
)

// slowRevocation is how long the store takes to answer the revocation of a lease: longer
// than the interval of its renewals.
const slowRevocation = 450 * time.Millisecond

// A slowRevoker is a store that revokes leases at once and answers late.
type slowRevoker struct{ rattankv.Store }

func (s slowRevoker) RevokeLease(ctx context.Context, lease rattankv.Lease) error {
	err := s.Store.RevokeLease(ctx, lease)
	time.Sleep(slowRevocation)
	return err
}

// TestStopRegistersNoMore guards against a daemon that registers again after it has
// unregistered: others wait for it in switchovers although it has ended.
func TestStopRegistersNoMore(t *testing.T) {
	t.Parallel()
	f := newFleetWithoutDaemons(t)
	f.platform = func(address string) rattanproxy.Platform {
		platform := rattanplatform.New(address, address)
		platform.Store = slowRevoker{platform.Store}
		return platform
	}
	f.startAll(1)
	f.dial(f.daemons[0], "checkout", testKey).retryUntilOK("WRITE i1 before", waitBound)
	f.daemons[0].stop()
	<-f.daemons[0].stopped
	if entry, ok := f.store.Value(rattancache.VMPrefix + f.daemons[0].name); ok {
		t.Errorf("the daemon has ended and is registered: %s", entry)
	}
}
