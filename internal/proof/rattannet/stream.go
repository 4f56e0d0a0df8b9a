package rattannet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxUnreadBytes limits the undelivered data in one direction, as a TCP window does.
const maxUnreadBytes = 1 << 20

// A chunk is the data of one write until it is read.
type chunk struct {
	data    []byte
	arrives time.Time
}

// A stream is one direction of a connection.
type stream struct {
	network *Network
	link    link

	mutex sync.Mutex
	// changed is closed and replaced at each change of the stream.
	changed       chan struct{}
	chunks        []chunk
	unreadBytes   int
	writeClosed   bool
	readClosed    bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newStream(n *Network, l link) *stream {
	return &stream{network: n, link: l, changed: make(chan struct{})}
}

// notify wakes all waiting readers and writers. The caller holds mutex.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(p []byte) (int, error) {
	for {
		s.mutex.Lock()
		switch {
		case s.writeClosed:
			s.mutex.Unlock()
			return 0, net.ErrClosed
		case s.readClosed:
			s.mutex.Unlock()
			return 0, io.ErrClosedPipe
		case s.unreadBytes < maxUnreadBytes:
			s.chunks = append(s.chunks, chunk{append([]byte(nil), p...), time.Now().Add(s.network.latency)})
			s.unreadBytes += len(p)
			s.notify()
			s.mutex.Unlock()
			return len(p), nil
		}
		changed, deadline := s.changed, s.writeDeadline
		s.mutex.Unlock()
		if err := wait(deadline, time.Time{}, changed, nil); err != nil {
			return 0, err
		}
	}
}

func (s *stream) read(p []byte) (int, error) {
	for {
		cut, linkChanged := s.network.linkState(s.link)
		s.mutex.Lock()
		switch {
		case s.readClosed:
			s.mutex.Unlock()
			return 0, net.ErrClosed
		case !cut && len(s.chunks) > 0 && !s.chunks[0].arrives.After(time.Now()):
			count := s.take(p)
			s.mutex.Unlock()
			return count, nil
		case !cut && len(s.chunks) == 0 && s.writeClosed:
			s.mutex.Unlock()
			return 0, io.EOF
		}
		var arrives time.Time
		if !cut && len(s.chunks) > 0 {
			arrives = s.chunks[0].arrives
		}
		changed, deadline := s.changed, s.readDeadline
		s.mutex.Unlock()
		if err := wait(deadline, arrives, changed, linkChanged); err != nil {
			return 0, err
		}
	}
}

// take moves data of the first chunk to p. The caller holds mutex.
func (s *stream) take(p []byte) int {
	count := copy(p, s.chunks[0].data)
	s.chunks[0].data = s.chunks[0].data[count:]
	if len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.unreadBytes -= count
	s.notify()
	return count
}

// wait returns nil at a change or at the time until, and os.ErrDeadlineExceeded at
// the deadline. Zero times are ignored.
func wait(deadline, until time.Time, changed, linkChanged <-chan struct{}) error {
	now := time.Now()
	var expired, arrived <-chan time.Time
	if !deadline.IsZero() {
		if !deadline.After(now) {
			return os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(deadline.Sub(now))
		defer timer.Stop()
		expired = timer.C
	}
	if !until.IsZero() {
		timer := time.NewTimer(until.Sub(now))
		defer timer.Stop()
		arrived = timer.C
	}
	select {
	case <-changed:
	case <-linkChanged:
	case <-arrived:
	case <-expired:
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (s *stream) closeReading() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readClosed = true
	s.notify()
}

func (s *stream) closeWriting() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writeClosed = true
	s.notify()
}

func (s *stream) setReadDeadline(t time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readDeadline = t
	s.notify()
}

func (s *stream) setWriteDeadline(t time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writeDeadline = t
	s.notify()
}
