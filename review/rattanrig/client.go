package rattanrig

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// lastID numbers the statements of all clients.
var lastID atomic.Int64

// NewID returns a statement's id.
func NewID() string { return fmt.Sprintf("q%06d", lastID.Add(1)) }

// A Session is a client's connection to a daemon.
type Session struct {
	daemon string
	conn   net.Conn
	reader *bufio.Reader
	record *Record
}

// ErrRefused is returned when a daemon refuses a session.
var ErrRefused = errors.New("the session is refused")

// Connect opens a session.
func Connect(d *Daemon, database string, record *Record) (*Session, error) {
	const startTimeout = 2 * time.Second
	conn, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		return nil, err
	}
	s := &Session{daemon: d.Name, conn: conn, reader: bufio.NewReader(conn), record: record}
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, Key); err != nil {
		s.Close()
		return nil, err
	}
	line, err := s.reader.ReadString('\n')
	if err != nil {
		s.Close()
		return nil, err
	}
	if !strings.HasPrefix(line, "READY ") {
		s.Close()
		return nil, errors.Wrap(ErrRefused, strings.TrimSpace(line))
	}
	return s, nil
}

// An Answer is what a client saw of a statement.
type Answer struct {
	ID, Text   string
	Sent, Over time.Time
	Rows       []string
	// Code is the error that the daemon answered, empty for a success.
	Code string
	// MAC is what a success carries.
	MAC string
	// State is the state after the answer.
	State string
	// Err is not nil if the answer is missing or incomplete.
	Err error
}

// IsOK reports whether the statement succeeded.
func (a Answer) IsOK() bool { return a.Err == nil && a.Code == "" }

// Query sends a statement and waits for its answer.
func (s *Session) Query(text string, limit time.Duration) Answer {
	a := Answer{ID: NewID(), Text: text}
	_ = s.conn.SetDeadline(time.Now().Add(limit))
	_, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", a.ID, text)
	a.Sent = time.Now()
	s.record.Line("client sends %s to %s: %s", a.ID, s.daemon, text)
	if err != nil {
		a.Err = err
	} else {
		a.Err = s.receive(&a)
	}
	a.Over = time.Now()
	s.record.Line("client gets %s: code %q, mac %q, state %q, error %v", a.ID, a.Code, a.MAC, a.State, a.Err)
	return a
}

func (s *Session) receive(a *Answer) error {
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.MAC = rest
		case "ERROR":
			a.Code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return nil
		default:
			return errors.Errorf("unexpected message %q", line)
		}
	}
}

// Close ends the session.
func (s *Session) Close() { _ = s.conn.Close() }

// Send sends bytes.
func (s *Session) Send(text string) error {
	const sendTimeout = 5 * time.Second
	_ = s.conn.SetDeadline(time.Now().Add(sendTimeout))
	_, err := s.conn.Write([]byte(text))
	return err
}

// Await waits for the answer to what was sent.
func (s *Session) Await(limit time.Duration) {
	_ = s.conn.SetDeadline(time.Now().Add(limit))
	var a Answer
	if err := s.receive(&a); err != nil {
		s.record.Line("no answer from %s: %v", s.daemon, err)
	}
}
