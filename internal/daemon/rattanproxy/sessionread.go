package rattanproxy

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// lastMessageTimeout is how long the rest of a message may take in a session that is to
// close.
const lastMessageTimeout = 200 * time.Millisecond

// interrupted is a read deadline that ends the wait for the next message.
var interrupted = time.Unix(1, 0)

// readStatement waits for the next statement. A session that is to close reads what has
// arrived before, so that no statement is dropped without an answer.
func (s *session) readStatement() (rattanstatement.Statement, error) {
	if err := s.awaitNext(); err != nil {
		return rattanstatement.Statement{}, err
	}
	err := s.conn.AwaitMessage()
	if isTimeout(err) && s.takesLastMessage() {
		err = s.conn.AwaitMessage()
	}
	if err != nil {
		return rattanstatement.Statement{}, err
	}
	if err := s.beginMessage(); err != nil {
		return rattanstatement.Statement{}, err
	}
	statement, err := s.conn.ReadStatement()
	s.endMessage(statement.ID)
	if isTimeout(err) {
		return statement, errCutMessage
	}
	return statement, err
}

// errCutMessage says that the rest of a message did not arrive in time. What arrives later
// is no message of its own, so the session is over.
var errCutMessage = errors.New("the rest of the message did not arrive in time")

// takesLastMessage reports whether a message has arrived in a session that is to close, and
// limits the wait for its rest.
func (s *session) takesLastMessage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLeavingLocked() || !s.conn.HasArrived() {
		return false
	}
	return s.limitMessage() == nil
}

// limitMessage begins the message that is the last one and sets until when it must have
// arrived. The caller holds s.mu.
func (s *session) limitMessage() error {
	s.isReceiving, s.isLast = true, true
	return s.conn.SetReadDeadline(s.proxy.clock.Now().Add(lastMessageTimeout))
}

// awaitNext prepares the wait for the next statement.
func (s *session) awaitNext() error {
	limit := time.Time{}
	if s.transaction != nil {
		limit = s.proxy.clock.Now().Add(s.idleTransaction())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReceiving, s.isLast, s.isAnswering, s.answering = false, false, false, ""
	s.isBusy = s.transaction != nil
	if s.isLeavingLocked() {
		limit = interrupted
	}
	return s.conn.SetReadDeadline(limit)
}

// isLeaving reports whether the session is to close before the next statement.
func (s *session) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeavingLocked()
}

func (s *session) isLeavingLocked() bool { return s.isEnded || s.isClosing && !s.isBusy }

func (s *session) idleTransaction() time.Duration {
	const fallback = 10 * time.Second
	if catalog := s.proxy.cache.Snapshot().Catalog; catalog != nil && catalog.Limits().IdleTransaction > 0 {
		return catalog.Limits().IdleTransaction
	}
	return fallback
}

// beginMessage records that a message has begun to arrive: the session closes only after
// the answer to it, unless its rest does not arrive in time.
func (s *session) beginMessage() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReceiving = true
	if s.isLast || !s.isLeavingLocked() {
		return nil
	}
	return s.limitMessage()
}

// endMessage records that a message has arrived and, if it is a statement, its id.
func (s *session) endMessage(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReceiving, s.isBusy, s.isAnswering, s.answering = false, true, true, id
}

// closeIdle closes the session; if a statement or transaction is in progress, the
// session closes after it.
func (s *session) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosing = true
	if !s.isBusy {
		s.interrupt()
	}
}

// end closes the session, also with an open transaction; if a statement is in progress, the
// session closes after the response.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEnded = true
	if !s.isAnswering {
		s.interrupt()
	}
}

// interrupt ends the wait for the next message, or limits that for the rest of one. The
// caller holds s.mu.
func (s *session) interrupt() {
	switch {
	case !s.isReceiving:
		_ = s.conn.SetReadDeadline(interrupted)
	case !s.isLast:
		_ = s.limitMessage()
	}
}

// handleReadError handles a message that could not be read. It returns false when
// the session is over.
func (s *session) handleReadError(err error) bool {
	if s.proxy.platform.IsTerminated(err) {
		return false
	}
	if errors.Is(err, errCutMessage) {
		s.proxy.metrics.count(countCutMessages)
		s.proxy.logger.Info("message_cut", "database", s.database, "account", s.account)
		return false
	}
	if isTimeout(err) && s.isLeaving() {
		return false
	}
	if isTimeout(err) && s.transaction != nil {
		s.proxy.logger.Info("transaction_idle", "database", s.database, "account", s.account)
		s.abortTransaction()
		s.stateMachine.TransactionFailed()
		return true
	}
	protocolErr, ok := s.proxy.platform.ParseCallerError(err)
	if !ok {
		return false
	}
	s.proxy.logger.Info("message_refused", "id", protocolErr.ID, "code", protocolErr.Code.String(), "problem", protocolErr.Problem)
	result := rattanstatement.Refuse(protocolErr.Code, protocolErr.Problem)
	if s.write(result) != nil {
		return false
	}
	return !protocolErr.IsFatal
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
