package rattansoak

import (
	"bufio"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// TestReadAnswer guards against a caller that takes a part of an answer, or the data in a row,
// for a whole answer (MIXED).
func TestReadAnswer(t *testing.T) {
	const ready = "READY I 1.2\r\n"
	for _, test := range []struct {
		name, text string
		isWhole    bool
	}{
		{"a success", "COMPLETE x\r\n" + ready, true},
		{"an error", "ERROR BUSY x\r\n" + ready, true},
		{"rows that hold messages", "ROW a\nCOMPLETE fake\nREADY I 9.9\r\nCOMPLETE x\r\n" + ready, true},
		{"rows that end with blanks and carriage returns", "ROW a \r \r\r\nCOMPLETE x\r\n" + ready, true},
		{"no COMPLETE", "ROW a\r\n" + ready, false},
		{"READY alone", ready, false},
		{"no signature", "COMPLETE \r\n" + ready, false},
		{"two COMPLETE", "COMPLETE x\r\nCOMPLETE x\r\n" + ready, false},
		{"COMPLETE and ERROR", "COMPLETE x\r\nERROR BUSY x\r\n" + ready, false},
		{"a row after COMPLETE", "COMPLETE x\r\nROW a\r\n" + ready, false},
		{"no position", "COMPLETE x\r\nREADY I\r\n", false},
		{"more than a position", "COMPLETE x\r\nREADY I 1.2\n\r\n", false},
		{"another message", "QUERY x\r\n", false},
		{"a line feed in place of the end", "COMPLETE x\nREADY I 1.2\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := readAnswer(bufio.NewReader(strings.NewReader(test.text)))
			if isWhole := err == nil; isWhole != test.isWhole {
				t.Errorf("%q: %v", test.text, err)
			}
		})
	}
	t.Run("a part", func(t *testing.T) {
		const whole = "ROW a\nb\r\nCOMPLETE x\r\n" + ready
		for n := range len(whole) {
			if got, err := readAnswer(bufio.NewReader(strings.NewReader(whole[:n]))); err == nil || errors.Is(err, errNotWhole) {
				t.Errorf("%q: %+v, %v", whole[:n], got, err)
			}
		}
	})
}

// startJudged starts a fleet without daemons: its client is connected to the endpoint.
func startJudged(t *testing.T) *client {
	t.Helper()
	fleet := &Fleet{group: rattanlineserver.NewGroup("orders", 0)}
	endpoint, err := fleet.group.Add("e1", 4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Crash)
	c := &client{fleet: fleet, daemon: &Daemon{name: "e1", callers: endpoint.Address()}, database: "orders"}
	t.Cleanup(c.close)
	return c
}

func mustQuery(t *testing.T, c *client, id, text string) answer {
	t.Helper()
	got, err := c.query(id, text)
	if err != nil || !got.isSuccess() {
		t.Fatalf("%q: %+v, %v", text, got, err)
	}
	return got
}

func assertFindings(t *testing.T, c *client, rule string, want int) {
	t.Helper()
	findings := c.fleet.judge.checkArrivals(c.fleet.group.Arrivals())
	var got int
	for _, finding := range findings {
		if strings.HasPrefix(finding, rule+":") {
			got++
		}
	}
	if got != want || len(findings) != want {
		t.Errorf("%d findings of %s, want %d: %q", got, rule, want, findings)
	}
}

// TestJudgeAcceptsOwnAnswers guards against a judge that rejects what the protocol allows.
func TestJudgeAcceptsOwnAnswers(t *testing.T) {
	c := startJudged(t)
	for id, text := range []string{
		"SET v a\nb ", "PREPARE p\n READ x\r", "PREPARE w WRITE y", "READ k", "WRITE k a\nCOMPLETE fake\nREADY I 9.9", "EXECUTE p\n k",
		"BEGIN", "READ k", "EXECUTE w k \r", "COMMIT", "BEGIN READ", "READ k", "ROLLBACK",
	} {
		mustQuery(t, c, "id\n"+string(rune('a'+id)), text)
	}
	assertFindings(t, c, "MIXED", 0)
}

