package rattanlineserver

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// An Arrival is a statement as it has reached an endpoint.
type Arrival struct {
	Text string
	// Template is what the name in an EXECUTE stands for, empty if it is unknown.
	Template string
	// Variables are the session variables, as FormatVariables returns them.
	Variables string
	// Transaction is the number of the open transaction, 0 outside one.
	Transaction int
	// HasRun is true if a read, write or commit has run.
	HasRun bool
}

// FormatVariables returns a text that is the same for equal session variables only.
func FormatVariables(variables map[string]string) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		fmt.Fprintf(&text, "%d:%s=%d:%s;", len(name), name, len(variables[name]), variables[name])
	}
	return text.String()
}

// Arrivals returns how often each statement has reached an endpoint, by the statement's id.
func (g *Group) Arrivals() map[string]map[Arrival]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	arrivals := make(map[string]map[Arrival]int, len(g.arrivals))
	for id, texts := range g.arrivals {
		arrivals[id] = maps.Clone(texts)
	}
	return arrivals
}

// HasReceived reports whether the statement with an id has reached an endpoint.
func (g *Group) HasReceived(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.arrivals[id]
	return ok
}

// recordReceived records that the statement with an id has reached an endpoint, which has not
// handled it yet.
func (g *Group) recordReceived(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.arrivals[id] == nil {
		g.arrivals[id] = make(map[Arrival]int)
	}
}

// A SignedAnswer is what an endpoint has signed: the rows, as sent, in the answer to a
// statement.
type SignedAnswer struct {
	Statement string
	Rows      string
}

// Signed returns the answer that has a signature.
func (g *Group) Signed(signature string) (SignedAnswer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	answer, ok := g.signed[signature]
	return answer, ok
}

// sign returns the signature of an answer; no two answers have the same. The caller holds
// the group's mutex.
func (e *Endpoint) sign(statement, rows string) string {
	signature := fmt.Sprintf("%s.proof.%x", e.id, len(e.group.signed))
	e.group.signed[signature] = SignedAnswer{Statement: statement, Rows: rows}
	return signature
}
