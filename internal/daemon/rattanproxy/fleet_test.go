package rattanproxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanplatform"
	"github.com/rattanstream/rattanstream/internal/daemon/rattanproxy"
	"github.com/rattanstream/rattanstream/internal/standin/rattankvserver"
	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// testKey is the caller's key, testAccount the client account that holds it.
	testKey     = "key-of-dealer"
	testAccount = "dealer"
	// switchoverBound is the users' time limit for a change of primary.
	switchoverBound = 8 * time.Second
	// settleTime is long enough for started daemons to know each other.
	settleTime = 1 * time.Second
	// shortStopTimeout is the stop_timeout of most tests, deployedStopTimeout that of the
	// deployments: half of it is longer than the load balancer takes to notice a stop.
	shortStopTimeout    = 4 * time.Second
	deployedStopTimeout = 6 * time.Second
	// waitBound limits the wait for a condition that the test expects soon.
	waitBound = 10 * time.Second
)

// A fleet is a number of daemons in front of one group of three endpoints, with a
// stand-in for the shared store.
type fleet struct {
	t         *testing.T
	store     *rattankvserver.Server
	group     *rattanlineserver.Group
	endpoints map[string]*rattanlineserver.Endpoint
	daemons   []*testDaemon
	// moreSettings are lines for the settings of the daemons.
	moreSettings string
	// stopTimeout is the stop_timeout of the daemons.
	stopTimeout time.Duration
	// platform connects a daemon to the platform at an address.
	platform func(address string) rattanproxy.Platform
	// syncReplicas is how many replicas receive a commit before it is acknowledged.
	syncReplicas int
	// unlisted are the endpoints that write no entries to the store.
	unlisted map[string]bool
	// storeLink is the capacity of each daemon's link to the store in bytes per second, 0 for no
	// limit.
	storeLink int
	// hasMetrics is true when the daemons serve metrics and dumps.
	hasMetrics bool
}

// A testDaemon is a daemon of the fleet, with its caller address and its log.
type testDaemon struct {
	name    string
	callers string
	metrics string
	stop    context.CancelFunc
	stopped chan struct{}
	log     *lockedBuffer
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// newFleet starts daemons, alternately in the failure domains a and b.
func newFleet(t *testing.T, daemons int) *fleet {
	t.Helper()
	return newFleetWith(t, daemons, "")
}

// newFleetWith starts daemons with further lines in their settings.
func newFleetWith(t *testing.T, daemons int, moreSettings string) *fleet {
	t.Helper()
	f := newFleetWithoutDaemons(t)
	f.moreSettings = moreSettings
	f.startAll(daemons)
	return f
}

func newFleetWithoutDaemons(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, group: rattanlineserver.NewGroup("orders", 20*time.Millisecond), endpoints: make(map[string]*rattanlineserver.Endpoint), stopTimeout: shortStopTimeout}
	f.platform = func(address string) rattanproxy.Platform { return rattanplatform.New(address, address) }
	f.store = rattankvserver.New(func(_, id string) bool {
		ok := f.group.Promote(id)
		f.register()
		return ok
	})
	for _, id := range []string{"e1", "e2", "e3"} {
		endpoint, err := f.group.Add(id, 30)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(endpoint.Crash)
		f.endpoints[id] = endpoint
	}
	f.register()
	f.configure(1, 1000, testKey)
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) startAll(daemons int) {
	f.t.Helper()
	for i := range daemons {
		f.start(fmt.Sprintf("vm-%d", i+1), string(rune('a'+i%2)))
	}
}

// register writes the endpoints' entries to the store.
func (f *fleet) register() {
	for id, endpoint := range f.endpoints {
		if f.isUnlisted(id) {
			continue
		}
		domain := map[string]string{"e1": "a", "e2": "b", "e3": "b", "e4": "b"}[id]
		if err := f.store.Put("servers/"+id, endpoint.Entry(domain, "ready")); err != nil {
			f.t.Error(err)
		}
	}
}