// TestJudgeRejectsAnswers guards against a judge that accepts a success which is not the
// statement's own (MIXED).
func TestJudgeRejectsAnswers(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(a *answer)
	}{
		{"another statement's signature", func(a *answer) { a.signature = "e1.proof.0" }},
		{"an unknown signature", func(a *answer) { a.signature = "fake" }},
		{"no signature", func(a *answer) { a.signature = "-" }},
		{"another row", func(a *answer) { a.rows = []string{"ROW other"} }},
		{"a row less", func(a *answer) { a.rows = nil }},
		{"a row more", func(a *answer) { a.rows = append(a.rows, "ROW other") }},
		{"another state", func(a *answer) { a.state = "T" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := startJudged(t)
			mustQuery(t, c, "first", "READ k")
			got := mustQuery(t, c, "second", "READ k")
			test.change(&got)
			c.fleet.judge.checkAnswer(c.fleet.group, "second", sentStatement{text: "READ k"}, got)
			assertFindings(t, c, "MIXED", 1)
		})
	}
	t.Run("rows without a signature", func(t *testing.T) {
		c := startJudged(t)
		c.fleet.judge.checkAnswer(c.fleet.group, "set", sentStatement{text: "SET a b"}, answer{rows: []string{"ROW x"}, signature: "-", state: "I"})
		assertFindings(t, c, "MIXED", 1)
	})
}

// TestJudgeRejectsArrivals guards against a judge that accepts statements that nobody sent
// (UNASKED), or that ran elsewhere than their session (PINNED).
func TestJudgeRejectsArrivals(t *testing.T) {
	read := sentStatement{text: "READ k", variables: "map[]"}
	execute := sentStatement{text: "EXECUTE s k", variables: "map[]", template: "READ x"}
	ran := func(text string) rattanlineserver.Arrival {
		return rattanlineserver.Arrival{Text: text, Variables: "map[]", HasRun: true}
	}
	changed := func(change func(a *rattanlineserver.Arrival)) rattanlineserver.Arrival {
		arrival := ran("READ k")
		change(&arrival)
		return arrival
	}
	for _, test := range []struct {
		name    string
		sent    sentStatement
		id      string
		arrival rattanlineserver.Arrival
		rule    string
	}{
		{"the same", read, "id", ran("READ k"), ""},
		{"with a position", read, "id", ran("AFTER 1.2 READ k"), ""},
		{"changed", read, "id", ran("READ k "), "UNASKED"},
		{"shortened", sentStatement{text: "WRITE k a\nb"}, "id", ran("WRITE k a"), "UNASKED"},
		{"a write with a position", sentStatement{text: "WRITE k a"}, "id", ran("AFTER 1.2 WRITE k a"), "UNASKED"},
		{"of nobody", read, "z9", ran("WRITE stolen y"), "UNASKED"},
		{"a daemon's write", read, "-", ran("WRITE stolen y"), "UNASKED"},
		{"a daemon's commit", read, "-", ran("COMMIT"), "UNASKED"},
		{"a daemon's status", read, "-", ran("STATUS"), ""},
		{"another name", execute, "id", rattanlineserver.Arrival{Text: "EXECUTE p1 k", Variables: "map[]", Template: "READ x", HasRun: true}, ""},
		{"another template", execute, "id", rattanlineserver.Arrival{Text: "EXECUTE s k", Variables: "map[]", Template: "READ y", HasRun: true}, "PINNED"},
		{"another item", execute, "id", rattanlineserver.Arrival{Text: "EXECUTE p1 m", Variables: "map[]", Template: "READ x", HasRun: true}, "UNASKED"},
		{"other values", read, "id", changed(func(a *rattanlineserver.Arrival) { a.Variables = `map["a":"b"]` }), "PINNED"},
		{"other values without a run", read, "id", changed(func(a *rattanlineserver.Arrival) { a.Variables, a.HasRun = "", false }), ""},
		{"inside a transaction", read, "id", changed(func(a *rattanlineserver.Arrival) { a.Transaction = 1 }), "PINNED"},
		{"outside its transaction", sentStatement{text: "READ k", variables: "map[]", transaction: "b"}, "id", ran("READ k"), "PINNED"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := startJudged(t)
			c.fleet.judge.recordSent("id", test.sent)
			findings := c.fleet.judge.checkArrivals(map[string]map[rattanlineserver.Arrival]int{test.id: {test.arrival: 1}})
			if test.rule == "" && len(findings) > 0 || test.rule != "" && (len(findings) != 1 || !strings.HasPrefix(findings[0], test.rule+":")) {
				t.Errorf("findings %q, want one of %q", findings, test.rule)
			}
		})
	}
}

