package rattanlink

import (
	"bytes"
	"net"
	"testing"
)

// writesConn records each write.
type writesConn struct {
	net.Conn
	writes [][]byte
}

func (c *writesConn) Write(p []byte) (int, error) {
	c.writes = append(c.writes, bytes.Clone(p))
	return len(p), nil
}

// TestJoinConn guards against bytes that are written out of order, against a body that is
// held back because it looks like a header, since no write would follow it and it would
// never be sent, and against a stream that is not opened, or opened twice, when two are
// opened at the same time.
func TestJoinConn(t *testing.T) {
	open := []byte{0, typeWindowUpdate, 0, flagSYN, 0, 0, 0, 1, 0, 0, 0, 0}
	acknowledge := []byte{0, typeWindowUpdate, 0, 2, 0, 0, 0, 1, 0, 0, 0, 0}
	data := []byte{0, typeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 12}
	body := []byte{0, 0, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8}
	openOther := []byte{0, typeWindowUpdate, 0, flagSYN, 0, 0, 0, 3, 0, 0, 0, 0}
	dataOther := []byte{0, typeData, 0, 0, 0, 0, 0, 3, 0, 0, 0, 12}
	openingData := []byte{0, typeData, 0, flagSYN, 0, 0, 0, 1, 0, 0, 0, 12}
	finish := []byte{0, typeWindowUpdate, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}
	recorder := &writesConn{}
	conn := &joinConn{Conn: recorder}
	for range 2 {
		recorder.writes = nil
		for _, p := range [][]byte{acknowledge, open, data, body, finish, open, openOther, data, body, dataOther, body} {
			if n, err := conn.Write(p); n != len(p) || err != nil {
				t.Fatalf("Write = %d, %v, want %d", n, err, len(p))
			}
		}
		want := [][]byte{
			acknowledge, bytes.Join([][]byte{openingData, body}, nil), finish,
			bytes.Join([][]byte{openOther, openingData, body}, nil), bytes.Join([][]byte{dataOther, body}, nil),
		}
		if len(recorder.writes) != len(want) {
			t.Fatalf("%d writes, want %d", len(recorder.writes), len(want))
		}
		for i := range want {
			if !bytes.Equal(recorder.writes[i], want[i]) {
				t.Errorf("write %d: got %v, want %v", i, recorder.writes[i], want[i])
			}
		}
	}
}
