package main

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// clientKey is the API key of all clients, tenantName the tenant that holds it.
const (
	clientKey  = "play-key"
	tenantName = "play-tenant"
)

// lastStatement numbers the statements of all clients.
var lastStatement atomic.Int64

// A client is one session with a daemon.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	who    string
	record *recorder
}

// An answer is what a client got for one statement.
type answer struct {
	rows []string
	// code is empty after a success.
	code string
	// sentAt is when the first byte of the statement was sent, answeredAt when READY arrived.
	sentAt, answeredAt time.Time
}

// open opens a session for a database at a daemon's address for clients.
func open(record *recorder, who, address, databaseName string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn), who: who, record: record}
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte("START " + databaseName + " " + clientKey + "\r\n")); err != nil {
		return nil, err
	}
	greeting, err := rattanlineserver.ReadMessage(c.reader)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !strings.HasPrefix(greeting, "READY") {
		_ = conn.Close()
		return nil, errors.New(greeting)
	}
	return c, nil
}

// run sends a statement and waits for its answer.
func (c *client) run(text string) (answer, error) {
	id := "s" + strconv.FormatInt(lastStatement.Add(1), 10)
	if err := c.conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return answer{}, err
	}
	c.record.add("sent", c.who, "id", id, "text", text)
	a := answer{sentAt: time.Now()}
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return a, err
	}
	for {
		message, err := rattanlineserver.ReadMessage(c.reader)
		if err != nil {
			c.record.add("broken", c.who, "id", id, "error", err.Error())
			return a, err
		}
		word, rest, _ := strings.Cut(message, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.answeredAt = time.Now()
			c.record.add("answered", c.who, "id", id, "code", a.code, "rows", strings.Join(a.rows, "|"))
			return a, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
