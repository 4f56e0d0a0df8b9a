package rattanproxy

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatemachine"
)

// sessions counts and lists the open sessions.
type sessions struct {
	mu   sync.Mutex
	open map[*session]struct{}
	// refusesNew is true once no session is added any more.
	refusesNew bool
}

// add lists a session. It returns false when new sessions are refused.
func (s *sessions) add(added *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusesNew {
		return false
	}
	if s.open == nil {
		s.open = make(map[*session]struct{})
	}
	s.open[added] = struct{}{}
	return true
}

func (s *sessions) refuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusesNew = true
}

func (s *sessions) remove(removed *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, removed)
}

func (s *sessions) list() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.open))
	for open := range s.open {
		list = append(list, open)
	}
	return list
}

func (s *sessions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// accept starts a session for each caller that connects.
func (p *Proxy) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return suture.ErrDoNotRestart
			}
			p.logger.Error("accept_failed", "error", err)
			if !p.sleep(ctx, storeRetry) {
				return suture.ErrDoNotRestart
			}
			continue
		}
		s := &session{proxy: p, conn: p.platform.Caller(conn), acceptedAt: p.clock.Now(), stateMachine: rattanstatemachine.New()}
		if !p.sessions.add(s) {
			_ = s.conn.Close()
			continue
		}
		go func() {
			defer p.sessions.remove(s)
			defer p.recoverPanic("session")
			s.serve()
		}()
	}
}
