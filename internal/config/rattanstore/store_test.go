package rattanstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/standin/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A fakePlatform is the platform stand-in with hooks that change the responses of
// some calls.
type fakePlatform struct {
	*rattanplatform.Server
	onGet   func(*rattanv1.GetResponse)
	onWatch func(*rattanv1.WatchResponse)
	onPut   func() error
}

func (f *fakePlatform) Get(ctx context.Context, request *connect.Request[rattanv1.GetRequest]) (*connect.Response[rattanv1.GetResponse], error) {
	response, err := f.Server.Get(ctx, request)
	if err == nil && f.onGet != nil {
		f.onGet(response.Msg)
	}
	return response, err
}

func (f *fakePlatform) Watch(ctx context.Context, request *connect.Request[rattanv1.WatchRequest]) (*connect.Response[rattanv1.WatchResponse], error) {
	response, err := f.Server.Watch(ctx, request)
	if err == nil && f.onWatch != nil {
		f.onWatch(response.Msg)
	}
	return response, err
}

func (f *fakePlatform) Put(ctx context.Context, request *connect.Request[rattanv1.PutRequest]) (*connect.Response[rattanv1.PutResponse], error) {
	response, err := f.Server.Put(ctx, request)
	if f.onPut != nil {
		if err := f.onPut(); err != nil {
			return nil, err
		}
	}
	return response, err
}

func newFake() *fakePlatform {
	return &fakePlatform{Server: rattanplatform.New(rattanclock.System())}
}

func newStore(platform Platform) *Store {
	return New(platform, rattanclock.System(), WithRate(1000, 1000), WithJitter(func() float64 { return 0.5 }))
}

func (f *fakePlatform) fault(t *testing.T, fault *rattanv1.SetFaultRequest) {
	t.Helper()
	if _, err := f.SetFault(t.Context(), connect.NewRequest(fault)); err != nil {
		t.Fatal(err)
	}
}

func textChange(id, text string, expected uint64) Change {
	return Change{
		Team: "shop", ID: id, Author: "shop", Request: text, ExpectedRevision: expected,
		Update: func(StoredDocument) (string, error) { return text, nil },
	}
}

func appendChange(id string) Change {
	return Change{
		Team: "shop", ID: id, Request: id, AnyRevision: true,
		Update: func(current StoredDocument) (string, error) { return current.INI + "# " + id + "\n", nil },
	}
}

func mustChange(t *testing.T, s *Store, change Change) ChangeResult {
	t.Helper()
	applied, err := s.Change(t.Context(), change)
	if err != nil {
		t.Fatalf("Change %s: %v", change.ID, err)
	}
	return applied
}

func mustLoad(t *testing.T, s *Store) StoredDocument {
	t.Helper()
	stored, err := s.Load(t.Context(), "shop")
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// TestChange guards against a change that overwrites another one, that is applied
// twice, or that is taken for a different request with the same id.
func TestChange(t *testing.T) {
	s := newStore(newFake())
	first := mustChange(t, s, textChange("c1", "# one\n", 0))
	mustChange(t, s, textChange("c2", "# two\n", first.Revision))
	repeated := mustChange(t, s, textChange("c1", "# one\n", 0))
	if !repeated.AlreadyApplied || repeated.Revision != first.Revision {
		t.Errorf("repeat: %+v, want revision %d", repeated, first.Revision)
	}
	var conflict *ConflictError
	_, err := s.Change(t.Context(), textChange("c3", "# three\n", first.Revision))
	if !errors.As(err, &conflict) || conflict.ExpectedRevision != first.Revision || conflict.ActualRevision != first.Revision+1 {
		t.Errorf("conflict: %v", err)
	}
	var reused *ChangeIDError
	if _, err := s.Change(t.Context(), textChange("c1", "# other\n", 2)); !errors.As(err, &reused) {
		t.Errorf("reused id: %v", err)
	}
	refusal := connect.NewError(connect.CodeUnavailable, errors.New("not valid"))
	refused := Change{Team: "shop", ID: "c4", AnyRevision: true, Update: func(StoredDocument) (string, error) { return "", refusal }}
	if _, err := s.Change(t.Context(), refused); err != refusal {
		t.Errorf("error of Update: %v", err)
	}
	stored := mustLoad(t, s)
	if stored.INI != "# two\n" || len(stored.Changes) != 2 || stored.Changes[1].Diff[0] != "-# one" {
		t.Errorf("stored: %+v", stored)
	}
}

// TestChangeLostAnswer guards against a change that is applied twice, or reported
// as a conflict, when the response is lost after the change was applied.
func TestChangeLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		s := newStore(fake)
		fake.fault(t, &rattanv1.SetFaultRequest{LoseAnswers: 1})
		if applied := mustChange(t, s, textChange("c1", "# one\n", 0)); applied.Revision != 1 || applied.AlreadyApplied {
			t.Errorf("got %+v, want revision 1", applied)
		}
		if stored := mustLoad(t, s); len(stored.Changes) != 1 {
			t.Errorf("changes: %+v", stored.Changes)
		}
		roster, err := s.ChangeRoster(t.Context(), "a", nil, func(members []Member) []Member { return append(members, Member{"vm-a", 1}) })
		if err != nil || len(roster.Members) != 1 {
			t.Errorf("roster: %+v, %v", roster, err)
		}
	})
}

