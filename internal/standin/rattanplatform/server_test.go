package rattanplatform

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

func put(t *testing.T, s rattanv1connect.PlatformServiceClient, request *rattanv1.PutRequest) (uint64, connect.Code) {
	t.Helper()
	response, err := s.Put(t.Context(), connect.NewRequest(request))
	if err != nil {
		return 0, connect.CodeOf(err)
	}
	return response.Msg.GetRevision(), 0
}

func setFault(t *testing.T, s *Server, fault *rattanv1.SetFaultRequest) {
	t.Helper()
	if _, err := s.SetFault(t.Context(), connect.NewRequest(fault)); err != nil {
		t.Fatal(err)
	}
}

// TestPut guards against a compare-and-swap that overwrites another change and
// against limits that are not enforced, over the network as well as in memory.
func TestPut(t *testing.T) {
	memory := New(rattanclock.System())
	path, handler := New(rattanclock.System()).Handler()
	if path == "" {
		t.Fatal("path of the handler is empty")
	}
	web := httptest.NewServer(handler)
	defer web.Close()
	for name, s := range map[string]rattanv1connect.PlatformServiceClient{
		"memory":  memory,
		"network": rattanv1connect.NewPlatformServiceClient(web.Client(), web.URL),
	} {
		t.Run(name, func(t *testing.T) {
			for _, tc := range []struct {
				name    string
				request *rattanv1.PutRequest
				code    connect.Code
			}{
				{"create", &rattanv1.PutRequest{Key: "a", Value: make([]byte, 1<<20)}, 0},
				{"create twice", &rattanv1.PutRequest{Key: "a"}, connect.CodeAborted},
				{"old revision", &rattanv1.PutRequest{Key: "a", ExpectedRevision: 9}, connect.CodeAborted},
				{"right revision", &rattanv1.PutRequest{Key: "a", ExpectedRevision: 1}, 0},
				{"too large", &rattanv1.PutRequest{Key: "a", ExpectedRevision: 2, Value: make([]byte, 1<<20+1)}, connect.CodeInvalidArgument},
				{"unknown lease", &rattanv1.PutRequest{Key: "b", Lease: 7}, connect.CodeNotFound},
				{"delete", &rattanv1.PutRequest{Key: "a", ExpectedRevision: 2, Delete: true}, 0},
				{"create again", &rattanv1.PutRequest{Key: "a"}, 0},
			} {
				if _, code := put(t, s, tc.request); code != tc.code {
					t.Errorf("%s: code %v, want %v", tc.name, code, tc.code)
				}
			}
		})
	}
}

// TestFaults guards against injected faults without the effect that tests rely on.
func TestFaults(t *testing.T) {
	s := New(rattanclock.System())
	setFault(t, s, &rattanv1.SetFaultRequest{LoseAnswers: 1})
	if _, code := put(t, s, &rattanv1.PutRequest{Key: "a"}); code != connect.CodeUnavailable {
		t.Errorf("put with a lost response: code %v, want unavailable", code)
	}
	if revision, _ := put(t, s, &rattanv1.PutRequest{Key: "a", ExpectedRevision: 1}); revision != 2 {
		t.Errorf("put after the one with a lost response: revision %d, want 2", revision)
	}
	setFault(t, s, &rattanv1.SetFaultRequest{Down: true})
	if _, code := put(t, s, &rattanv1.PutRequest{Key: "b"}); code != connect.CodeUnavailable {
		t.Errorf("put while the platform is down: code %v, want unavailable", code)
	}
	counters, err := s.GetCounters(t.Context(), nil)
	if err != nil || counters.Msg.GetWrites() != 3 {
		t.Errorf("counters: %v, %v, want 3 writes", counters, err)
	}
}

