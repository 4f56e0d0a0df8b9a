package rattanupstream

import (
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
)

// A fakeEndpoint accepts a limited number of connections and counts them.
type fakeEndpoint struct {
	mu       sync.Mutex
	limit    int
	open     int
	accounts []string
	counts   map[string]int
}

func (e *fakeEndpoint) dial(string, time.Duration) (Conn, error) { return &fakeConn{endpoint: e}, nil }

func (e *fakeEndpoint) count(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[name]++
}

func (e *fakeEndpoint) setLimit(limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

type fakeConn struct {
	endpoint *fakeEndpoint
	isOpen   bool
}

var errUnused = errors.New("not used by the test")

func (c *fakeConn) Open(_, account, _ string) (rattanstatement.Result, error) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if c.endpoint.open >= c.endpoint.limit {
		return rattanstatement.Result{Code: rattanstatement.TooManyConnections}, nil
	}
	c.endpoint.open++
	c.endpoint.accounts = append(c.endpoint.accounts, account)
	c.isOpen = true
	return rattanstatement.Result{}, nil
}

func (c *fakeConn) Close() error {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if c.isOpen {
		c.endpoint.open--
	}
	c.isOpen = false
	return nil
}

func (c *fakeConn) Abort() error                          { return c.Close() }
func (c *fakeConn) IsStale() bool                         { return false }
func (c *fakeConn) SetDeadline(time.Time) error           { return nil }
func (c *fakeConn) Send(...rattanstatement.Request) error { return errUnused }
func (c *fakeConn) Receive() (rattanstatement.Result, error) {
	return rattanstatement.Result{}, errUnused
}

func (c *fakeConn) ParseStatus(rattanstatement.Result) (rattanstatement.EndpointStatus, error) {
	return rattanstatement.EndpointStatus{}, errUnused
}

func (c *fakeConn) HasSurplus() bool { return false }

// newScarce returns an upstream with so many connections, kept by demand, at an endpoint
// that accepts as many.
func newScarce(connections int) (*Upstream, *fakeEndpoint) {
	endpoint := &fakeEndpoint{limit: connections, counts: make(map[string]int)}
	limits := rattanadmission.Limits{Connections: connections, InFlight: connections, ByDemand: true}
	return New(rattanclock.System(), endpoint.dial, rattangrant.New(rattanclock.System(), time.Second), rattancatalog.Endpoint{ID: "e"}, limits, endpoint.count, func() {}), endpoint
}

func useOnce(t *testing.T, u *Upstream, account string) {
	t.Helper()
	pooled, err := u.Acquire(AcquireRequest{Account: account, Deadline: time.Now().Add(time.Second)})
	if err != nil {
		t.Fatalf("account %s: %v", account, err)
	}
	u.Release(pooled)
}

func assertCounts(t *testing.T, endpoint *fakeEndpoint, want map[string]int) {
	t.Helper()
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if !maps.Equal(endpoint.counts, want) {
		t.Errorf("counted %v, want %v", endpoint.counts, want)
	}
}

// TestScarceConnectionsStayOpen guards against an owner that closes all idle connections
// after the endpoint had too many, and opens them all again; and against one that takes no
// notice.
func TestScarceConnectionsStayOpen(t *testing.T) {
	u, endpoint := newScarce(9)
	for _, account := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		useOnce(t, u, account)
	}
	// Another daemon holds one.
	endpoint.setLimit(8)
	useOnce(t, u, "i")
	assertCounts(t, endpoint, map[string]int{CountOpened: 9, CountOverCap: 1})
	if held := u.Held(); held != 7 {
		t.Errorf("%d connections are held, want 7: two of eight idle ones make room for one", held)
	}
	if since := time.Since(u.RefusedAt()); since > time.Minute {
		t.Errorf("refused %s ago", since)
	}
}

// TestOpensAhead guards against an active account that waits for a new connection although
// slots were free before, and against more than the limit.
func TestOpensAhead(t *testing.T) {
	u, endpoint := newScarce(3)
	for range 9 {
		useOnce(t, u, "active")
	}
	useOnce(t, u, "rare")
	for _, idle := range u.queue.TakeIdle() {
		_ = idle.conn.Close()
	}
	u.OpenAhead()
	u.OpenAhead()
	u.OpenAhead()
	useOnce(t, u, "active")
	assertCounts(t, endpoint, map[string]int{CountOpened: 2, CountAhead: 2})
	if got := endpoint.accounts; len(got) != 4 || got[2] != "active" || got[3] != "rare" {
		t.Errorf("connections were opened for %q, want the active account's ahead first", got)
	}
}
