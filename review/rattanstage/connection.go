package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// slots is how many statements an instance runs at once; maxConnections is how many
	// connections it takes.
	slots          = 3
	maxConnections = 37
	// statementTime is how long a statement takes.
	statementTime = 3 * time.Millisecond
)

// A connection is one session at an instance.
type connection struct {
	instance *instance
	conn     net.Conn
	// state is I, T or E; isReadOnly is that of the open transaction.
	state      string
	isReadOnly bool
	writes     [][2]string
	variables  map[string]string
	prepared   map[string]string
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
	fields, err := readFields(reader, 4)
	if err != nil || fields[0] != "START" {
		return
	}
	c := &connection{instance: i, conn: conn, state: "I", variables: make(map[string]string), prepared: make(map[string]string)}
	if refusal := c.open(fields); refusal != "" {
		_, _ = fmt.Fprintf(conn, "ERROR %s\r\n", refusal)
		return
	}
	defer c.leave()
	c.ready("")
	for {
		fields, err := readFields(reader, 3)
		if err != nil || len(fields) < 3 || fields[0] != "QUERY" {
			return
		}
		time.Sleep(statementTime)
		if !c.ready(c.run(fields[1], fields[2])) {
			return
		}
	}
}

// readFields reads a message of at most n fields.
func readFields(reader *bufio.Reader, n int) ([]string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	return strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", n), nil
}

// open returns why the session is refused, empty if it is not.
func (c *connection) open(fields []string) string {
	i := c.instance
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	switch {
	case len(fields) < 3 || fields[1] != i.group.name || len(fields) == 4 && fields[3] != i.id:
		return "WRONGNODE " + i.id
	case len(i.conns) >= maxConnections:
		return "TOOMANY connections"
	}
	i.conns[c.conn] = struct{}{}
	return ""
}

func (c *connection) leave() {
	c.instance.group.mu.Lock()
	defer c.instance.group.mu.Unlock()
	delete(c.instance.conns, c.conn)
}

// ready sends a response with its READY. It returns false when that fails.
func (c *connection) ready(response string) bool {
	c.instance.group.mu.Lock()
	position := c.instance.appliedText()
	c.instance.group.mu.Unlock()
	_, err := fmt.Fprintf(c.conn, "%sREADY %s %s\r\n", response, c.state, position)
	return err == nil
}

func (c *connection) fail(reason string) string {
	if c.state == "T" {
		c.state = "E"
	}
	return "ERROR " + reason + "\r\n"
}

func (c *connection) complete(id, rows string) string {
	c.instance.group.mu.Lock()
	c.instance.lastMAC++
	mac := c.instance.lastMAC
	c.instance.group.mu.Unlock()
	return fmt.Sprintf("%sCOMPLETE %s.%s.%d\r\n", rows, c.instance.id, id, mac)
}

const unsigned = "COMPLETE -\r\n"

// run runs a statement and returns its response without READY.
func (c *connection) run(id, text string) string {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if !c.hasApplied(position) {
			return c.fail("LAGGING " + position)
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	if c.state == "E" && verb != "COMMIT" && verb != "ROLLBACK" {
		return c.fail("MALFORMED the transaction has failed")
	}
	return c.execute(id, verb, rest)
}

func (c *connection) execute(id, verb, rest string) string {
	switch verb {
	case "BEGIN":
		if rest != "READ" && !c.leads() {
			return c.fail("READONLY " + c.instance.id)
		}
		c.state, c.isReadOnly = "T", rest == "READ"
		return unsigned
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return unsigned
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.variables[name] = value
		return unsigned
	case "RESET":
		c.variables, c.prepared = make(map[string]string), make(map[string]string)
		return unsigned
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return unsigned
	case "EXECUTE":
		name, argument, _ := strings.Cut(rest, " ")
		shape, ok := c.prepared[name]
		if !ok {
			return c.fail("NOSUCHSTMT " + name)
		}
		access, _, _ := strings.Cut(shape, " ")
		return c.execute(id, access, argument)
	case "STATUS", "STEPDOWN":
		return c.status(rest)
	default:
		return c.runData(id, verb, rest)
	}
}

// runData runs a statement that reads or changes data.
func (c *connection) runData(id, verb, rest string) string {
	i := c.instance
	if c.state == "T" && !c.isReadOnly && !c.leads() && (verb != "COMMIT" || len(c.writes) > 0) {
		return c.fail("READONLY " + i.id)
	}
	if i.group.onRun != nil && (verb == "READ" || verb == "WRITE" && c.leads()) {
		i.group.onRun(id)
	}
	switch verb {
	case "READ":
		return c.complete(id, "ROW "+c.read(id, rest)+"\r\n")
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		if c.state == "T" {
			c.writes = append(c.writes, [2]string{item, data})
			return c.complete(id, "")
		}
		if !i.write([][2]string{{item, data}}) {
			return c.fail("READONLY " + i.id)
		}
		return c.complete(id, "")
	case "COMMIT":
		writes, state := c.writes, c.state
		c.state, c.writes = "I", nil
		if state == "E" || len(writes) > 0 && !i.write(writes) {
			return c.fail("READONLY " + i.id)
		}
		return c.complete(id, "")
	default:
		return c.fail("MALFORMED " + verb)
	}
}

func (c *connection) leads() bool {
	c.instance.group.mu.Lock()
	defer c.instance.group.mu.Unlock()
	return c.instance.leads
}

func (c *connection) read(id, item string) string {
	i := c.instance
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	applied := i.applied()
	if i.group.onRead != nil {
		i.group.onRead(id, applied)
	}
	for n := len(applied) - 1; n >= 0; n-- {
		if applied[n].item == item {
			return applied[n].data
		}
	}
	return "none"
}

func (c *connection) hasApplied(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return false
	}
	n, err := strconv.Atoi(number)
	if err != nil {
		return false
	}
	i := c.instance
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.term >= t && len(i.applied()) >= n
}

// status answers STATUS, and STEPDOWN with a term.
func (c *connection) status(term string) string {
	i := c.instance
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	if t, err := strconv.ParseUint(term, 10, 64); err == nil && t > i.term {
		i.group.stage.record("%s steps down for term %d", i.id, t)
		i.leads = false
	}
	role := "replica"
	if i.leads {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\n%s", role, i.term, i.receivedText(), i.term, len(i.conns), unsigned)
}
