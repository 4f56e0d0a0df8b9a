package rattancmd

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// writersPerURL is the number of callers that write at each daemon.
	writersPerURL = 2
	// writerPause separates two writes of one caller, so that the number of rows does
	// not depend much on the speed of the machine.
	writerPause = 10 * time.Millisecond
)

// A writerSet writes rows until it is stopped. A caller whose request fails goes
// to the next daemon with the same request id, as docs/callers.md says.
type writerSet struct {
	urls    []string
	key     string
	stop    atomic.Bool
	running sync.WaitGroup

	mutex        sync.Mutex
	acknowledged []string
	failures     []string
}

var writerSets sync.Map // *testscript.TestScript to *writerSet

// cmdWriters starts callers that write, waits until some writes were
// acknowledged, or stops them and checks that each acknowledged row is stored exactly
// once.
func cmdWriters(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: writers start URL... | writers reach COUNT | writers stop URL")
	}
	if args[0] == "start" {
		set := &writerSet{urls: args[1:], key: ts.Getenv("KEY")}
		writerSets.Store(ts, set)
		ts.Defer(func() {
			set.stop.Store(true)
			set.running.Wait()
		})
		for i := range writersPerURL * len(set.urls) {
			set.running.Go(func() { set.write(i) })
		}
		return
	}
	found, ok := writerSets.Load(ts)
	if !ok {
		ts.Fatalf("no writers were started")
	}
	set := found.(*writerSet)
	switch args[0] {
	case "reach":
		count, err := strconv.Atoi(args[1])
		ts.Check(err)
		set.reach(ts, count)
	case "stop":
		set.stop.Store(true)
		set.running.Wait()
		set.check(ts, args[1])
	default:
		ts.Fatalf("unknown: writers %s", args[0])
	}
}

// write writes rows one after the other until the set is stopped.
func (s *writerSet) write(writer int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; !s.stop.Load(); n++ {
		id := fmt.Sprintf("w%d-%d", writer, n)
		body := fmt.Sprintf(`{"service":"orders","request_id":%q,"statement":{"text":"INSERT INTO items (id, amount) VALUES ('%s', 1)"}}`, id, id)
		s.send(client, writer, id, body)
		time.Sleep(writerPause)
	}
}

// send repeats one write until it is acknowledged, for at most awaitTimeout. The
// first attempt goes to the URL with the index first, modulo their number.
func (s *writerSet) send(client *http.Client, first int, id, body string) {
	var err error
	end := time.Now().Add(awaitTimeout)
	for attempt := first; time.Now().Before(end); attempt++ {
		if _, err = post(client, s.urls[attempt%len(s.urls)], "Execute", s.key, "", body); err == nil {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.acknowledged = append(s.acknowledged, id)
			return
		}
		time.Sleep(awaitInterval)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = append(s.failures, fmt.Sprintf("%s: %v", id, err))
}

// reach waits until count further writes were acknowledged.
func (s *writerSet) reach(ts *testscript.TestScript, count int) {
	start := s.count()
	for end := time.Now().Add(awaitTimeout); s.count() < start+count; time.Sleep(awaitInterval) {
		if time.Now().After(end) {
			ts.Fatalf("%d writes were acknowledged, want %d", s.count()-start, count)
		}
	}
}

func (s *writerSet) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.acknowledged)
}

// check reads all rows at the primary and compares them with the acknowledgements.
func (s *writerSet) check(ts *testscript.TestScript, url string) {
	if len(s.failures) > 0 {
		ts.Fatalf("writes were never acknowledged:\n%s", strings.Join(s.failures, "\n"))
	}
	response, err := post(http.DefaultClient, url, "Execute", s.key, "", `{"service":"orders","statement":{"text":"SELECT id FROM items"}}`)
	ts.Check(err)
	for _, id := range s.acknowledged {
		if found := strings.Count(response.body, fmt.Sprintf("%q", id)); found != 1 {
			ts.Fatalf("acknowledged row %s was found %d times, want once", id, found)
		}
	}
	ts.Logf("%d acknowledged rows were found once each", len(s.acknowledged))
}
