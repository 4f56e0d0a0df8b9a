package rattanlineserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	greeting = "READY I 1.0\r\n"
	// answerWait limits the wait for what an endpoint sends, and silence that for what it
	// must not send.
	answerWait = 5 * time.Second
	silence    = 150 * time.Millisecond
)

// dial opens a session at an endpoint with answer faults.
func dial(t *testing.T, faults AnswerFaults, seed uint64) (*Group, net.Conn) {
	t.Helper()
	group := NewGroup("orders", 0)
	endpoint, err := group.Add("e1", 4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Crash)
	endpoint.SetAnswerFaults(faults, seed)
	conn, err := net.Dial("tcp", endpoint.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	send(t, conn, "START orders account\r\n")
	return group, conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// assertReceived checks the next bytes of a connection.
func assertReceived(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(answerWait)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
		t.Fatalf("received %q, %v, want %q", got, err, want)
	}
}

// assertSilent checks that an endpoint sends nothing more.
func assertSilent(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
		t.Fatal(err)
	}
	if got, err := bufio.NewReader(conn).ReadString('\n'); err == nil || got != "" {
		t.Errorf("received %q, %v", got, err)
	}
}

// TestMessagesEndWithCRLF guards against a stand-in that takes a line feed in data for the
// end of a message.
func TestMessagesEndWithCRLF(t *testing.T) {
	const text = "WRITE k\r \r a\nQUERY z9 WRITE stolen y\u2028\x00 \r"
	group, conn := dial(t, AnswerFaults{}, 1)
	assertReceived(t, conn, greeting)
	send(t, conn, "QUERY w\n1 "+text+"\r\n")
	assertReceived(t, conn, "COMPLETE e1.proof.0\r\nREADY I 1.1\r\n")
	send(t, conn, "QUERY r READ k\r\r\n")
	data := strings.TrimPrefix(text, "WRITE k\r ")
	assertReceived(t, conn, "ROW "+data+"\r\nCOMPLETE e1.proof.1\r\nREADY I 1.1\r\n")
	if got := group.Runs(data); got != 1 {
		t.Errorf("%d writes of the data", got)
	}
	want := Arrival{Text: text, Variables: FormatVariables(nil), HasRun: true}
	if got := group.Arrivals(); len(got) != 2 || got["w\n1"][want] != 1 {
		t.Errorf("arrivals %+v", got)
	}
}

// TestAnswerFaults guards against faults that change the bytes of an answer.
func TestAnswerFaults(t *testing.T) {
	const complete = "COMPLETE -\r\nREADY I 1.0\r\n"
	t.Run("repeated", func(t *testing.T) {
		_, conn := dial(t, AnswerFaults{Repeated: 1}, 1)
		assertReceived(t, conn, greeting+greeting)
		send(t, conn, "QUERY s SET a b\r\n")
		assertReceived(t, conn, complete+complete)
		send(t, conn, "QUERY s NONE\r\n")
		assertReceived(t, conn, strings.Repeat("ERROR MALFORMED NONE\r\nREADY I 1.0\r\n", 2))
		assertSilent(t, conn)
	})
	t.Run("split", func(t *testing.T) {
		_, conn := dial(t, AnswerFaults{Split: 1}, 1)
		assertReceived(t, conn, greeting)
		send(t, conn, "QUERY s SET a b\r\n")
		assertReceived(t, conn, complete)
		assertSilent(t, conn)
	})
	t.Run("cut", func(t *testing.T) {
		var whole atomic.Int64
		var reading sync.WaitGroup
		for seed := range uint64(8) {
			_, conn := dial(t, AnswerFaults{Cut: 1}, seed)
			reading.Go(func() {
				if err := conn.SetReadDeadline(time.Now().Add(restSpread + silence)); err != nil {
					t.Error(err)
				}
				got, _ := io.ReadAll(io.LimitReader(conn, int64(len(greeting))))
				if !strings.HasPrefix(greeting, string(got)) || len(got) == 0 {
					t.Errorf("received %q", got)
				}
				if string(got) == greeting {
					whole.Add(1)
				}
			})
		}
		reading.Wait()
		if n := whole.Load(); n == 0 || n == 8 {
			t.Errorf("the rest came after %d of 8 answers", n)
		}
	})
	t.Run("refused", func(t *testing.T) {
		_, conn := dial(t, AnswerFaults{Refused: 1}, 1)
		assertReceived(t, conn, greeting)
		reader := bufio.NewReader(conn)
		for _, text := range []string{"SET a b", "PREPARE p READ x", "BEGIN", "READ k"} {
			send(t, conn, fmt.Sprintf("QUERY s %s\r\n", text))
			refusal, err := ReadMessage(reader)
			if err != nil || refusal != "ERROR BUSY at random" && refusal != "ERROR FAILED at random" {
				t.Errorf("%s: %q, %v", text, refusal, err)
			}
			if ready, err := ReadMessage(reader); err != nil || ready != "READY I 1.0" {
				t.Errorf("%s: %q, %v", text, ready, err)
			}
		}
	})
}

// TestFailedTransaction guards against a stand-in that runs statements of a failed
// transaction, or commits it.
func TestFailedTransaction(t *testing.T) {
	group, conn := dial(t, AnswerFaults{}, 1)
	assertReceived(t, conn, greeting)
	send(t, conn, "QUERY 1 BEGIN\r\nQUERY 2 WRITE k a\r\nQUERY 3 EXECUTE none k\r\nQUERY 4 WRITE k b\r\nQUERY 5 COMMIT\r\n")
	assertReceived(t, conn, "COMPLETE -\r\nREADY T 1.0\r\nCOMPLETE e1.proof.0\r\nREADY T 1.0\r\n"+
		"ERROR NOSUCHSTMT none\r\nREADY E 1.0\r\nERROR MALFORMED the transaction has failed\r\nREADY E 1.0\r\n"+
		"ERROR ABORTED the transaction has failed\r\nREADY I 1.0\r\n")
	if group.Runs("a")+group.Runs("b") != 0 {
		t.Error("the transaction has been committed")
	}
}
