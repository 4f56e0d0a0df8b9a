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

// separator joins the tokens in Client.Session. Tokens are base64url and do not
// contain it.
const separator = ","

// A session holds the tokens that together record what the session has written and
// read. The answer to a request has a token that covers all tokens sent with the
// request. It does not cover the tokens of other answers that arrived in the
// meantime; those stay too, because replacing them would lose writes.
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

// receive replaces the tokens sent by the token of the answer.
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

// text returns the tokens as Client.Session does.
func (s *session) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.tokens, separator)
}

// restore replaces the tokens by those of a text that text has returned.
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
