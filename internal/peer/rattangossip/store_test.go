package rattangossip

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	kindSettings   = rattanv1.RecordKind_RECORD_KIND_SETTINGS
	kindDaemon     = rattanv1.RecordKind_RECORD_KIND_DAEMON
	kindSuspicion  = rattanv1.RecordKind_RECORD_KIND_SUSPICION
	kindWithdrawal = rattanv1.RecordKind_RECORD_KIND_WITHDRAWAL
)

func record(kind rattanv1.RecordKind, name string, epoch, version uint64) Record {
	return Record{Kind: kind, Name: name, Epoch: epoch, Version: version}
}

// TestOffer guards against a Merge that replaces a newer version by an older one, and
// against changes that subscribers get twice or out of order.
func TestOffer(t *testing.T) {
	store := NewStore(clockwork.NewFakeClock())
	var reported []Record
	store.Subscribe(kindSettings, func(changed []Record) {
		reported = append(reported, changed...)
		// A subscribed function may itself merge a record.
		if changed[0].Version == 5 {
			store.Merge(record(kindSettings, "shop", 0, 6))
		}
	})
	for _, step := range []struct {
		record  Record
		changed bool
	}{
		{record(kindSettings, "shop", 0, 2), true},
		{record(kindSettings, "shop", 0, 2), false},
		{record(kindSettings, "shop", 0, 1), false},
		{record(kindSettings, "shop", 0, 5), true},
		{record(kindSettings, "shop", 0, 0), false},
		{record(kindDaemon, "vm-1", 2, 1), true},
		{record(kindDaemon, "vm-1", 1, 9), false},
	} {
		if got := len(store.Merge(step.record)) == 1; got != step.changed {
			t.Errorf("Merge(%v): changed = %t, want %t", step.record, got, step.changed)
		}
	}
	var versions []uint64
	for _, r := range reported {
		versions = append(versions, r.Version)
	}
	if !slices.Equal(versions, []uint64{2, 5, 6}) {
		t.Errorf("subscriber got versions %v, want 2, 5, 6", versions)
	}
}

// TestWithdrawal guards against a withdrawal that a later record replaces, and
// against one that can be removed.
func TestWithdrawal(t *testing.T) {
	store := NewStore(clockwork.NewFakeClock())
	store.Merge(Record{Kind: kindWithdrawal, Name: "k1", Version: 3, Value: []byte("withdrawn")})
	store.Merge(Record{Kind: kindWithdrawal, Name: "k1", Epoch: 1, Version: 9})
	if got, _ := store.Get(kindWithdrawal, "k1"); string(got.Value) != "withdrawn" {
		t.Errorf("stored withdrawal is %+v, want the first one", got)
	}
	if store.Remove(kindWithdrawal, "k1") || store.Remove(kindSettings, "k1") {
		t.Error("a record other than a daemon's was removed")
	}
}

// TestDigest guards against a digest that depends on the order of changes, or that
// covers suspicions, which expire on each daemon at another time.
func TestDigest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewStore(clock), NewStore(clock)
	one.Merge(record(kindSettings, "a", 0, 1), record(kindDaemon, "b", 1, 1), record(kindSettings, "a", 0, 2))
	two.Merge(record(kindDaemon, "b", 1, 1), record(kindSettings, "a", 0, 2), record(kindSuspicion, "g", 0, 1))
	if one.Digest() != two.Digest() {
		t.Error("digests of equal stores differ")
	}
	two.Merge(record(kindDaemon, "b", 1, 2))
	if one.Digest() == two.Digest() {
		t.Error("digests of different stores are equal")
	}
	clock.Advance(time.Minute)
	two.Sweep()
	if got := two.List(kindSuspicion); len(got) != 0 {
		t.Errorf("suspicion still stored after a minute: %v", got)
	}
}

// TestRemove guards against a removed record that is accepted again from a peer
// that removes it later, and against a daemon that cannot return after its removal.
func TestRemove(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := NewStore(clock)
	store.Merge(record(kindDaemon, "vm-1", 3, 1))
	empty := NewStore(clock).Digest()
	store.Remove(kindDaemon, "vm-1")
	if store.Digest() != empty {
		t.Error("digest still covers a removed record")
	}
	if changed := store.Merge(record(kindDaemon, "vm-1", 3, 1)); len(changed) != 0 {
		t.Error("version of a removed record was accepted again")
	}
	if changed := store.Merge(record(kindDaemon, "vm-1", 3, 2)); len(changed) != 1 {
		t.Error("newer version of a removed record was not accepted")
	}
}

// exchangeUntilEqual runs exchanges until the stores are equal and returns the number
// of messages.
func exchangeUntilEqual(t *testing.T, clock *clockwork.FakeClock, from, to *Exchange) int {
	t.Helper()
	for messages := 0; messages < 100; {
		clock.Advance(GossipInterval)
		request := from.Request(to.self)
		for request != nil {
			messages += 2
			request = from.HandleResponse(request, to.HandleRequest(request), clock.Now())
		}
		if from.store.Digest() == to.store.Digest() {
			return messages
		}
	}
	t.Fatal("stores still differ after 100 messages")
	return 0
}

// TestRepair guards against stores that stay different after a partition, also when
// the differences do not fit into one page, and against a number of messages that
// grows with the records that both stores have.
func TestRepair(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewStore(clock), NewStore(clock)
	for i := range 1000 {
		r := record(kindDaemon, "vm-"+strings.Repeat("x", i%7)+string(rune('a'+i%26)), 1, uint64(i))
		one.Merge(r)
		two.Merge(r)
	}
	large := record(kindSettings, "large", 0, 4)
	large.Value = make([]byte, 200<<10)
	two.Merge(large, record(kindSettings, "older", 0, 1))
	one.Merge(record(kindSettings, "older", 0, 2), record(kindSettings, "mine", 0, 1))
	huge := record(kindSettings, "huge", 0, 1)
	huge.Value = make([]byte, 900<<10)
	two.Merge(huge)
	clock.Advance(time.Minute)
	from := NewExchange(Peer{VM: "one"}, one)
	to := NewExchange(Peer{VM: "two"}, two)
	t.Logf("%d messages until equal", exchangeUntilEqual(t, clock, from, to))
	if got, _ := two.Get(kindSettings, "older"); got.Version != 2 {
		t.Errorf("older has version %d, want 2", got.Version)
	}
}

// TestLargeRecordRequestedOnce guards against a daemon that requests a large record
// from every peer that announces it.
func TestLargeRecordRequestedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := NewStore(clock), NewStore(clock)
	large := record(kindSettings, "large", 0, 4)
	large.Value = make([]byte, 100<<10)
	one.Merge(large)
	push := NewExchange(Peer{VM: "one"}, one).Push()
	if len(push.GetRecords()) != 0 || len(push.GetVersions()) != 1 {
		t.Fatalf("push has %d records and %d versions, want one version", len(push.GetRecords()), len(push.GetVersions()))
	}
	receiver := NewExchange(Peer{VM: "two"}, two)
	first, second := receiver.HandleRequest(push), receiver.HandleRequest(push)
	if len(first.GetWanted()) != 1 || len(second.GetWanted()) != 0 {
		t.Errorf("record requested %d and %d times, want 1 and 0", len(first.GetWanted()), len(second.GetWanted()))
	}
	clock.Advance(2 * requestInterval)
	if again := receiver.HandleRequest(push); len(again.GetWanted()) != 1 {
		t.Error("record not requested again after the first request had no result")
	}
}
