package rattanlink

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// goodbyeTimeout is how long a client may take to close its session after the goodbye.
// It is above the round trip between two regions.
const goodbyeTimeout = 500 * time.Millisecond

// A serverSession is an accepted session. When the server shuts down it handles no more
// requests, and says goodbye once all that it has handled are answered: the server opens a
// stream, which it does for nothing else. A request that is without its response when the
// client learns of the goodbye has certainly not been handled.
type serverSession struct {
	session *yamux.Session

	mutex sync.Mutex
	// handling counts the requests that are being handled, until their responses are
	// written.
	handling  int
	isClosing bool
	// isUnanswered is true once a response could not be written.
	isUnanswered bool
	isOver       bool
}

// begin reports whether the next request is to be handled. Then finish must be called.
func (s *serverSession) begin() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosing {
		return false
	}
	s.handling++
	return true
}

// finish records the end of a request and whether its response is written.
func (s *serverSession) finish(isAnswered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handling--
	s.isUnanswered = s.isUnanswered || !isAnswered
	s.endWhenIdle()
}

// close ends the session once the requests that are being handled are answered.
func (s *serverSession) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isClosing = true
	s.endWhenIdle()
}

// endWhenIdle ends a closing session without requests. The caller holds s.mutex.
func (s *serverSession) endWhenIdle() {
	if !s.isClosing || s.handling > 0 || s.isOver {
		return
	}
	s.isOver = true
	if s.isUnanswered {
		go s.session.Close()
		return
	}
	go s.sayGoodbye()
}

// sayGoodbye opens a stream and gives the client time to close the session.
func (s *serverSession) sayGoodbye() {
	defer s.session.Close()
	stream, err := s.session.OpenStream()
	if err != nil {
		return
	}
	// The stream opens with its first data.
	if _, err := stream.Write([]byte{0}); err != nil {
		return
	}
	timer := time.NewTimer(goodbyeTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.session.CloseChan():
	}
}