func (f *fleet) configure(version int, rate float64, keys ...string) {
	f.t.Helper()
	f.configureAccounts(version, rate, 0, keys...)
}

// configureAccounts is configure with further accounts.
func (f *fleet) configureAccounts(version int, rate float64, more int, keys ...string) {
	f.t.Helper()
	config := platformtest.Config{
		Version: version, Account: testAccount, Keys: keys, MoreAccounts: more, Rate: rate, Connections: 30,
		Timeout: 2 * time.Second, Objective: 250 * time.Millisecond, Staleness: 1500 * time.Millisecond,
		SyncReplicas: f.syncReplicas,
	}
	if err := f.store.Put(platformtest.ConfigKey, config.Entry()); err != nil {
		f.t.Fatal(err)
	}
}

// firstPort and ports define a range below the kernel's ephemeral ports, so that no
// outgoing connection takes a free address before a daemon listens on it.
const (
	firstPort = 20_000
	ports     = 10_000
)

// givenAddresses are the addresses that freeAddress has returned: the daemon that got one
// may not listen on it yet.
var givenAddresses sync.Map

// freeAddress returns an address on which nothing listens and that no other daemon of the
// tests has got.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if _, isGiven := givenAddresses.LoadOrStore(address, true); isGiven {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// start runs a daemon whose calls to the store carry its name, so that the store
// can refuse a single daemon.
func (f *fleet) start(name, domain string) *testDaemon {
	f.t.Helper()
	storeProxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Test-Client", name)
		if f.storeLink > 0 {
			w = &narrowWriter{ResponseWriter: w, bytesPerSecond: f.storeLink}
		}
		f.store.ServeHTTP(w, r)
	}))
	f.t.Cleanup(storeProxy.Close)
	address := strings.TrimPrefix(storeProxy.URL, "http://")
	daemon := &testDaemon{name: name, callers: freeAddress(f.t), stopped: make(chan struct{}), log: &lockedBuffer{}}
	metrics := ""
	if f.hasMetrics {
		daemon.metrics = freeAddress(f.t)
		metrics = "metrics_address = " + daemon.metrics
	}
	settings, err := rattansettings.ParseProxySettings("test", fmt.Sprintf(`[proxy]
vm = %s
failure_domain = %s
caller_address = %s
readiness_address = %s
peer_address = %s
store_address = %s
duty_address = %s
stop_timeout = %s
drain_limit = 3s
evacuation_limit = 3s
%s
%s`, name, domain, daemon.callers, freeAddress(f.t), freeAddress(f.t), address, address, f.stopTimeout, metrics, f.moreSettings))
	if err != nil {
		f.t.Fatal(err)
	}
	logger := log.NewWithOptions(daemon.log, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	reload := func() (*rattansettings.ProxySettings, error) { return settings, nil }
	proxy := rattanproxy.New(settings, reload, rattanclock.System(), rattanclock.BootTime(), logger, f.platform(address))
	ctx, cancel := context.WithCancel(context.Background())
	daemon.stop = cancel
	go func() {
		defer close(daemon.stopped)
		if err := proxy.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.daemons = append(f.daemons, daemon)
	return daemon
}

// A narrowWriter writes a response over a link of limited capacity.
type narrowWriter struct {
	http.ResponseWriter
	bytesPerSecond int
}

// Write implements io.Writer.
func (w *narrowWriter) Write(p []byte) (int, error) {
	const part = 16 << 10
	written := 0
	for written < len(p) {
		n, err := w.ResponseWriter.Write(p[written:min(written+part, len(p))])
		written += n
		if err != nil {
			return written, err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(w.bytesPerSecond))
	}
	return written, nil
}

// stopAll stops all daemons and, if the test has failed, prints their logs.
func (f *fleet) stopAll() {
	for _, daemon := range f.daemons {
		daemon.stop()
	}
	for _, daemon := range f.daemons {
		<-daemon.stopped
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", daemon.name, daemon.log)
		}
	}
}

