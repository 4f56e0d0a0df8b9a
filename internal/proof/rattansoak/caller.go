package rattansoak

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// responseTimeout limits the wait for a response. The timeout of the routes is a
// second.
const responseTimeout = 3 * time.Second

// notRunCodes are the error codes that guarantee that a write has no effect.
var notRunCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}

// A record is the outcome of one write as the caller saw it.
type record struct {
	data string
	// isAcknowledged and isRefused are both false if the outcome is unknown.
	isAcknowledged, isRefused bool
	// isUncommitted is true if the write was in a transaction and no COMMIT was sent.
	isUncommitted bool
}

// A counter is an item with one writer. Its values only increase, so a read can be
// checked against the values that were acknowledged before it.
type counter struct {
	item string

	mu           sync.Mutex
	acknowledged []acknowledgement
}

type acknowledgement struct {
	value int
	at    time.Time
}

func (c *counter) acknowledge(value int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = append(c.acknowledged, acknowledgement{value: value, at: time.Now()})
}

// newestBefore returns the newest value that was acknowledged before a time.
func (c *counter) newestBefore(t time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := 0
	for _, a := range c.acknowledged {
		if a.at.Before(t) {
			newest = a.value
		}
	}
	return newest
}

// A client is a session on a daemon. It reconnects with the next statement after
// its connection was closed.
type client struct {
	fleet    *Fleet
	daemon   *Daemon
	database string
	conn     net.Conn
	reader   *bufio.Reader
	// variables and templates are the session variables and the prepared statements that were
	// acknowledged, transaction the id of the BEGIN of the open transaction.
	variables, templates map[string]string
	transaction          string
	// hasFirst is true once a read or write was sent in the open transaction.
	hasFirst bool
}

// query runs a statement and returns its answer.
func (c *client) query(id, text string) (answer, error) {
	if c.conn == nil {
		if err := c.open(); err != nil {
			return answer{}, err
		}
	}
	statement, judge := c.statement(text), &c.fleet.judge
	if c.reader.Buffered() > 0 {
		judge.report("MIXED: %s sent more than the answers before %q (%q)", c.daemon.name, text, id)
	}
	judge.recordSent(id, statement)
	if err := c.send("QUERY " + id + " " + text + rattanlineserver.LineEnd); err != nil {
		c.close()
		return answer{}, err
	}
	sent := time.Now()
	got, err := readAnswer(c.reader)
	c.fleet.journal.recordExchange(exchange{daemon: c.daemon.name, id: id, text: text, sent: sent, ended: time.Now(), err: err}, got)
	if err != nil {
		if errors.Is(err, errNotWhole) {
			judge.report("MIXED: %q (%q) at %s: %v", text, id, c.daemon.name, err)
		}
		c.close()
		return answer{}, err
	}
	judge.checkAnswer(c.fleet.group, id, statement, got)
	if got.isSuccess() {
		c.apply(id, text)
	}
	return got, nil
}

// statement returns what the session has when a text is about to be sent.
func (c *client) statement(text string) sentStatement {
	s := sentStatement{text: text, variables: rattanlineserver.FormatVariables(c.variables), transaction: c.transaction}
	if call, ok := strings.CutPrefix(text, "EXECUTE "); ok {
		name, _, _ := strings.Cut(call, " ")
		s.template = c.templates[name]
	}
	if kind := s.kind(); kind == "READ" || kind == "WRITE" {
		s.isFirst = c.transaction != "" && !c.hasFirst
		c.hasFirst = true
	}
	return s
}

// apply changes what the session has, after a statement has succeeded.
func (c *client) apply(id, text string) {
	verb, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch verb {
	case "SET":
		c.variables[name] = value
	case "PREPARE":
		c.templates[name] = value
	case "DEALLOC":
		delete(c.templates, name)
	case "BEGIN":
		c.transaction, c.hasFirst = id, false
	case "COMMIT", "ROLLBACK":
		c.transaction = ""
	}
}

func (c *client) open() error {
	conn, err := net.DialTimeout("tcp", c.daemon.callers, 300*time.Millisecond)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.variables, c.templates, c.transaction = make(map[string]string), make(map[string]string), ""
	err = c.send("START " + c.database + " " + key + rattanlineserver.LineEnd)
	if err == nil {
		err = readGreeting(c.reader)
	}
	if err != nil {
		c.close()
	}
	return err
}

func (c *client) send(message string) error {
	if err := c.conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write([]byte(message))
	return err
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// write writes a value and returns the outcome as the caller saw it.
func (c *client) write(id, item, data string) record {
	got, err := c.query(id, "WRITE "+item+" "+data)
	return outcomeOf(data, got, err)
}

// outcomeOf returns the outcome of a write of data whose last response is given. A failed dial
// means that nothing was sent, but counting that as an unknown outcome too is safe.
func outcomeOf(data string, last answer, err error) record {
	return record{data: data, isAcknowledged: err == nil && last.isSuccess(), isRefused: err == nil && last.isRefused()}
}
