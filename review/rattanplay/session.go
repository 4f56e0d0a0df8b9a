package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// An instanceSession is one connection to an instance.
type instanceSession struct {
	instance *instance
	// state is I outside a transaction, T in one, E in a failed one.
	state    string
	isPlain  bool
	writes   [][2]string
	prepared map[string]string
}

func (i *instance) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go i.serveConn(conn)
	}
}

func (i *instance) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	s := &instanceSession{instance: i, state: "I", prepared: make(map[string]string)}
	greeting, ok := i.start(conn, reader)
	if _, err := conn.Write([]byte(greeting)); err != nil || !ok {
		return
	}
	defer i.forget(conn)
	for {
		message, err := rattanlineserver.ReadMessage(reader)
		if err != nil {
			return
		}
		fields := strings.SplitN(message, " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			return
		}
		if _, err := conn.Write([]byte(s.answer(fields[1], fields[2]))); err != nil {
			return
		}
	}
}

// start answers the first message of a connection. It returns false when the session is
// refused.
func (i *instance) start(conn net.Conn, reader *bufio.Reader) (string, bool) {
	message, err := rattanlineserver.ReadMessage(reader)
	if err != nil {
		return "", false
	}
	fields := strings.Split(message, " ")
	i.database.mu.Lock()
	defer i.database.mu.Unlock()
	if i.isDown {
		return "", false
	}
	if len(fields) < 3 || fields[0] != "START" || fields[1] != serviceName || len(fields) > 3 && fields[3] != i.id {
		return "ERROR WRONGNODE " + i.id + "\r\n", false
	}
	i.conns[conn] = struct{}{}
	return fmt.Sprintf("READY I %s\r\n", i.position(i.applied())), true
}

func (i *instance) forget(conn net.Conn) {
	i.database.mu.Lock()
	defer i.database.mu.Unlock()
	delete(i.conns, conn)
}

// answer runs a statement.
func (s *instanceSession) answer(id, text string) string {
	if needsWork(text) {
		time.Sleep(workTime)
	}
	d := s.instance.database
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := s.run(id, text)
	return reply + fmt.Sprintf("READY %s %s\r\n", s.state, s.instance.position(s.instance.applied()))
}

func needsWork(text string) bool {
	for _, word := range []string{"READ", "WRITE", "EXECUTE", "COMMIT", "AFTER"} {
		if strings.HasPrefix(text, word) {
			return true
		}
	}
	return false
}

func (s *instanceSession) run(id, text string) string {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		if !s.holds(position) {
			return s.fail("LAGGING")
		}
		verb, rest, _ = strings.Cut(text, " ")
	}
	if s.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return s.fail("MALFORMED the transaction has failed")
	}
	if s.state == "T" && s.isPlain && !s.instance.isLead && verb != "ROLLBACK" && (verb != "COMMIT" || len(s.writes) > 0) {
		return s.fail("READONLY " + s.instance.id)
	}
	return s.execute(id, verb, rest)
}

// holds reports whether the instance has applied a position.
func (s *instanceSession) holds(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, termErr := strconv.ParseUint(termText, 10, 64)
	number, numberErr := strconv.ParseUint(numberText, 10, 64)
	if termErr != nil || numberErr != nil {
		return false
	}
	own := uint64(len(s.instance.applied()))
	return s.instance.term > term || s.instance.term == term && own >= number
}

func (s *instanceSession) execute(id, verb, rest string) string {
	i := s.instance
	switch verb {
	case "BEGIN":
		s.isPlain = rest != "READ"
		if s.isPlain && !i.isLead {
			return s.fail("READONLY " + i.id)
		}
		s.state = "T"
		return complete("-")
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return complete("-")
	case "COMMIT":
		return s.commit(id)
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return complete("-")
	case "SET", "RESET", "DEALLOC":
		return complete("-")
	case "EXECUTE":
		name, argument, _ := strings.Cut(rest, " ")
		access, _, _ := strings.Cut(s.prepared[name], " ")
		if access == "" {
			return s.fail("NOSUCHSTMT " + name)
		}
		return s.execute(id, access, argument)
	case "READ":
		return s.read(id, rest)
	case "WRITE":
		return s.write(id, rest)
	case "STATUS", "STEPDOWN":
		return s.status(rest)
	default:
		return s.fail("MALFORMED " + verb)
	}
}

func (s *instanceSession) read(id, item string) string {
	i := s.instance
	value := i.value(item)
	signature := i.database.sign(i.id)
	i.database.record.add("run_read", i.id, "id", id, "item", item, "value", value, "log", strconv.Itoa(len(i.log)))
	if value == "" {
		return complete(signature)
	}
	return "ROW " + value + "\r\n" + complete(signature)
}

func (s *instanceSession) write(id, rest string) string {
	i := s.instance
	if !i.isLead {
		return s.fail("READONLY " + i.id)
	}
	item, data, _ := strings.Cut(rest, " ")
	if s.state == "T" {
		s.writes = append(s.writes, [2]string{item, data})
		return complete(i.database.sign(i.id))
	}
	i.write(item, data)
	i.database.record.add("run_write", i.id, "id", id, "item", item, "data", data, "term", strconv.FormatUint(i.term, 10))
	return complete(i.database.sign(i.id))
}

func (s *instanceSession) commit(id string) string {
	i := s.instance
	if s.state == "E" {
		s.state, s.writes = "I", nil
		return s.fail("ABORTED the transaction has failed")
	}
	for _, w := range s.writes {
		i.write(w[0], w[1])
		i.database.record.add("run_write", i.id, "id", id, "item", w[0], "data", w[1], "term", strconv.FormatUint(i.term, 10))
	}
	s.state, s.writes = "I", nil
	return complete(i.database.sign(i.id))
}

// status answers STATUS and STEPDOWN. The stepping down itself takes the mutex anew.
func (s *instanceSession) status(argument string) string {
	i := s.instance
	if term, err := strconv.ParseUint(argument, 10, 64); err == nil {
		i.database.mu.Unlock()
		i.stepDown(term)
		i.database.mu.Lock()
	}
	role := "replica"
	if i.isLead {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", role, i.term, i.position(i.log), len(i.conns)) + complete("-")
}

func complete(signature string) string { return "COMPLETE " + signature + "\r\n" }

// fail returns an error and marks an open transaction as failed.
func (s *instanceSession) fail(message string) string {
	if s.state == "T" {
		s.state, s.writes = "E", nil
	}
	return "ERROR " + message + "\r\n"
}
