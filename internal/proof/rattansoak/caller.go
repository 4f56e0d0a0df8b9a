package rattansoak

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
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
}

// query runs a statement and returns the lines of the response.
func (c *client) query(id, text string) ([]string, error) {
	if c.conn == nil {
		if err := c.open(); err != nil {
			return nil, err
		}
	}
	if err := c.send(fmt.Sprintf("QUERY %s %s\r\n", id, text)); err != nil {
		c.close()
		return nil, err
	}
	sent := time.Now()
	lines, err := c.receive()
	c.fleet.journal.recordExchange(exchange{daemon: c.daemon.name, id: id, text: text, sent: sent, ended: time.Now(), err: err}, lines)
	if err != nil {
		c.close()
	}
	return lines, err
}

func (c *client) open() error {
	conn, err := net.DialTimeout("tcp", c.daemon.callers, 300*time.Millisecond)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	err = c.send(fmt.Sprintf("START %s %s\r\n", c.database, key))
	if err == nil {
		_, err = c.receive()
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

// receive returns the lines of a response before its READY line.
func (c *client) receive() ([]string, error) {
	var lines []string
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return lines, err
		}
		line = strings.TrimRight(line, "\r\n")
		if strings.HasPrefix(line, "READY ") {
			return lines, nil
		}
		lines = append(lines, line)
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// write writes a value and returns the outcome as the caller saw it.
func (c *client) write(id, item, data string) record {
	lines, err := c.query(id, "WRITE "+item+" "+data)
	return outcomeOf(data, lines, err)
}

// outcomeOf returns the outcome of a write of data whose last response is given.
func outcomeOf(data string, lines []string, err error) record {
	outcome := record{data: data}
	if err != nil || len(lines) == 0 {
		// A failed dial means that nothing was sent, but counting that as an
		// unknown outcome too is safe.
		return outcome
	}
	last := lines[len(lines)-1]
	outcome.isAcknowledged = strings.HasPrefix(last, "COMPLETE ")
	for _, code := range notRunCodes {
		outcome.isRefused = outcome.isRefused || strings.HasPrefix(last, "ERROR "+code)
	}
	return outcome
}

// read returns the value of a counter, and false if the read failed.
func (c *client) read(id, item string) (int, bool) {
	lines, err := c.query(id, "READ "+item)
	if err != nil || len(lines) < 2 {
		return 0, false
	}
	value, ok := strings.CutPrefix(lines[0], "ROW ")
	if !ok {
		return 0, false
	}
	_, number, _ := strings.Cut(value, ".")
	n, err := strconv.Atoi(number)
	return n, err == nil || value == "none"
}
