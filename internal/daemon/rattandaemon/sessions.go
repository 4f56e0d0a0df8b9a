package rattandaemon

import (
	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/caller/rattansession"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// sessions opens and seals the session tokens of callers.
type sessions struct {
	clock  rattanclock.Clock
	sealer *rattansession.Sealer
}

var _ rattanservice.Sessions = (*sessions)(nil)

// Open implements rattanservice.Sessions. It merges the tokens. A token that cannot
// be opened is refused, since serving the request without its positions could
// break read-your-writes.
func (s *sessions) Open(tokens []string, clientAccount string) (rattanservice.Session, error) {
	merged := rattansession.Token{ClientAccount: clientAccount}
	for _, token := range tokens {
		opened, err := s.sealer.OpenFor(token, clientAccount)
		if err != nil {
			return nil, rattanerr.NewNotRun(rattanv1.Reason_REASON_BAD_REQUEST, 0, "header %s: %s", rattanservice.SessionHeader, err)
		}
		merged = merged.Merge(opened)
	}
	return &session{sessions: s, token: merged}, nil
}

// A session is the merged session token of one request.
type session struct {
	sessions *sessions
	token    rattansession.Token
}

// Position implements rattanservice.Session.
func (s *session) Position(group string) rattanmodel.Position { return s.token.Position(group) }

// Advance implements rattanservice.Session.
func (s *session) Advance(group string, position rattanmodel.Position) {
	s.token = s.token.With(group, position)
}

// Seal implements rattanservice.Session.
func (s *session) Seal() string {
	s.token.Issued = s.sessions.clock.Now()
	return s.sessions.sealer.Seal(s.token)
}
