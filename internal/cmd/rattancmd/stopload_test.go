package rattancmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// A loadResult says how a caller's request ended.
type loadResult string

const (
	resultAnswered loadResult = "answered"
	// resultNoConnection means that no connection was made.
	resultNoConnection loadResult = "no connection"
	// resultUnsent means that the connection ended before the whole request was
	// written.
	resultUnsent loadResult = "not sent"
	// resultReset means that the first request on a new connection was reset by the
	// kernel, which does so only with a connection that the daemon has not accepted or
	// not read from.
	resultReset loadResult = "reset before the daemon accepted it"
	// resultIdle means that the request met the close of a connection that had not been
	// used for idleTime. HTTP clients have to expect that.
	resultIdle loadResult = "sent while its idle connection was closed"
	// resultCut means that the whole request was written and the connection ended
	// without the whole response, for none of these reasons.
	resultCut loadResult = "cut"
)

const (
	// reconnectPause is the time between two attempts to connect to a daemon that
	// does not listen.
	reconnectPause = 5 * time.Millisecond
	// maxShortPause is the longest time between two requests of a busy caller, and
	// maxLongPause that of one whose connection is idle most of the time.
	maxShortPause = 10 * time.Millisecond
	maxLongPause  = 1500 * time.Millisecond
	// idleTime is how long a stopping daemon keeps a connection without requests.
	idleTime = 500 * time.Millisecond
)

// A cutRequest is a request that was written and has no whole response.
type cutRequest struct {
	result     loadResult
	caller, id string
	at         time.Time
	err        error
}

// classifyCut returns the result of a request that was written on conn and failed with
// err.
func classifyCut(conn httptrace.GotConnInfo, err error) loadResult {
	switch {
	case !conn.Reused && errors.Is(err, syscall.ECONNRESET):
		return resultReset
	case conn.Reused && conn.WasIdle && conn.IdleTime > idleTime:
		return resultIdle
	default:
		return resultCut
	}
}

// A callerLoad sends requests to daemons until it is stopped, each request once and
// on a connection that is used until the daemon closes it.
type callerLoad struct {
	urls    []string
	key     string
	stop    atomic.Bool
	running sync.WaitGroup
	lastID  atomic.Int64

	mutex   sync.Mutex
	results map[string]int
	cut     []cutRequest
}

var callerLoads sync.Map // *testscript.TestScript to *callerLoad

// cmdLoad starts callers at daemons, or stops them and checks that none of their
// requests was cut.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	switch {
	case neg || len(args) == 0:
		ts.Fatalf("usage: load start URL... | load stop URL")
	case args[0] == "start":
		load := &callerLoad{urls: args[1:], key: ts.Getenv("KEY"), results: make(map[string]int)}
		callerLoads.Store(ts, load)
		ts.Defer(load.end)
		load.start()
	case args[0] == "stop" && len(args) == 2:
		found, ok := callerLoads.Load(ts)
		if !ok {
			ts.Fatalf("no load was started")
		}
		load := found.(*callerLoad)
		load.end()
		load.check(ts, args[1])
	default:
		ts.Fatalf("unknown: load %s", args[0])
	}
}

func (l *callerLoad) end() {
	l.stop.Store(true)
	l.running.Wait()
}

// A loadCaller is one caller of a load. It uses one daemon at a time.
type loadCaller struct {
	load     *callerLoad
	name     string
	url      string
	client   *http.Client
	maxPause time.Duration
}

func http1Client() *http.Client {
	return &http.Client{Transport: &http.Transport{}}
}

func http2Client() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

func newConnectionClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func (l *callerLoad) start() {
	for i, url := range l.urls {
		other := l.urls[(i+1)%len(l.urls)]
		shared := http2Client()
		for n := range 3 {
			l.run(fmt.Sprintf("http1-%d-%d", i, n), url, http1Client(), maxShortPause, (*loadCaller).write)
			l.run(fmt.Sprintf("http2-%d-%d", i, n), url, shared, maxShortPause, (*loadCaller).write)
			l.run(fmt.Sprintf("new-%d-%d", i, n), url, newConnectionClient(), maxShortPause, (*loadCaller).write)
		}
		for n := range 12 {
			l.run(fmt.Sprintf("idle1-%d-%d", i, n), url, http1Client(), maxLongPause, (*loadCaller).write)
			l.run(fmt.Sprintf("idle2-%d-%d", i, n), url, http2Client(), maxLongPause, (*loadCaller).write)
		}
		l.run(fmt.Sprintf("read-%d", i), url, http1Client(), maxShortPause, (*loadCaller).read)
		l.run(fmt.Sprintf("batch-%d", i), url, http1Client(), maxShortPause, (*loadCaller).batch)
		l.run(fmt.Sprintf("transaction-%d", i), url, http1Client(), maxShortPause, (*loadCaller).transaction)
		l.run(fmt.Sprintf("forwarded-%d", i), url, http2Client(), maxShortPause, func(c *loadCaller) { c.transactionAt(other) })
	}
}

// run starts a caller that repeats step until the load is stopped.
func (l *callerLoad) run(name, url string, client *http.Client, maxPause time.Duration, step func(*loadCaller)) {
	caller := &loadCaller{load: l, name: name, url: url, client: client, maxPause: maxPause}
	l.running.Go(func() {
		defer client.CloseIdleConnections()
		for !l.stop.Load() {
			step(caller)
			time.Sleep(rand.N(maxPause))
		}
	})
}

func (c *loadCaller) newID() string { return fmt.Sprintf("%s-%d", c.name, c.load.lastID.Add(1)) }

func insertStatement(id string) string {
	return fmt.Sprintf(`{"text":"INSERT INTO items (id, amount) VALUES ('%s', 1)"}`, id)
}

func (c *loadCaller) write() {
	id := c.newID()
	c.send(c.url, "Execute", id, fmt.Sprintf(`{"service":"orders","request_id":%q,"statement":%s}`, id, insertStatement(id)))
}

func (c *loadCaller) read() {
	c.send(c.url, "Execute", c.newID(), `{"service":"orders","statement":{"text":"SELECT amount FROM items WHERE id = 'none'"},"read_only":true}`)
}

func (c *loadCaller) batch() {
	id := c.newID()
	c.send(c.url, "ExecuteBatch", id, fmt.Sprintf(`{"service":"orders","request_id":%q,"statements":[%s,%s]}`, id, insertStatement(id), insertStatement(id+"-second")))
}

func (c *loadCaller) transaction() { c.transactionAt(c.url) }

// transactionAt begins a transaction at the caller's daemon and continues it at another.
func (c *loadCaller) transactionAt(url string) {
	id := c.newID()
	answer, ok := c.send(c.url, "Begin", id, `{"service":"orders"}`)
	var begun struct {
		Transaction string `json:"transaction"`
	}
	if !ok || json.Unmarshal([]byte(answer), &begun) != nil {
		return
	}
	if _, ok := c.send(url, "ExecuteInTransaction", id, fmt.Sprintf(`{"transaction":%q,"sequence":1,"statement":%s}`, begun.Transaction, insertStatement(id))); !ok {
		c.send(c.url, "Rollback", id, fmt.Sprintf(`{"transaction":%q}`, begun.Transaction))
		return
	}
	c.send(url, "Commit", id, fmt.Sprintf(`{"transaction":%q,"request_id":%q}`, begun.Transaction, id))
}

