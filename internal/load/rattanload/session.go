package rattanload

import (
	"fmt"
	"sync"
)

// A session sends one request at a time and keeps its token.
type session struct {
	id     string
	daemon int
	token  string
	writes int
	// values has the last acknowledged value by service.
	values map[int]string
}

// nextValue returns a value that no other write of the run has.
func (s *session) nextValue() string {
	s.writes++
	return fmt.Sprintf("%s-%d", s.id, s.writes)
}

// sessions are the sessions of a client account. A request takes one that waits
// for no answer, or starts a new one, so that arrivals do not wait for answers.
type sessions struct {
	prefix string

	mutex sync.Mutex
	idle  []*session
	next  int
}

// take returns an idle session for a number in [0, 1), and whether it is new.
func (s *sessions) take(number float64) (*session, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.idle) < idleSessions && s.next < idleSessions || len(s.idle) == 0 {
		s.next++
		return &session{id: fmt.Sprintf("%s-%d", s.prefix, s.next), values: make(map[int]string)}, true
	}
	i := int(number * float64(len(s.idle)))
	taken := s.idle[i]
	s.idle[i] = s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	return taken, false
}

// idleSessions is how many sessions a client account has at least, so that
// sessions have pauses between requests as those of people do.
const idleSessions = 20

func (s *sessions) put(done *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.idle = append(s.idle, done)
}