// TestOddRoster guards against an odd entry in a roster, after which no daemon of the failure
// domain joins it any more or is removed from it.
func TestOddRoster(t *testing.T) {
	for _, test := range []struct{ name, odd string }{
		{"a number too large", `{"members":[{"vm":"odd","incarnation":1e400},{"vm":"vm-b","incarnation":2}]}`},
		{"an integer too large", `{"members":[{"vm":"odd","incarnation":18446744073709551616},{"vm":"vm-b","incarnation":2}]}`},
		{"another type", `{"members":["odd",{"vm":"vm-b","incarnation":2}]}`},
		{"no name", `{"members":[{"incarnation":1},{"vm":"vm-b","incarnation":2}]}`},
		{"a name twice", `{"members":[{"vm":"vm-b","incarnation":2},{"vm":"vm-b","incarnation":3}]}`},
		{"a deeply nested member", `{"members":[` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `,{"vm":"vm-b","incarnation":2}]}`},
		{"nested too deeply", `{"members":` + strings.Repeat("[", 80_000)},
		{"no JSON", "\xff"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newStore(newFake())
			odd := &rattanv1.PutRequest{Key: RosterPath("a"), Value: []byte(test.odd)}
			if _, err := s.put(t.Context(), odd); err != nil {
				t.Fatal(err)
			}
			known := []Member{{"vm-b", 2}, {"vm-c", 3}}
			unchanged := func(members []Member) []Member { return members }
			roster, err := s.ChangeRoster(t.Context(), "a", known, unchanged)
			if err != nil || !slices.Equal(roster.Members, known) {
				t.Fatalf("roster %+v, error %v, want the known members", roster, err)
			}
			stored, err := s.LoadRoster(t.Context(), "a")
			if err != nil || !slices.Equal(stored.Members, known) {
				t.Errorf("stored roster %+v, error %v, want the known members", stored, err)
			}
		})
	}
	t.Run("without known members the readable ones stay", func(t *testing.T) {
		s := newStore(newFake())
		odd := &rattanv1.PutRequest{Key: RosterPath("a"), Value: []byte(`{"members":[{"vm":7},{"vm":"vm-b","incarnation":2}]}`)}
		if _, err := s.put(t.Context(), odd); err != nil {
			t.Fatal(err)
		}
		roster, err := s.ChangeRoster(t.Context(), "a", nil, func(members []Member) []Member { return append(members, Member{"vm-a", 1}) })
		if err != nil || !slices.Equal(roster.Members, []Member{{"vm-b", 2}, {"vm-a", 1}}) {
			t.Errorf("roster %+v, error %v", roster, err)
		}
	})
}

// TestChangeOutage guards against a change that is reported as not applied although
// it may have been, and against one reported as unknown although it was not sent.
func TestChangeOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		s := newStore(fake)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		fake.fault(t, &rattanv1.SetFaultRequest{Down: true})
		var unavailable *UnavailableError
		if _, err := s.Change(ctx, textChange("c1", "# one\n", 0)); !errors.As(err, &unavailable) {
			t.Errorf("down from the start: %v", err)
		}
		fake.fault(t, &rattanv1.SetFaultRequest{})
		fake.onPut = func() error {
			fake.fault(t, &rattanv1.SetFaultRequest{Down: true})
			return connect.NewError(connect.CodeUnavailable, errors.New("lost"))
		}
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var unknown *UnknownOutcomeError
		if _, err := s.Change(ctx, textChange("c1", "# one\n", 0)); !errors.As(err, &unknown) {
			t.Errorf("down during the write: %v", err)
		}
		fake.onPut = nil
		fake.fault(t, &rattanv1.SetFaultRequest{})
		if applied := mustChange(t, s, textChange("c1", "# one\n", 0)); !applied.AlreadyApplied || applied.Revision != 1 {
			t.Errorf("repeat after the outage: %+v", applied)
		}
	})
}

