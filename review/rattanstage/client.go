package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 2 * time.Second

// lastID numbers the statements of all clients.
var lastID atomic.Int64

// A client is one session at a daemon.
type client struct {
	stage  *stage
	conn   net.Conn
	reader *bufio.Reader
}

// An answer is the answer to one statement.
type answer struct {
	rows []string
	// mac is set by a success, code and detail by an error.
	mac, code, detail string
}

func (s *stage) connect(address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{stage: s, conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		_ = conn.Close()
		return nil, err
	}
	fields, err := readFields(c.reader, 3)
	if err != nil || fields[0] != "READY" {
		_ = conn.Close()
		return nil, fmt.Errorf("session not opened: %v %w", fields, err)
	}
	return c, nil
}

// query sends a statement and waits for its answer.
func (c *client) query(text string) (answer, error) {
	return c.queryAs(fmt.Sprintf("%016x", lastID.Add(1)), text)
}

// queryAs is query with an id.
func (c *client) queryAs(id, text string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		fields, err := readFields(c.reader, 2)
		if err != nil {
			c.stage.record("client: %s %s: no answer: %s", id, text, err)
			return answer{}, err
		}
		rest := strings.Join(fields[1:], "")
		switch fields[0] {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.mac = rest
		case "ERROR":
			a.code, a.detail, _ = strings.Cut(rest, " ")
		default:
			c.stage.record("client: %s %s: %v %s %s %s", id, text, a.rows, a.mac, a.code, a.detail)
			return a, nil
		}
	}
}

// comeBack returns the time after which a refusal tells the client to come back.
func (a answer) comeBack() time.Duration {
	_, rest, _ := strings.Cut(a.detail, "come back in ")
	milliseconds, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(milliseconds)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// A ledger holds the writes that were acknowledged to clients.
type ledger struct {
	mu sync.Mutex
	// acknowledged has the data of the writes, with the time of the answer.
	acknowledged map[string]time.Time
}

func newLedger() *ledger { return &ledger{acknowledged: make(map[string]time.Time)} }

func (l *ledger) add(data string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged[data] = time.Now()
}

// count returns how many writes were acknowledged.
func (l *ledger) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.acknowledged)
}

// missing returns the data of acknowledged writes that an instance does not hold.
func (l *ledger) missing(i *instance) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var missing []string
	for data := range l.acknowledged {
		if !i.holds(data) {
			missing = append(missing, data)
		}
	}
	return missing
}

// writeOn writes on a database again and again, in sessions at one daemon after the other,
// until the stage closes.
func (s *stage) writeOn(database string, l *ledger, pause time.Duration) {
	for n := 0; s.sleep(pause); n++ {
		c, err := s.connect(s.daemons[n%len(s.daemons)].front, database)
		if err != nil {
			continue
		}
		for s.sleep(pause) {
			data := fmt.Sprintf("d%d", lastID.Add(1))
			a, err := c.query("WRITE i" + data + " " + data)
			if err != nil {
				break
			}
			if a.mac != "" {
				l.add(data)
			}
		}
		_ = c.conn.Close()
	}
}