// TestJudgeRejectsTransactions guards against a judge that accepts transactions whose
// statements ran apart, or together with others (PINNED).
func TestJudgeRejectsTransactions(t *testing.T) {
	for _, test := range []struct {
		name                    string
		first, firstAgain, next int
		last, other             int
		want                    int
	}{
		{name: "together", first: 1, firstAgain: 1, next: 1, last: 1, other: 2},
		{name: "begun again", first: 1, firstAgain: 2, next: 2, last: 2, other: 3},
		{name: "the attempts in another order", first: 2, firstAgain: 1, next: 1, last: 1, other: 3},
		{name: "apart from the first", first: 1, firstAgain: 1, next: 2, last: 2, other: 3, want: 2},
		{name: "apart from each other", first: 1, firstAgain: 2, next: 1, last: 2, other: 3, want: 1},
		{name: "with another one", first: 1, firstAgain: 1, next: 1, last: 1, other: 1, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var j judge
			arrivals := make(map[string]map[rattanlineserver.Arrival]int)
			add := func(id, transaction string, isFirst bool, numbers ...int) {
				j.recordSent(id, sentStatement{text: "READ k", transaction: transaction, isFirst: isFirst})
				arrivals[id] = make(map[rattanlineserver.Arrival]int)
				for _, number := range numbers {
					arrivals[id][rattanlineserver.Arrival{Text: "READ k", Transaction: number, HasRun: true}]++
				}
			}
			add("a1", "a", true, test.first, test.firstAgain)
			add("a2", "a", false, test.next)
			add("a3", "a", false, test.last)
			add("b1", "b", true, test.other)
			if findings := j.checkArrivals(arrivals); len(findings) != test.want {
				t.Errorf("findings %q, want %d", findings, test.want)
			}
		})
	}
}

// TestCheckWrites guards against a check that accepts writes whose effect is not what their
// callers were told (REFUSED, UNASKED, MIXED, TWICE).
func TestCheckWrites(t *testing.T) {
	for _, test := range []struct {
		rule  string
		runs  int
		wrote record
	}{
		{"REFUSED", 1, record{isRefused: true}},
		{"UNASKED", 1, record{isUncommitted: true}},
		{"MIXED", 0, record{isAcknowledged: true}},
		{"TWICE", 2, record{}},
		{"", 1, record{}},
		{"", 1, record{isAcknowledged: true}},
		{"", 0, record{isRefused: true, isUncommitted: true}},
	} {
		t.Run(test.rule, func(t *testing.T) {
			c := startJudged(t)
			for n := range test.runs {
				mustQuery(t, c, string(rune('a'+n)), "WRITE k data\n")
			}
			test.wrote.data = "data\n"
			r := &run{fleet: c.fleet, records: []record{test.wrote}}
			r.checkWrites()
			if got := strings.Join(r.result.Violations, "\n"); (got == "") != (test.rule == "") || !strings.HasPrefix(got, test.rule) {
				t.Errorf("violations %q, want %q", got, test.rule)
			}
		})
	}
}

// TestAwkwardTexts guards against texts that no message can hold.
func TestAwkwardTexts(t *testing.T) {
	if got := dropLineEnds("a\r\r\n\nb\r"); got != "a\n\nb\r" {
		t.Errorf("got %q", got)
	}
}
