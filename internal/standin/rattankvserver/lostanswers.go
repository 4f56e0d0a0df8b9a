package rattankvserver

import "net/http"

// LoseAnswer makes the store carry out the next write of a key without an answer.
func (s *Server) LoseAnswer(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswers[key] = true
}

// HasLostAnswer reports whether a write of the key has been carried out without an answer
// since LoseAnswer.
func (s *Server) HasLostAnswer(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lostAnswers[key]
}

// loseAnswer closes the connection of a request whose answer is to be lost. The caller holds
// s.mu.
func (s *Server) loseAnswer(request txnRequest) {
	for _, write := range request.Writes {
		if s.lostAnswers[write.Key] {
			delete(s.lostAnswers, write.Key)
			panic(http.ErrAbortHandler)
		}
	}
}
