package rattancmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// A pendingRequest is a request that waits for its endpoint.
type pendingRequest struct {
	name, id, url, method, body string
	// want begins the description of the expected refusal.
	want string
	err  error
}

// A pendingSet is requests to one daemon, and to another one for transactions of it.
type pendingSet struct {
	key      string
	requests []*pendingRequest
	running  sync.WaitGroup
}

var pendingSets sync.Map // *testscript.TestScript to *pendingSet

// cmdPending prepares requests, sends them in the background, or waits for their
// answers and checks that each is a refusal that says whether it may have run.
func cmdPending(ts *testscript.TestScript, neg bool, args []string) {
	switch {
	case !neg && len(args) == 3 && args[0] == "prepare":
		pendingSets.Store(ts, newPendingSet(ts, args[1], args[2]))
	case !neg && len(args) == 1 && args[0] == "send":
		findPending(ts).send()
	case !neg && len(args) == 2 && args[0] == "check":
		findPending(ts).check(ts, args[1])
	default:
		ts.Fatalf("usage: pending prepare URL OTHER | pending send | pending check URL")
	}
}

func findPending(ts *testscript.TestScript) *pendingSet {
	found, ok := pendingSets.Load(ts)
	if !ok {
		ts.Fatalf("no requests were prepared")
	}
	return found.(*pendingSet)
}

// newPendingSet begins transactions at the daemon of url. One of them is continued at
// other.
func newPendingSet(ts *testscript.TestScript, url, other string) *pendingSet {
	const ended, lost = "REASON_SHUTTING_DOWN ", "RUN_STATE_UNKNOWN"
	set := &pendingSet{key: ts.Getenv("KEY")}
	body := func(format string, args ...any) string {
		return `{"service":"orders",` + fmt.Sprintf(format, args...) + `}`
	}
	set.add("write", "p1", url, "Execute", body(`"request_id":"p1","statement":%s`, insertStatement("p1")), ended)
	set.add("batch", "p2", url, "ExecuteBatch", body(`"request_id":"p2","statements":[%s]`, insertStatement("p2")), ended)
	set.add("commit", "p3", url, "Commit", fmt.Sprintf(`{"transaction":%q,"request_id":"p3"}`, set.begin(ts, url, "p3")), lost)
	set.add("forwarded commit", "p4", other, "Commit", fmt.Sprintf(`{"transaction":%q,"request_id":"p4"}`, set.begin(ts, url, "p4")), lost)
	return set
}

func (s *pendingSet) add(name, id, url, method, body, want string) {
	s.requests = append(s.requests, &pendingRequest{name: name, id: id, url: url, method: method, body: body, want: want})
}

// begin opens a transaction that has inserted a row.
func (s *pendingSet) begin(ts *testscript.TestScript, url, id string) string {
	response, err := post(http.DefaultClient, url, "Begin", s.key, "", `{"service":"orders"}`)
	ts.Check(err)
	var begun struct {
		Transaction string `json:"transaction"`
	}
	ts.Check(json.Unmarshal([]byte(response.body), &begun))
	_, err = post(http.DefaultClient, url, "ExecuteInTransaction", s.key, "",
		fmt.Sprintf(`{"transaction":%q,"sequence":1,"statement":%s}`, begun.Transaction, insertStatement(id)))
	ts.Check(err)
	return begun.Transaction
}

func (s *pendingSet) send() {
	for _, request := range s.requests {
		s.running.Go(func() {
			_, request.err = post(http.DefaultClient, request.url, request.method, s.key, "", request.body)
		})
	}
}

// check fails for a request without the expected refusal, and for one that was refused
// as not run and whose row is found at url.
func (s *pendingSet) check(ts *testscript.TestScript, url string) {
	s.running.Wait()
	failed := 0
	for _, request := range s.requests {
		ts.Logf("%s: %v", request.name, request.err)
		if request.err == nil || !strings.HasPrefix(request.err.Error(), "REASON_") || !strings.Contains(request.err.Error(), request.want) {
			failed++
			continue
		}
		if strings.Contains(request.err.Error(), "RUN_STATE_NOT_RUN") && isStored(ts, url, s.key, request.id) {
			ts.Logf("%s: its row is stored", request.name)
			failed++
		}
	}
	if failed > 0 {
		ts.Fatalf("%d of %d requests did not get a refusal that is true", failed, len(s.requests))
	}
}