// TestChangeRace guards against a change that is lost or applied twice when many
// operators change one document while responses are lost. A change whose response
// was lost can be found as long as no more than keptChanges others come after it.
func TestChangeRace(t *testing.T) {
	const operators = keptChanges
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		fake.fault(t, &rattanv1.SetFaultRequest{LoseAnswers: 10})
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() { mustChange(t, newStore(fake), appendChange(fmt.Sprintf("c%d;", i))) })
		}
		group.Wait()
		stored := mustLoad(t, newStore(fake))
		for i := range operators {
			if n := strings.Count(stored.INI, fmt.Sprintf("# c%d;\n", i)); n != 1 {
				t.Errorf("change %d is applied %d times", i, n)
			}
		}
	})
}

// TestChangePushedOut guards against a change that is applied twice, or reported as
// not applied, when later changes have pushed its id out of the document's list of
// changes, and against a list that grows without limit.
func TestChangePushedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		s, other := newStore(fake), newStore(fake.Server)
		fake.onPut = func() error {
			fake.onPut = nil
			for i := range keptChanges {
				mustChange(t, other, appendChange(fmt.Sprintf("other%d", i)))
			}
			return connect.NewError(connect.CodeUnavailable, errors.New("lost"))
		}
		var unknown *UnknownOutcomeError
		if _, err := s.Change(t.Context(), appendChange("c1")); !errors.As(err, &unknown) || unknown.ChangeID != "c1" {
			t.Errorf("got %v", err)
		}
		stored := mustLoad(t, s)
		if n := strings.Count(stored.INI, "# c1\n"); n != 1 || len(stored.Changes) != keptChanges {
			t.Errorf("applied %d times, %d changes kept", n, len(stored.Changes))
		}
	})
}

// TestStaleRead guards against an old response of the platform that is returned as
// the present document or that makes a change fail with a conflict.
func TestStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		s := newStore(fake)
		mustChange(t, s, textChange("c1", "# one\n", 0))
		old := mustLoad(t, s)
		value, err := old.encode()
		if err != nil {
			t.Fatal(err)
		}
		mustChange(t, s, textChange("c2", "# two\n", 1))
		stale := 2
		fake.onGet = func(response *rattanv1.GetResponse) {
			if stale > 0 {
				stale--
				response.Entry = &rattanv1.KeyValue{Key: "settings/shop", Value: value, Revision: old.Revision}
			}
		}
		var staleRead *StaleReadError
		if _, err := s.Load(t.Context(), "shop"); !errors.As(err, &staleRead) {
			t.Errorf("stale read: %v", err)
		}
		if applied := mustChange(t, s, textChange("c3", "# three\n", 2)); applied.Revision != 3 {
			t.Errorf("change after a stale read: %+v", applied)
		}
	})
}

// TestEncodeLimits guards against a stored value over the platform's limit, and
// against an error that shows the content of a value.
func TestEncodeLimits(t *testing.T) {
	stored := StoredDocument{Team: "shop", INI: strings.Repeat("#", 900<<10)}
	for i := range keptChanges + 1 {
		diff := strings.Split(strings.Repeat("+"+strings.Repeat("é", 200)+"\n", 200), "\n")
		stored.Changes = append(stored.Changes, ChangeRecord{ID: fmt.Sprint(i), Diff: diff})
	}
	value, err := stored.encode()
	if err != nil || len(value) > maxValueBytes {
		t.Fatalf("%d bytes, %v", len(value), err)
	}
	decoded, err := DecodeDocument("shop", 1, value)
	if err != nil || len(decoded.Changes) != keptChanges || decoded.Changes[0].ID != "1" {
		t.Errorf("%d changes, %v", len(decoded.Changes), err)
	}
	stored.INI += stored.INI
	var tooLarge *TooLargeError
	if _, err := stored.encode(); !errors.As(err, &tooLarge) {
		t.Errorf("too large: %v", err)
	}
	var corrupt *CorruptError
	if _, err := DecodeDocument("shop", 1, []byte("rsk_x")); !errors.As(err, &corrupt) || strings.Contains(err.Error(), "rsk") {
		t.Errorf("corrupt: %v", err)
	}
}

// TestRate guards against more calls than the rate limit allows.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(newFake(), rattanclock.System(), WithRate(2, 4))
		start := time.Now()
		for range 10 {
			mustLoad(t, s)
		}
		if got := time.Since(start); got != 3*time.Second {
			t.Errorf("10 calls took %s, want 3s after a burst of 4", got)
		}
		if got := s.Counters().Reads; got != 10 {
			t.Errorf("%d reads counted", got)
		}
	})
}

