package rattanload

import (
	"fmt"
	"sync"
)

// A session sends one request at a time and keeps its session token.
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

// A sessionPool has the sessions of a client account. A request takes a session that
// waits for no response, or starts a new one, so that arrivals never wait.
type sessionPool struct {
	prefix string

	mutex sync.Mutex
	idle  []*session
	next  int
}

// take returns the idle session that a random number in [0, 1) selects, or a new one,
// and whether it is new.
func (s *sessionPool) take(number float64) (*session, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.idle) < minSessions && s.next < minSessions || len(s.idle) == 0 {
		s.next++
		return &session{id: fmt.Sprintf("%s-%d", s.prefix, s.next), values: make(map[int]string)}, true
	}
	i := int(number * float64(len(s.idle)))
	taken := s.idle[i]
	s.idle[i] = s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	return taken, false
}

// minSessions is how many sessions a client account starts before it reuses them, so
// that sessions have pauses between requests as those of people do.
const minSessions = 20

func (s *sessionPool) put(done *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.idle = append(s.idle, done)
}
