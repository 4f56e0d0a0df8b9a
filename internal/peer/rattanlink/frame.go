// Package rattanlink carries frames between daemons: yamux sessions over TCP,
// optionally with mutual TLS, with one request and one response frame per stream.
package rattanlink

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// frameHeaderBytes is the size of the length that precedes a frame: a
// big-endian unsigned 32-bit number of bytes.
const frameHeaderBytes = 4

// readChunkBytes bounds the memory that is allocated ahead of the bytes that have
// arrived, so that a peer cannot exhaust memory by announcing a false length.
const readChunkBytes = 64 << 10

// WriteFrame writes frame preceded by its length. It writes nothing when it returns a
// *FrameSizeError, since frame is larger than limit bytes, or an *EncodeError.
func WriteFrame(w io.Writer, frame *rattanv1.PeerFrame, limit int) error {
	size := proto.Size(frame)
	if size > limit {
		return &FrameSizeError{Bytes: uint64(size), Limit: limit}
	}
	buffer := make([]byte, frameHeaderBytes, frameHeaderBytes+size)
	binary.BigEndian.PutUint32(buffer, uint32(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, frame)
	if err != nil {
		return &EncodeError{cause: err}
	}
	if _, err := w.Write(buffer); err != nil {
		return errors.Wrap(err, "write frame")
	}
	return nil
}

// ReadFrame reads one frame. It returns a *FrameSizeError when the announced
// length is above limit bytes, io.ErrUnexpectedEOF when the frame is truncated,
// io.EOF when there is none, and ErrMalformedFrame when it is not a PeerFrame.
func ReadFrame(r io.Reader, limit int) (*rattanv1.PeerFrame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(limit) {
		return nil, &FrameSizeError{Bytes: uint64(size), Limit: limit}
	}
	buffer, err := readBody(r, int(size))
	if err != nil {
		return nil, err
	}
	frame := &rattanv1.PeerFrame{}
	if err := proto.Unmarshal(buffer, frame); err != nil {
		return nil, errors.Wrap(ErrMalformedFrame, err.Error())
	}
	return frame, nil
}

// readBody reads size bytes, in chunks of readChunkBytes.
func readBody(r io.Reader, size int) ([]byte, error) {
	buffer := make([]byte, 0, min(size, readChunkBytes))
	for len(buffer) < size {
		start := len(buffer)
		buffer = append(buffer, make([]byte, min(size-start, readChunkBytes))...)
		if _, err := io.ReadFull(r, buffer[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return buffer, nil
}