// TestSlowPlatform guards against timeouts that turn a slow period into an outage.
func TestSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		s := newStore(fake)
		fake.fault(t, &rattanv1.SetFaultRequest{DelayMs: 3000})
		r := &recorder{t: t, last: make(map[string]uint64)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Watch(ctx, "settings/", r) }()
		mustChange(t, s, appendChange("c1"))
		time.Sleep(8 * time.Second)
		if r.revision() != 1 || r.failures != 0 {
			t.Errorf("revision %d, %d failures", r.revision(), r.failures)
		}
	})
}

// A recorder is an Observer that checks that revisions only increase.
type recorder struct {
	t *testing.T

	mu       sync.Mutex
	last     map[string]uint64
	asOf     time.Time
	failures int
}

func (r *recorder) Deliver(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry.Revision <= r.last[entry.Key] {
		r.t.Errorf("%s: revision %d after %d", entry.Key, entry.Revision, r.last[entry.Key])
	}
	r.last[entry.Key] = entry.Revision
}

func (r *recorder) Progress(asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = asOf
}

func (r *recorder) Interrupt(error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
}

func (r *recorder) revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last[rattansettings.DocumentPath("shop")]
}

func (r *recorder) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.asOf)
}

// TestWatch guards against changes that a watch misses after an outage or while
// watches stall, against revisions that go back, and against an outage during
// which the watch reports progress.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		s := newStore(fake)
		other := newStore(fake)
		r := &recorder{t: t, last: make(map[string]uint64)}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Watch(ctx, "settings/", r) }()
		expect := func(name string, want uint64, within time.Duration) {
			t.Helper()
			time.Sleep(within)
			if got := r.revision(); got != want {
				t.Errorf("%s: revision %d, want %d", name, got, want)
			}
		}
		mustChange(t, other, appendChange("c1"))
		expect("ordinary", 1, time.Millisecond)
		fake.onWatch = func(response *rattanv1.WatchResponse) {
			response.Entries = append(response.Entries, &rattanv1.KeyValue{Key: "settings/shop", Revision: 1})
		}
		mustChange(t, other, appendChange("c2"))
		expect("old revision from the platform", 2, time.Second)
		fake.onWatch = nil
		fake.fault(t, &rattanv1.SetFaultRequest{StallWatches: true})
		mustChange(t, other, appendChange("c3"))
		expect("stalled watches", 3, 4*time.Second)
		fake.fault(t, &rattanv1.SetFaultRequest{Down: true})
		time.Sleep(time.Minute)
		if r.age() < 59*time.Second || r.failures == 0 || r.failures > 40 {
			t.Errorf("outage: age %s, %d failures", r.age(), r.failures)
		}
		fake.fault(t, &rattanv1.SetFaultRequest{})
		mustChange(t, other, appendChange("c4"))
		expect("after the outage", 4, maxBackoff)
		time.Sleep(time.Minute)
		if r.age() > 2*time.Second {
			t.Errorf("age of a watch without changes: %s", r.age())
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("end of the watch: %v", err)
		}
	})
}

// TestRegistration guards against a VM that is not registered again after its lease
// has expired, and against one that stays in the list after its daemon stopped.
func TestRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		s := newStore(fake)
		list := func(wait time.Duration) []VM {
			t.Helper()
			time.Sleep(wait)
			vms, err := s.ListVMs(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return vms
		}
		registration := s.NewRegistration(VM{Name: "vm-a", PeerAddress: "p"}, 6*time.Second)
		run := func() (stop func()) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				_ = registration.Run(ctx, func(err error) { t.Log(err) })
				close(done)
			}()
			return func() { cancel(); <-done }
		}
		stop := run()
		if got := list(time.Minute); len(got) != 1 || got[0].PeerAddress != "p" {
			t.Errorf("registered: %+v", got)
		}
		registration.SetLeaving()
		if got := list(6 * time.Second); len(got) != 1 || !got[0].Leaving {
			t.Errorf("leaving: %+v", got)
		}
		stop()
		if got := list(12 * time.Second); len(got) != 0 {
			t.Errorf("paused beyond the lease: %+v", got)
		}
		stop = run()
		if got := list(6 * time.Second); len(got) != 1 {
			t.Errorf("resumed: %+v", got)
		}
		stop()
		if err := registration.Remove(t.Context()); err != nil {
			t.Error(err)
		}
		if got := list(5 * time.Second); len(got) != 0 {
			t.Errorf("removed: %+v", got)
		}
	})
}
