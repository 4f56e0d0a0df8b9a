package rattancmd

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"regexp"
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

// A cutRequest is a request that was written and has no whole response.
type cutRequest struct {
	result     loadResult
	caller, id string
	at         time.Time
	err        error
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
	// stored is the number of rows of the answered requests, and uncertain that of the
	// requests that may have run.
	stored, uncertain int
}

// integerPattern finds the value of a row with one integer.
var integerPattern = regexp.MustCompile(`"integer":"([0-9]+)"`)

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
		l.run(fmt.Sprintf("long-%d", i), url, http1Client(), maxShortPause, (*loadCaller).longTransaction)
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

// describeReason returns the reason and the run state of a refusal.
func describeReason(text string) string {
	words := strings.Fields(describeRefusal([]byte(text)))
	if len(words) < 2 || !strings.HasPrefix(words[0], "REASON_") {
		return "no refusal: " + text
	}
	return words[0] + " " + words[1]
}

func (l *callerLoad) record(result string, stored, uncertain int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results[result]++
	l.stored += stored
	l.uncertain += uncertain
}

// recordRefusal records a refusal of a request that would have stored rows.
func (l *callerLoad) recordRefusal(reason string, rows int) {
	if strings.HasSuffix(reason, "RUN_STATE_NOT_RUN") {
		rows = 0
	}
	l.record(reason, 0, rows)
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
	l.checkRows(ts, url)
}

// checkRows compares the number of rows with the answers. More rows than answered and
// uncertain requests explain were stored by requests that were refused as not run.
func (l *callerLoad) checkRows(ts *testscript.TestScript, url string) {
	response, err := post(http.DefaultClient, url, "Execute", l.key, "", `{"service":"orders","statement":{"text":"SELECT COUNT(*) FROM items"}}`)
	ts.Check(err)
	match := integerPattern.FindStringSubmatch(response.body)
	if match == nil {
		ts.Fatalf("no count in %s", response.body)
	}
	rows, err := strconv.Atoi(match[1])
	ts.Check(err)
	ts.Logf("%d rows, %d answered, %d uncertain", rows, l.stored, l.uncertain)
	if rows < l.stored || rows > l.stored+l.uncertain {
		ts.Fatalf("the number of rows is not that of the answers")
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