func watch(t *testing.T, s *Server, after uint64, wait time.Duration) *rattanv1.WatchResponse {
	t.Helper()
	response, err := s.Watch(t.Context(), connect.NewRequest(&rattanv1.WatchRequest{
		Prefix: "a", AfterRevision: after, MaxWaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		t.Fatal(err)
	}
	return response.Msg
}

// TestWatch guards against a watch that misses a change or the deletion of a key
// with its lease, and against one that skips changes while watches are stalled.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(rattanclock.System())
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			put(t, s, &rattanv1.PutRequest{Key: "a1"})
		}()
		if got := watch(t, s, 0, 10*time.Second); len(got.GetEntries()) != 1 || time.Since(start) != time.Second {
			t.Errorf("watch of a new key: %v after %s, want one entry after 1s", got, time.Since(start))
		}
		lease, err := s.GrantLease(t.Context(), connect.NewRequest(&rattanv1.GrantLeaseRequest{TtlMs: 3000}))
		if err != nil {
			t.Fatal(err)
		}
		revision, _ := put(t, s, &rattanv1.PutRequest{Key: "a2", Lease: lease.Msg.GetLease()})
		start = time.Now()
		got := watch(t, s, revision, 10*time.Second)
		if len(got.GetEntries()) != 1 || !got.GetEntries()[0].GetDeleted() || time.Since(start) != 3*time.Second {
			t.Errorf("watch of a key with a lease: %v after %s, want its deletion after 3s", got, time.Since(start))
		}
		setFault(t, s, &rattanv1.SetFaultRequest{StallWatches: true})
		if got := watch(t, s, 0, time.Second); len(got.GetEntries()) != 0 || got.GetRevision() != 0 {
			t.Errorf("stalled watch: %v, want no entries and the revision of the request", got)
		}
	})
}

// TestLeaseOutage guards against leases that expire because the platform itself was
// down, which would remove the VMs that hold them.
func TestLeaseOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(rattanclock.System())
		lease, err := s.GrantLease(t.Context(), connect.NewRequest(&rattanv1.GrantLeaseRequest{TtlMs: 3000}))
		if err != nil {
			t.Fatal(err)
		}
		setFault(t, s, &rattanv1.SetFaultRequest{Down: true})
		time.Sleep(time.Minute)
		setFault(t, s, &rattanv1.SetFaultRequest{})
		keepAlive := connect.NewRequest(&rattanv1.KeepAliveRequest{Lease: lease.Msg.GetLease()})
		if _, err := s.KeepAlive(t.Context(), keepAlive); err != nil {
			t.Errorf("keep a lease alive after the outage: %v", err)
		}
		time.Sleep(4 * time.Second)
		if _, err := s.KeepAlive(t.Context(), keepAlive); connect.CodeOf(err) != connect.CodeNotFound {
			t.Errorf("keep an expired lease alive: %v, want not found", err)
		}
	})
}

// TestVMList guards against a VM list that does not lag, or that still has a VM
// whose lease has expired.
func TestVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(rattanclock.System(), WithVMLag(5*time.Second))
		names := func() (names []string) {
			response, err := s.ListVMs(context.Background(), nil)
			if err != nil {
				t.Fatal(err)
			}
			for _, vm := range response.Msg.GetVms() {
				names = append(names, vm.GetName()+"@"+vm.GetPeerAddress())
			}
			return names
		}
		lease, err := s.GrantLease(t.Context(), connect.NewRequest(&rattanv1.GrantLeaseRequest{TtlMs: 8000}))
		if err != nil {
			t.Fatal(err)
		}
		value, err := proto.Marshal(&rattanv1.VM{PeerAddress: "p"})
		if err != nil {
			t.Fatal(err)
		}
		put(t, s, &rattanv1.PutRequest{Key: "vm/a", Value: value, Lease: lease.Msg.GetLease()})
		if got := names(); len(got) != 0 {
			t.Errorf("list before the lag has passed: %v, want none", got)
		}
		for _, want := range []int{1, 1, 0} {
			time.Sleep(5 * time.Second)
			if got := names(); len(got) != want || want > 0 && got[0] != "a@p" {
				t.Errorf("got %v, want %d VMs", got, want)
			}
		}
		setFault(t, s, &rattanv1.SetFaultRequest{Vms: []*rattanv1.VM{{Name: "x"}}})
		if got := names(); len(got) != 1 || got[0] != "x@" {
			t.Errorf("list set by SetFault: %v, want x only", got)
		}
	})
}
