package rattanlink

import (
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// streamBytes is what a stream adds to a frame in each direction: the yamux headers that
// open or acknowledge the stream, carry the data and close it.
const streamBytes = 3 * headerBytes

// FrameBytes returns how many bytes a frame adds to the session that carries it, without
// those of TLS, TCP and IP. A nil frame adds none.
func FrameBytes(frame *rattanv1.PeerFrame) int {
	if frame == nil {
		return 0
	}
	return streamBytes + frameHeaderBytes + proto.Size(frame)
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
