package rattanrig

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// instanceSession is one connection to an instance.
type instanceSession struct {
	instance *Instance
	conn     net.Conn
	// state is I, T in a transaction, or E in one that has failed.
	state    string
	isPlain  bool
	writes   [][2]string
	values   map[string]string
	prepared map[string]string
	// arrived is when the statement in progress was read.
	arrived time.Time
}

func (i *Instance) serve() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		s := &instanceSession{instance: i, conn: conn, state: "I", values: make(map[string]string), prepared: make(map[string]string)}
		go s.serve()
	}
}

func (s *instanceSession) serve() {
	defer s.conn.Close()
	reader := bufio.NewReader(s.conn)
	line, err := reader.ReadString('\n')
	if err != nil || !s.start(strings.Fields(line)) {
		return
	}
	defer s.remove()
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			return
		}
		s.arrived = time.Now()
		if fields[1] != "-" {
			s.instance.service.record.Line("instance %s reads %s: %s", s.instance.id, fields[1], fields[2])
		}
		reply, ok := s.query(fields[1], fields[2])
		if !ok {
			return
		}
		if _, err := s.conn.Write([]byte(reply)); err != nil {
			return
		}
	}
}

func (s *instanceSession) remove() {
	s.instance.service.mu.Lock()
	defer s.instance.service.mu.Unlock()
	delete(s.instance.conns, s.conn)
}

// start answers the first line: the service, who connects, and optionally the id.
func (s *instanceSession) start(fields []string) bool {
	i := s.instance
	if !i.takeSlot() {
		_, _ = s.conn.Write([]byte("ERROR BUSY\r\n"))
		return false
	}
	time.Sleep(openTime)
	i.freeSlot()
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	reply, ok := "READY I "+i.positionText()+"\r\n", true
	switch {
	case i.isDark || len(fields) < 3:
		return false
	case fields[1] != i.service.options.Name || len(fields) > 3 && fields[3] != i.id:
		reply, ok = "ERROR WRONGNODE "+i.id+"\r\n", false
	case len(i.conns) >= i.service.options.Connections:
		reply, ok = "ERROR TOOMANY\r\n", false
	default:
		i.conns[s.conn] = struct{}{}
	}
	_, err := s.conn.Write([]byte(reply))
	return ok && err == nil
}

// takeSlot waits for a slot. It returns false when too many wait already.
func (i *Instance) takeSlot() bool {
	i.service.mu.Lock()
	isFull := i.waiting >= maxQueue
	if !isFull {
		i.waiting++
	}
	i.service.mu.Unlock()
	if isFull {
		return false
	}
	i.slots <- struct{}{}
	i.service.mu.Lock()
	i.waiting--
	i.service.mu.Unlock()
	return true
}

func (i *Instance) freeSlot() { <-i.slots }

func (i *Instance) positionText() string {
	term, number := i.position()
	return fmt.Sprintf("%d.%d", term, number)
}

// query runs a statement. It returns false when the connection breaks.
func (s *instanceSession) query(id, text string) (string, bool) {
	verb, rest, _ := strings.Cut(text, " ")
	position := ""
	if verb == "AFTER" {
		position, text, _ = strings.Cut(rest, " ")
		verb, rest, _ = strings.Cut(text, " ")
	}
	shape := ""
	if verb == "EXECUTE" {
		name, argument, _ := strings.Cut(rest, " ")
		known, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSUCHSTMT " + name), true
		}
		shape = known
		verb, _, _ = strings.Cut(shape, " ")
		rest = argument
	}
	switch verb {
	case "READ", "WRITE", "COMMIT", "STATUS", "STEPDOWN":
		if !s.instance.takeSlot() {
			return s.fail("BUSY"), true
		}
		defer s.instance.freeSlot()
		time.Sleep(s.instance.service.work())
	}
	s.instance.service.mu.Lock()
	defer s.instance.service.mu.Unlock()
	if s.instance.isDark {
		return "", false
	}
	if position != "" && !s.holds(position) {
		return s.failLocked("LAGGING"), true
	}
	return s.execute(id, verb, rest, text)
}

// holds reports whether the instance has applied a position.
func (s *instanceSession) holds(position string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	heldTerm, heldNumber := s.instance.position()
	return heldTerm > term || heldTerm == term && heldNumber >= number
}

