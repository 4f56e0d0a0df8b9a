package rattansoak

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// ownVerbs are the statements that a daemon may send of its own accord, with ownID.
var ownVerbs = []string{"STATUS", "STEPDOWN", "PAUSE", "RESUME", "RESET", "SET", "PREPARE", "DEALLOC", "BEGIN", "ROLLBACK"}

// ownID is the id of the statements of daemons.
const ownID = "-"

// minPositionPrefix is what a daemon may put before a read or a BEGIN.
var minPositionPrefix = regexp.MustCompile(`\AAFTER \d+\.\d+ `)

// A sentStatement is what a caller has sent, with what its session had by the answers.
type sentStatement struct {
	text string
	// template is what the name in an EXECUTE stands for.
	template string
	// variables are the session variables, as rattanlineserver.FormatVariables returns them.
	variables string
	// transaction is the id of the BEGIN of the open transaction, empty outside one.
	transaction string
	// isFirst is true for the first read or write of a transaction.
	isFirst bool
}

// kind returns the verb of the statement; for EXECUTE, that of the prepared statement.
func (s sentStatement) kind() string {
	text := s.text
	if strings.HasPrefix(text, "EXECUTE ") {
		text = s.template
	}
	verb, _, _ := strings.Cut(text, " ")
	return verb
}

// A judge compares what callers and endpoints have sent with what the others received. Its
// zero value has seen nothing.
type judge struct {
	mu   sync.Mutex
	sent map[string]sentStatement
	// findings are the violations that the answers show.
	findings []string
}

func (j *judge) recordSent(id string, statement sentStatement) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sent == nil {
		j.sent = make(map[string]sentStatement)
	}
	j.sent[id] = statement
}

func (j *judge) report(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.findings = append(j.findings, fmt.Sprintf(format, args...))
}

// checkAnswer reports a success that is not the one which an endpoint gave to the statement
// (MIXED).
func (j *judge) checkAnswer(group *rattanlineserver.Group, id string, statement sentStatement, a answer) {
	if !a.isSuccess() {
		return
	}
	wantState, isSigned := "I", false
	if statement.transaction != "" {
		wantState = "T"
	}
	switch statement.kind() {
	case "READ", "WRITE":
		isSigned = true
	case "COMMIT":
		wantState, isSigned = "I", true
	case "ROLLBACK":
		wantState = "I"
	case "BEGIN":
		wantState = "T"
	}
	if a.state != wantState {
		j.report("MIXED: %q (%q) left the state %s, want %s", statement.text, id, a.state, wantState)
	}
	if !isSigned {
		if a.signature != "-" || len(a.rows) > 0 {
			j.report("MIXED: %q (%q) got %q, %q", statement.text, id, a.rows, a.signature)
		}
		return
	}
	var rows strings.Builder
	for _, row := range a.rows {
		rows.WriteString(row + rattanlineserver.LineEnd)
	}
	want := rattanlineserver.SignedAnswer{Statement: id, Rows: rows.String()}
	if signed, ok := group.Signed(a.signature); !ok || signed != want {
		j.report("MIXED: %q (%q) got %q, %q, which signs %+q", statement.text, id, a.rows, a.signature, signed)
	}
}

// checkArrivals returns the violations that the answers and the arrivals show. Nothing may be
// sent any more.
func (j *judge) checkArrivals(arrivals map[string]map[rattanlineserver.Arrival]int) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := &arrivalCheck{violations: slices.Clone(j.findings), callers: make(map[int]string), first: j.firstNumbers(arrivals), next: make(map[string]int)}
	for _, id := range slices.Sorted(maps.Keys(arrivals)) {
		statement, isKnown := j.sent[id]
		for arrival := range arrivals[id] {
			switch {
			case id == ownID:
				c.checkOwn(arrival)
			case !isKnown:
				c.report("UNASKED: nobody sent %q with the id %q", arrival.Text, id)
			case !isText(statement, arrival.Text):
				c.report("UNASKED: a caller sent %q (%q), an endpoint received %q", statement.text, id, arrival.Text)
			case arrival.HasRun:
				c.checkRun(id, statement, arrival)
			}
		}
	}
	return c.violations
}

