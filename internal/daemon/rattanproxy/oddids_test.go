package rattanproxy_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

// oddIDs are statement ids that hold what separates fields and lines elsewhere. An id holds no
// blank and ends no message.
var oddIDs = []string{
	`a"b'c`, "a\u2028b\u2029c", "a\x00b", `}{"id":"victim"}`, `","level":"error`, "<a&b>", "a\x1b[2Jb", "a\tb", "a/b/c",
	"a,b=c", strings.Repeat("x", 100_000),
}

// metricLine is a line of the metrics page.
var metricLine = regexp.MustCompile(`^[a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? -?[0-9.]+$`)

// queryAs is query with an id.
func (c *testCaller) queryAs(id, text string) string {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		c.t.Fatal(err)
	}
	var answer []string
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("%.50q: %v", id, err)
		}
		if strings.HasPrefix(line, "READY ") {
			return strings.Join(answer, "|")
		}
		answer = append(answer, strings.TrimSuffix(line, "\r\n"))
	}
}

// get returns the body of a page of the metrics server.
func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// loggedIDs returns how often each id is in a log, whose lines must all be JSON, and checks
// that no caller's key is in it.
func loggedIDs(t *testing.T, log string) map[string]int {
	t.Helper()
	ids := make(map[string]int)
	for line := range strings.Lines(log) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Errorf("%.200q is no JSON line: %v", line, err)
		}
		if id, ok := fields["id"].(string); ok {
			ids[id]++
		}
	}
	if strings.Contains(log, testKey) {
		t.Error("the log contains the caller's key")
	}
	return ids
}

// TestOddIDs guards against ids and names of callers that end or split a line of the log, or
// become a metric or a part of the state dump.
func TestOddIDs(t *testing.T) {
	t.Parallel()
	f := newFleetWithoutDaemons(t)
	f.hasMetrics = true
	f.startAll(2)
	for _, daemon := range f.daemons {
		f.dial(daemon, "checkout", testKey).retryUntilOK("WRITE i1 first", waitBound)
		for _, id := range oddIDs {
			caller := f.dial(daemon, "checkout", testKey)
			assertContains(t, caller.queryAs(id, "EXECUTE none i1"), "ERROR NOSUCHSTMT")
			assertContains(t, caller.queryAs(id, "WRITE i2 "+id), ".proof")
			assertContains(t, caller.queryAs(id, "READ i2"), "ROW "+id)
		}
		ids := loggedIDs(t, daemon.log.String())
		for _, id := range oddIDs {
			if ids[id] == 0 {
				t.Errorf("%s: the failed statement of the id %.50q is not in the log", daemon.name, id)
			}
		}
		if ids["victim"] != 0 {
			t.Errorf("%s logs an id that no statement had", daemon.name)
		}
		for line := range strings.Lines(get(t, "http://"+daemon.metrics+"/metrics")) {
			if !metricLine.MatchString(strings.TrimSuffix(line, "\n")) {
				t.Errorf("%s: %q is no metric", daemon.name, line)
			}
		}
		if dump := get(t, "http://"+daemon.metrics+"/dump"); !json.Valid([]byte(dump)) || strings.Contains(dump, "victim") || strings.Contains(dump, testKey) {
			t.Errorf("%s: the dump is no JSON, or holds an id or a key", daemon.name)
		}
	}
}