// execute runs a statement. The caller holds the service's mutex.
func (s *instanceSession) execute(id, verb, rest, text string) (string, bool) {
	i := s.instance
	if s.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return s.failLocked("MALFORMED"), true
	}
	if s.state == "T" && s.isPlain && !i.isPrimary && (verb == "READ" || verb == "WRITE" || verb == "COMMIT" && len(s.writes) > 0) {
		return s.failLocked("READONLY " + i.id), true
	}
	if verb != "STATUS" && verb != "STEPDOWN" && rand.Float64() < i.grey {
		i.service.record.Line("instance %s fails %s %s", i.id, id, text)
		return s.failLocked("FAILED"), true
	}
	switch verb {
	case "BEGIN":
		s.isPlain = rest != "READ"
		if s.isPlain && !i.isPrimary {
			return s.failLocked("READONLY " + i.id), true
		}
		s.state = "T"
	case "ROLLBACK":
		s.state, s.writes = "I", nil
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "RESET":
		s.values, s.prepared = make(map[string]string), make(map[string]string)
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "READ":
		s.ran(id, text)
		return fmt.Sprintf("ROW %s\r\n", i.read(rest)) + s.complete(i.mac(id)), true
	case "WRITE":
		return s.write(id, rest, text)
	case "COMMIT":
		return s.commit(id, text)
	case "STATUS":
		return i.statusRow() + s.complete("-"), true
	case "STEPDOWN":
		i.stepDown(rest)
		return i.statusRow() + s.complete("-"), true
	default:
		return s.failLocked("MALFORMED"), true
	}
	return s.complete("-"), true
}

// ran records that the instance ran a statement of a client.
func (s *instanceSession) ran(id, text string) {
	if id == "-" {
		return
	}
	service := s.instance.service
	service.runs[id] = Run{Arrived: s.arrived, At: time.Now(), Instance: s.instance.id, IsOld: s.instance.term < service.term, ID: id, Text: text, Values: maps.Clone(s.values)}
	service.record.Line("instance %s runs %s: %s", s.instance.id, id, text)
}

func (s *instanceSession) write(id, rest, text string) (string, bool) {
	if !s.instance.isPrimary {
		return s.failLocked("READONLY " + s.instance.id), true
	}
	s.ran(id, text)
	item, data, _ := strings.Cut(rest, " ")
	if s.state == "T" {
		s.writes = append(s.writes, [2]string{item, data})
		return s.complete(s.instance.mac(id)), true
	}
	if !s.instance.commit(id, [][2]string{{item, data}}) {
		return "", false
	}
	return s.complete(s.instance.mac(id)), true
}

func (s *instanceSession) commit(id, text string) (string, bool) {
	s.ran(id, text)
	isKept := s.state == "T"
	s.state = "I"
	writes := s.writes
	s.writes = nil
	if !isKept {
		return s.failLocked("ABORTED"), true
	}
	if len(writes) > 0 && !s.instance.commit(id, writes) {
		return "", false
	}
	return s.complete(s.instance.mac(id)), true
}

func (i *Instance) stepDown(text string) {
	var term uint64
	if _, err := fmt.Sscanf(text, "%d", &term); err == nil && i.isPrimary && i.term < term {
		i.isPrimary = false
		i.service.record.Line("instance %s steps down", i.id)
	}
}

func (i *Instance) statusRow() string {
	role := "replica"
	if i.isPrimary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %d.%d %d 0 %d %d\r\n", role, i.term, i.term, len(i.log), i.term, len(i.slots), len(i.conns))
}

func (i *Instance) read(item string) string {
	value := "none"
	for _, c := range i.log[:i.applied] {
		if c.item == item {
			value = c.data
		}
	}
	return value
}

func (i *Instance) mac(id string) string { return "mac." + i.id + "." + id }

func (s *instanceSession) complete(mac string) string {
	return fmt.Sprintf("COMPLETE %s\r\nREADY %s %s\r\n", mac, s.state, s.instance.positionText())
}

func (s *instanceSession) fail(message string) string {
	s.instance.service.mu.Lock()
	defer s.instance.service.mu.Unlock()
	return s.failLocked(message)
}

// failLocked answers with an error and fails an open transaction. The caller holds the
// service's mutex.
func (s *instanceSession) failLocked(message string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return fmt.Sprintf("ERROR %s\r\nREADY %s %s\r\n", message, s.state, s.instance.positionText())
}
