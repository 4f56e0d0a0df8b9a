package client

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// sessionHeader carries the session token in requests and answers. A request has
// one value for each token held; the daemon merges them.
const sessionHeader = "Rattanstream-Session"

// separator stands between the tokens of Session; tokens are base64url.
const separator = ","

// A session holds the tokens that together say what the session has written and
// read. The answer to a request has a token that covers all tokens sent with the
// request. Tokens of other answers that came meanwhile are not covered by it and
// are kept beside it, because overwriting them would lose writes.
type session struct {
	mu     sync.Mutex
	tokens []string
}

// send sets the session header and returns the tokens sent.
func (s *session) send(header http.Header) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, token := range s.tokens {
		header.Add(sessionHeader, token)
	}
	return slices.Clone(s.tokens)
}

// receive takes the token of an answer in place of the tokens sent.
func (s *session) receive(header http.Header, sent []string) {
	token := header.Get(sessionHeader)
	if token == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = slices.DeleteFunc(s.tokens, func(held string) bool {
		return held == token || slices.Contains(sent, held)
	})
	s.tokens = append(s.tokens, token)
}

func (s *session) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.tokens, separator)
}

func (s *session) restore(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = nil
	for token := range strings.SplitSeq(text, separator) {
		if token != "" {
			s.tokens = append(s.tokens, token)
		}
	}
}