// send sends one request, records its result and reports whether it succeeded.
func (c *loadCaller) send(url, method, id, body string) (string, bool) {
	var connection atomic.Pointer[httptrace.GotConnInfo]
	var written atomic.Bool
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { connection.Store(&info) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/rattanstream.v1.CallerService/"+method, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.load.key)
	status, text, err := c.do(request)
	switch {
	case err == nil && status == http.StatusOK:
		c.load.record(string(resultAnswered))
		return text, true
	case err == nil:
		c.load.record(describeReason(text))
	case connection.Load() == nil || isDialError(err):
		c.load.record(string(resultNoConnection))
		time.Sleep(reconnectPause)
	case !written.Load():
		c.load.record(string(resultUnsent))
	default:
		result := classifyCut(*connection.Load(), err)
		c.load.record(string(result))
		c.load.recordCut(cutRequest{result: result, caller: c.name + " " + method, id: id, at: time.Now(), err: err})
	}
	return "", false
}

// isDialError reports whether the last attempt found no daemon. The client makes a
// second attempt only when the daemon cannot have handled the first one.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (c *loadCaller) do(request *http.Request) (int, string, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// describeReason returns the reason and the run state of a refusal.
func describeReason(text string) string {
	words := strings.Fields(describeRefusal([]byte(text)))
	if len(words) < 2 || !strings.HasPrefix(words[0], "REASON_") {
		return "no refusal: " + text
	}
	return words[0] + " " + words[1]
}

func (l *callerLoad) record(result string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results[result]++
}

func (l *callerLoad) recordCut(cut cutRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = append(l.cut, cut)
}

// check logs the results and fails for each request that was cut, or that ran and has
// no answer. It finds out at url what ran.
func (l *callerLoad) check(ts *testscript.TestScript, url string) {
	for _, result := range slices.Sorted(maps.Keys(l.results)) {
		ts.Logf("%6d %s", l.results[result], result)
	}
	if l.results[string(resultAnswered)] == 0 {
		ts.Fatalf("no request was answered")
	}
	failed := 0
	for _, cut := range l.cut {
		ran := isStored(ts, url, l.key, cut.id)
		if ran || cut.result == resultCut {
			failed++
		}
		ts.Logf("%s: %s, %s id %s, ran %t: %v", cut.result, cut.at.UTC().Format(time.RFC3339Nano), cut.caller, cut.id, ran, cut.err)
	}
	if failed > 0 {
		ts.Fatalf("%d requests were cut or had run without an answer", failed)
	}
}

// isStored reports whether the daemon at url finds the row with the given id.
func isStored(ts *testscript.TestScript, url, key, id string) bool {
	response, err := post(http.DefaultClient, url, "Execute", key, "",
		fmt.Sprintf(`{"service":"orders","statement":{"text":"SELECT id FROM items WHERE id = '%s'"}}`, id))
	ts.Check(err)
	return strings.Contains(response.body, strconv.Quote(id))
}

// cmdRestarts stops daemons at the same time and starts them again, count times.
func cmdRestarts(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: restarts COUNT VM...")
	}
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	for range count {
		begin := time.Now()
		for _, vm := range args[1:] {
			if err := findProcess(ts, vm).cmd.Process.Signal(syscall.SIGTERM); err != nil {
				ts.Fatalf("signal %s: %v", vm, err)
			}
		}
		for _, vm := range args[1:] {
			cmdStopped(ts, false, []string{vm, "0"})
		}
		ts.Logf("%v stopped in %s", args[1:], time.Since(begin).Round(time.Millisecond))
		for _, vm := range args[1:] {
			cmdStart(ts, false, []string{vm})
		}
		for _, vm := range args[1:] {
			awaitServing(ts, vm)
		}
	}
}

// awaitServing waits until the daemon of a VM answers a read.
func awaitServing(ts *testscript.TestScript, vm string) {
	const body = `{"service":"orders","statement":{"text":"SELECT amount FROM items WHERE id = 'none'"},"read_only":true}`
	err := errors.New("not tried")
	for end := time.Now().Add(awaitTimeout); err != nil && time.Now().Before(end); time.Sleep(awaitInterval) {
		_, err = post(http.DefaultClient, ts.Getenv(variable(vm)), "Execute", ts.Getenv("KEY"), "", body)
	}
	ts.Check(err)
}
