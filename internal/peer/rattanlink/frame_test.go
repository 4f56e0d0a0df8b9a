package rattanlink

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

func borrowFrame(loan uint64) *rattanv1.PeerFrame {
	request := &rattanv1.BorrowRequest{Loan: loan, Share: "account/shop/dealer-1"}
	return &rattanv1.PeerFrame{Id: 7, Body: &rattanv1.PeerFrame_BorrowRequest{BorrowRequest: request}}
}

// TestReadFrame guards against a reader that trusts the length that a peer announces,
// and against one that accepts a truncated frame.
func TestReadFrame(t *testing.T) {
	var whole bytes.Buffer
	if err := WriteFrame(&whole, borrowFrame(1), 1000); err != nil {
		t.Fatal(err)
	}
	frame, err := ReadFrame(bytes.NewReader(whole.Bytes()), 1000)
	if err != nil || !proto.Equal(frame, borrowFrame(1)) {
		t.Errorf("ReadFrame = %v, %v, want the written frame", frame, err)
	}
	var tooLarge *FrameSizeError
	_, err = ReadFrame(bytes.NewReader(whole.Bytes()), 10)
	if !errors.As(err, &tooLarge) {
		t.Errorf("above the limit: got %v, want a *FrameSizeError", err)
	}
	if err := WriteFrame(io.Discard, borrowFrame(1), 10); !errors.As(err, &tooLarge) {
		t.Errorf("write above the limit: got %v, want a *FrameSizeError", err)
	}
	_, err = ReadFrame(bytes.NewReader(whole.Bytes()[:whole.Len()-1]), 1000)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated: got %v, want %v", err, io.ErrUnexpectedEOF)
	}
	_, err = ReadFrame(bytes.NewReader([]byte{0, 0, 0, 1, 0xff}), 1000)
	if !errors.Is(err, ErrMalformedFrame) {
		t.Errorf("malformed: got %v, want %v", err, ErrMalformedFrame)
	}
}

// FuzzReadFrame guards against bytes from the network that make the reader panic,
// and against accepted frames that cannot be written and read again.
func FuzzReadFrame(f *testing.F) {
	const limit = 1 << 16
	var whole bytes.Buffer
	if err := WriteFrame(&whole, borrowFrame(1), limit); err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Bytes())
	f.Add([]byte{})
	f.Add([]byte{0, 0, 0, 0})
	f.Add(binary.BigEndian.AppendUint32(nil, limit+1))
	f.Add([]byte{0, 0, 0, 2, 0x0a, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data), limit)
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := WriteFrame(&again, frame, 2*limit); err != nil {
			t.Fatalf("accepted frame cannot be written: %v", err)
		}
		reread, err := ReadFrame(&again, 2*limit)
		if err != nil || !proto.Equal(reread, frame) {
			t.Fatalf("reread = %v, %v, want %v", reread, err, frame)
		}
	})
}
