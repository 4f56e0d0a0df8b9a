package rattanlink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Client sends requests to other daemons, over one session per address.
type Client struct {
	options  options
	counters counters
	// lastID is the number of the last request frame.
	lastID  atomic.Uint64
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex  sync.Mutex
	closed bool
	peers  map[string]*peer
}

// NewClient returns a Client that connects to an address at the first call.
func NewClient(opts ...Option) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		options: newOptions(opts),
		ctx:     ctx,
		cancel:  cancel,
		peers:   make(map[string]*peer),
	}
	c.running.Go(c.closeIdle)
	return c
}

// Counters returns the totals since the start.
func (c *Client) Counters() Counters {
	return c.counters.read()
}

// Close closes all sessions and waits until all calls and goroutines have ended.
// Running calls fail.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	c.running.Wait()
	return nil
}

// Call sends frame to the daemon at address (host:port) and returns its
// response. It sets frame's Id. A call that fails or times out closes only its own
// stream. It returns ErrClosed, ErrBackoff, a *RemoteError when the peer could not
// handle the frame, ErrMismatchedFrame when the response is that to another request or kind
// of request, a *FrameSizeError, an *EncodeError, ctx's error, or a network error.
func (c *Client) Call(ctx context.Context, address string, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	c.counters.calls.Add(1)
	response, err := c.call(ctx, address, frame)
	if errors.Is(err, ErrMismatchedFrame) {
		c.options.onMismatch(address, KindOf(frame))
	}
	if err != nil {
		c.counters.failed.Add(1)
		return nil, err
	}
	return response, nil
}

func (c *Client) call(ctx context.Context, address string, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.callTimeout)
	defer cancel()
	p, err := c.peer(address)
	if err != nil {
		return nil, &unsentError{cause: err}
	}
	defer p.release()
	if err := p.acquireStream(ctx); err != nil {
		return nil, &unsentError{cause: err}
	}
	defer p.releaseStream()
	session, err := p.session(ctx)
	if err != nil {
		return nil, &unsentError{cause: err}
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, &unsentError{cause: errors.Wrapf(err, "open stream to %s", address)}
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	frame.Id = c.lastID.Add(1)
	response, err := c.exchange(stream, frame)
	if session.hasNotHandled(err) {
		err = &unsentError{cause: err}
	}
	if !IsUnsent(err) {
		c.options.onExchange(Exchange{
			Address: address, Kind: KindOf(frame), SentBytes: RequestBytes(frame), ReceivedBytes: ResponseBytes(response),
		})
	}
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if errors.Is(err, yamux.ErrTimeout) {
			return nil, context.DeadlineExceeded
		}
		return nil, errors.Wrapf(err, "call %s", address)
	}
	if failure := response.GetError(); failure != nil {
		return nil, &RemoteError{Address: address, Message: failure.GetMessage()}
	}
	if responseKind(response) != KindOf(frame) {
		return nil, errors.Wrapf(ErrMismatchedFrame, "call %s", address)
	}
	return response, nil
}

// exchange sends frame on a new stream and reads the response.
func (c *Client) exchange(stream *yamux.Stream, frame *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	if err := WriteFrame(stream, frame, c.options.maxFrameBytes); isUnwritable(err) {
		return nil, &unsentError{cause: err}
	} else if errors.Is(err, yamux.ErrStreamClosed) {
		// The stream returns this error before it has sent the last bytes of the
		// frame, and the peer handles only complete frames.
		return nil, &unsentError{cause: err}
	} else if err != nil && !isSessionOver(err) {
		return nil, err
	}
	// A session that is over may have sent the frame, and may have the response.
	response, err := ReadFrame(stream, c.options.maxFrameBytes)
	if err != nil {
		return nil, err
	}
	if response.GetId() != frame.GetId() {
		return nil, ErrMismatchedFrame
	}
	return response, nil
}

// peer returns the peer at an address, and a new one at the first call. The caller
// must release it; Close waits for that.
func (c *Client) peer(address string) (*peer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	p, ok := c.peers[address]
	if !ok {
		p = newPeer(c, address)
		c.peers[address] = p
	}
	c.running.Add(1)
	p.users++
	p.lastUsed = c.options.clock.Now()
	return p, nil
}

// closeIdle closes the sessions to peers that have not been used for the idle
// timeout, and all sessions when the client closes.
func (c *Client) closeIdle() {
	for {
		select {
		case <-c.ctx.Done():
			c.closeAll()
			return
		case <-c.options.clock.After(c.options.idleTimeout / 2):
		}
		for _, p := range c.takeIdle() {
			p.close()
		}
	}
}

// takeIdle removes the idle peers from the client and returns them.
func (c *Client) takeIdle() []*peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var idle []*peer
	now := c.options.clock.Now()
	for address, p := range c.peers {
		if p.users == 0 && now.Sub(p.lastUsed) >= c.options.idleTimeout {
			idle = append(idle, p)
			delete(c.peers, address)
		}
	}
	return idle
}

func (c *Client) closeAll() {
	c.mutex.Lock()
	peers := c.peers
	c.peers = make(map[string]*peer)
	c.mutex.Unlock()
	for _, p := range peers {
		p.close()
	}
}