// A testCaller is one caller's session.
type testCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	next   int
}

// dial opens a session. It retries until the daemon knows a configuration.
func (f *fleet) dial(daemon *testDaemon, database, key string) *testCaller {
	f.t.Helper()
	var last string
	for start := time.Now(); time.Since(start) < waitBound; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", daemon.callers)
		if err != nil {
			continue
		}
		c := &testCaller{t: f.t, conn: conn, reader: bufio.NewReader(conn)}
		fmt.Fprintf(conn, "START %s %s\r\n", database, key)
		last, err = c.reader.ReadString('\n')
		if err == nil && strings.HasPrefix(last, "READY I") {
			f.t.Cleanup(func() { _ = conn.Close() })
			return c
		}
		_ = conn.Close()
	}
	f.t.Fatalf("no session for database %s; last response: %s", database, last)
	return nil
}

// query runs a statement and returns its response without the READY line; the
// lines are joined with "|".
func (c *testCaller) query(text string) string {
	c.t.Helper()
	answer, err := c.tryQuery(text)
	if err != nil {
		c.t.Fatalf("%s: %v", text, err)
	}
	return answer
}

func (c *testCaller) tryQuery(text string) (string, error) {
	c.next++
	if err := c.conn.SetDeadline(time.Now().Add(waitBound)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY id%d %s\r\n", c.next, text); err != nil {
		return "", err
	}
	var answer []string
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		line = strings.TrimRight(line, "\r\n")
		if strings.HasPrefix(line, "READY ") {
			return strings.Join(answer, "|"), nil
		}
		answer = append(answer, line)
	}
}

// retryUntilOK repeats a statement while it is refused as not run, and returns how
// long that took.
func (c *testCaller) retryUntilOK(text string, bound time.Duration) time.Duration {
	c.t.Helper()
	start := time.Now()
	var last string
	for time.Since(start) < bound {
		last = c.query(text)
		if strings.Contains(last, "COMPLETE") {
			return time.Since(start)
		}
		if !strings.HasPrefix(last, "ERROR BUSY") {
			c.t.Fatalf("%s: %s", text, last)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("%s is still refused after %s; last response: %s", text, bound, last)
	return 0
}

// writeRepeatedly writes again and again for d; each write must be accepted within
// a bound.
func (c *testCaller) writeRepeatedly(d, bound time.Duration) {
	c.t.Helper()
	for start, n := time.Now(), 0; time.Since(start) < d; n++ {
		c.retryUntilOK(fmt.Sprintf("WRITE i1 again%d", n), bound)
		time.Sleep(50 * time.Millisecond)
	}
}

// assertWritesResume writes until a write is accepted, which must be within
// switchoverBound. A write that was in flight when the primary was lost may be in doubt;
// one that is refused as not run must not take effect, and the accepted one once.
func (f *fleet) assertWritesResume(caller *testCaller) {
	f.t.Helper()
	start := time.Now()
	for n := 0; ; n++ {
		data := fmt.Sprint("after", n)
		answer := caller.query("WRITE i1 " + data)
		runs := f.group.Runs(data)
		switch {
		case strings.Contains(answer, "COMPLETE"):
			if runs != 1 {
				f.t.Errorf("%s took effect %d times", data, runs)
			}
			assertContains(f.t, caller.query("READ i1"), "ROW "+data)
			return
		case strings.HasPrefix(answer, "ERROR BUSY") && runs != 0:
			f.t.Errorf("%s was refused as not run and took effect", data)
		}
		if time.Since(start) > switchoverBound {
			f.t.Fatalf("no write was accepted within %s; last response: %s", switchoverBound, answer)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func assertContains(t *testing.T, got, want string) {
	t.Helper()
	if !strings.Contains(got, want) {
		t.Errorf("got %q, which does not contain %q", got, want)
	}
}

// assertClosed waits until the daemon closes the session.
func (c *testCaller) assertClosed() {
	c.t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(waitBound)); err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("the daemon did not close the session: %v", err)
	}
}