// firstNumbers returns the numbers of each transaction of a caller: those in which its first
// statement has run. A daemon may run that again, in a new transaction, if it got no answer in
// time, and the attempts may arrive in any order. The caller holds the mutex.
func (j *judge) firstNumbers(arrivals map[string]map[rattanlineserver.Arrival]int) map[string][]int {
	numbers := make(map[string][]int)
	for id, statement := range j.sent {
		for arrival := range arrivals[id] {
			if statement.isFirst && arrival.HasRun {
				numbers[statement.transaction] = append(numbers[statement.transaction], arrival.Transaction)
			}
		}
	}
	return numbers
}

// An arrivalCheck compares what endpoints received with what callers sent.
type arrivalCheck struct {
	violations []string
	// callers has the callers' transactions by the endpoints' numbers.
	callers map[int]string
	// first has the numbers in which the first statement of each transaction has run, next the
	// one in which another has.
	first map[string][]int
	next  map[string]int
}

func (c *arrivalCheck) report(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkOwn reports a statement of a daemon's own that only callers may ask for (UNASKED).
func (c *arrivalCheck) checkOwn(arrival rattanlineserver.Arrival) {
	verb, _, _ := strings.Cut(minPositionPrefix.ReplaceAllString(arrival.Text, ""), " ")
	if !slices.Contains(ownVerbs, verb) {
		c.report("UNASKED: a daemon sent %q as its own", arrival.Text)
	}
}

// checkRun reports a statement that ran with other session variables, another template or in
// another transaction than its caller's (PINNED).
func (c *arrivalCheck) checkRun(id string, statement sentStatement, arrival rattanlineserver.Arrival) {
	if arrival.Variables != statement.variables || arrival.Template != statement.template {
		c.report("PINNED: %q (%q) of a session with %s, template %q, ran with %s, template %q",
			statement.text, id, statement.variables, statement.template, arrival.Variables, arrival.Template)
	}
	if (arrival.Transaction == 0) != (statement.transaction == "") {
		c.report("PINNED: %q (%q) of transaction %q ran in number %d", statement.text, id, statement.transaction, arrival.Transaction)
		return
	}
	if arrival.Transaction == 0 {
		return
	}
	c.checkTransaction(id, statement, arrival.Transaction)
}

// checkTransaction reports a statement that ran in a transaction with another caller's, or in
// another one than the first or the other statements of its own.
func (c *arrivalCheck) checkTransaction(id string, statement sentStatement, number int) {
	caller, isOpen := c.callers[number]
	next, hasNext := c.next[statement.transaction]
	isApart := !statement.isFirst && (hasNext && next != number || !slices.Contains(c.first[statement.transaction], number))
	if isOpen && caller != statement.transaction || isApart {
		c.report("PINNED: %q (%q) of transaction %q ran in number %d, that of %q; its first ran in %d, others in %d",
			statement.text, id, statement.transaction, number, caller, c.first[statement.transaction], next)
	}
	c.callers[number] = statement.transaction
	if !statement.isFirst {
		c.next[statement.transaction] = number
	}
}

// isText reports whether the text that an endpoint received is the one that a caller sent. A
// daemon may rename a prepared statement.
func isText(statement sentStatement, received string) bool {
	if kind := statement.kind(); kind == "READ" || kind == "BEGIN" {
		received = minPositionPrefix.ReplaceAllString(received, "")
	}
	if sent, ok := strings.CutPrefix(statement.text, "EXECUTE "); ok {
		received, isExecute := strings.CutPrefix(received, "EXECUTE ")
		_, sentArguments, _ := strings.Cut(sent, " ")
		_, arguments, _ := strings.Cut(received, " ")
		return isExecute && arguments == sentArguments
	}
	return received == statement.text
}
