package rattanlineserver

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// session is one connection to an endpoint.
type session struct {
	endpoint *Endpoint
	conn     net.Conn
	answers  *answerWriter
	// state is that of the transaction in the protocol: I for none, T for an open
	// one, E for a failed one.
	state       string
	isReadWrite bool
	// statement is the id of the statement in progress, arrival what is recorded of it.
	statement string
	arrival   Arrival
	// transaction is the number of the transaction that was begun last.
	transaction int
	// writes are the items and data that the open transaction has written.
	writes [][2]string
	// variables are the session variables.
	variables map[string]string
	// prepared maps the name of a prepared statement to its template.
	prepared map[string]string
}

func (e *Endpoint) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *Endpoint) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	message, err := ReadMessage(reader)
	if err != nil {
		return
	}
	s := &session{
		endpoint: e, conn: conn, answers: &answerWriter{conn: conn}, state: "I",
		variables: make(map[string]string), prepared: make(map[string]string),
	}
	greeting, ok := s.start(strings.Split(message, " "))
	if !ok {
		_ = s.answers.write(greeting, delivery{})
		return
	}
	defer e.removeConn(conn)
	if err := s.answers.write(greeting, e.plan(greeting)); err != nil {
		return
	}
	for {
		message, err := ReadMessage(reader)
		if err != nil {
			return
		}
		fields := strings.SplitN(message, " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			return
		}
		e.group.recordReceived(fields[1])
		e.pause()
		s.statement = fields[1]
		reply, ok := s.run(fields[2])
		if !ok {
			continue
		}
		if err := s.answers.write(reply, e.plan(reply)); err != nil {
			return
		}
	}
}

func (e *Endpoint) removeConn(conn net.Conn) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	delete(e.conns, conn)
}

// start returns the reply to the first message of a connection. After the verb, that has
// the service, the client account and optionally the endpoint. It returns false when the
// session is refused.
func (s *session) start(fields []string) (string, bool) {
	e := s.endpoint
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	switch {
	case e.isDown || len(fields) < 3:
		return "", false
	case fields[1] != e.group.name || len(fields) > 3 && fields[3] != e.id:
		return "ERROR WRONGNODE " + e.id + LineEnd, false
	case len(e.conns) >= e.maxConns:
		return "ERROR TOOMANY connections" + LineEnd, false
	}
	e.conns[s.conn] = struct{}{}
	e.opened++
	e.tenants[fields[2]]++
	return "READY I " + e.positionText() + LineEnd, true
}

// run executes a statement and returns its response, false if that is lost.
func (s *session) run(text string) (string, bool) {
	g := s.endpoint.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.arrival = Arrival{Text: text, Variables: FormatVariables(s.variables)}
	if s.state != "I" {
		s.arrival.Transaction = s.transaction
	}
	reply, ok := s.runText(text)
	g.arrivals[s.statement][s.arrival]++
	return reply, ok
}

func (s *session) runText(text string) (string, bool) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		minPosition, statement, _ := strings.Cut(rest, " ")
		if !s.endpoint.hasApplied(minPosition) {
			return s.fail("LAGGING behind " + minPosition)
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	if s.state == "E" && verb != "COMMIT" && verb != "ROLLBACK" {
		return s.fail("MALFORMED the transaction has failed")
	}
	if reply, isRefused := s.refuse(verb, rest); isRefused {
		return reply, true
	}
	return s.execute(verb, rest)
}

// hasApplied reports whether the endpoint has applied the given minimum position.
func (e *Endpoint) hasApplied(minPosition string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(minPosition, "%d.%d", &term, &number); err != nil {
		return false
	}
	appliedTerm, appliedNumber := e.position()
	return appliedTerm > term || appliedTerm == term && appliedNumber >= number
}

