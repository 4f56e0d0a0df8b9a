package rattanlink

import (
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// requestBytes and responseBytes are what a stream adds to a frame in each direction: the
// yamux headers that carry the data and close the stream, and with a response the one that
// acknowledges the stream.
const (
	requestBytes  = frameHeaderBytes + 2*headerBytes
	responseBytes = frameHeaderBytes + 3*headerBytes
)

// RequestBytes returns how many bytes a request adds to the session that carries it,
// without those of TLS, TCP and IP.
func RequestBytes(frame *rattanv1.PeerFrame) int { return requestBytes + proto.Size(frame) }

// ResponseBytes returns the same of a response. A nil response adds none.
func ResponseBytes(frame *rattanv1.PeerFrame) int {
	if frame == nil {
		return 0
	}
	return responseBytes + proto.Size(frame)
}

// An Exchange is one call of a Client that has sent its request.
type Exchange struct {
	// Address is that of the other daemon.
	Address string
	Kind    Kind
	// SentBytes and ReceivedBytes are those of the request and the response. The latter
	// is 0 when there was no response in time.
	SentBytes, ReceivedBytes int
}