func (s *session) execute(verb, rest string) (string, bool) {
	e := s.endpoint
	isPrimary := e.isPrimary()
	if isNew := verb == "BEGIN" || verb == "READ" || verb == "WRITE"; isNew && s.state == "I" {
		e.recordNew()
	}
	switch verb {
	case "BEGIN":
		s.isReadWrite = rest != "READ"
		if s.isReadWrite && !isPrimary {
			return s.fail("READONLY " + e.id)
		}
		s.endpoint.group.transactions++
		s.state, s.transaction = "T", s.endpoint.group.transactions
		return s.complete("-")
	case "COMMIT":
		return s.commit(isPrimary)
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return s.complete("-")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.variables[name] = value
		return s.complete("-")
	case "RESET":
		s.variables, s.prepared = make(map[string]string), make(map[string]string)
		return s.complete("-")
	case "PREPARE":
		name, template, _ := strings.Cut(rest, " ")
		s.prepared[name] = template
		return s.complete("-")
	case "EXECUTE":
		name, argument, _ := strings.Cut(rest, " ")
		template, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSUCHSTMT " + name)
		}
		s.arrival.Template = template
		access, _, _ := strings.Cut(template, " ")
		return s.execute(access, argument)
	case "READ":
		s.arrival.HasRun = true
		return s.respond(fmt.Sprintf("ROW %s\r\n", e.read(rest)))
	case "WRITE":
		return s.write(rest, isPrimary)
	case "STATUS", "STEPDOWN":
		if term, err := strconv.ParseUint(rest, 10, 64); err == nil {
			e.stepDown(term)
		}
		role := "replica"
		if e.isPrimary() {
			role = "primary"
		}
		if s.losesAnswer() {
			return "", false
		}
		reply, _ := s.complete("-")
		return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", role, e.term(), e.positionText(), len(e.conns)) + reply, true
	default:
		return s.fail("MALFORMED " + verb)
	}
}

func (s *session) write(rest string, isPrimary bool) (string, bool) {
	if !isPrimary {
		return s.fail("READONLY " + s.endpoint.id)
	}
	s.arrival.HasRun = true
	item, data, _ := strings.Cut(rest, " ")
	if s.state == "T" {
		s.writes = append(s.writes, [2]string{item, data})
		return s.respond("")
	}
	if !s.endpoint.write(item, data) {
		return "", false
	}
	return s.respond("")
}

func (s *session) commit(isPrimary bool) (string, bool) {
	if s.state == "E" {
		s.state, s.writes = "I", nil
		return s.fail("ABORTED the transaction has failed")
	}
	s.arrival.HasRun = true
	if len(s.writes) > 0 && !isPrimary {
		s.state, s.writes = "I", nil
		return s.fail("READONLY " + s.endpoint.id)
	}
	isReceived := true
	for _, w := range s.writes {
		isReceived = s.endpoint.write(w[0], w[1]) && isReceived
	}
	s.state, s.writes = "I", nil
	if !isReceived {
		return "", false
	}
	return s.respond("")
}

// losesAnswer reports whether the response to a statement that occupies a slot is lost,
// since LoseAnswers is in effect.
func (s *session) losesAnswer() bool {
	if s.endpoint.lostResponses == 0 {
		return false
	}
	s.endpoint.lostResponses--
	return true
}

// respond returns the response to a read, write or commit, signed by the endpoint. It
// returns false if the response is lost.
func (s *session) respond(rows string) (string, bool) {
	if s.losesAnswer() {
		return "", false
	}
	reply, _ := s.complete(s.endpoint.sign(s.statement, rows))
	return rows + reply, true
}

// complete returns the response to a statement that has succeeded.
func (s *session) complete(signature string) (string, bool) {
	return fmt.Sprintf("COMPLETE %s\r\nREADY %s %s\r\n", signature, s.state, s.endpoint.positionText()), true
}

// fail returns the response to a statement that has failed, and marks an open
// transaction as failed.
func (s *session) fail(message string) (string, bool) {
	if s.state == "T" {
		s.state = "E"
	}
	return fmt.Sprintf("ERROR %s\r\nREADY %s %s\r\n", message, s.state, s.endpoint.positionText()), true
}

// Tick returns the time after which replicas have applied what was committed.
func (g *Group) Tick() time.Duration { return g.lag + 10*time.Millisecond }
