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
	if isTimeout(err) && s.isLeaving() && s.conn.HasArrived() {
		err = s.awaitLastMessage()
	}
	if err != nil {
		return rattanstatement.Statement{}, err
	}
	if err := s.beginMessage(); err != nil {
		return rattanstatement.Statement{}, err
	}
	statement, err := s.conn.ReadStatement()
	s.setAnswering(statement.ID)
	return statement, err
}

func (s *session) awaitLastMessage() error {
	if err := s.conn.SetReadDeadline(s.proxy.clock.Now().Add(lastMessageTimeout)); err != nil {
		return err
	}
	return s.conn.AwaitMessage()
}

// awaitNext prepares the wait for the next statement.
func (s *session) awaitNext() error {
	limit := time.Time{}
	if s.transaction != nil {
		limit = s.proxy.clock.Now().Add(s.idleTransaction())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAnswering, s.answering = false, ""
	s.isBusy = s.transaction != nil || s.conn.HasBuffered()
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

// beginMessage records that a message has begun to arrive: from now on the session closes
// only after the answer. If it is to close, the rest of the message must arrive soon.
func (s *session) beginMessage() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isBusy, s.isAnswering = true, true
	if !s.isClosing && !s.isEnded {
		return nil
	}
	return s.conn.SetReadDeadline(s.proxy.clock.Now().Add(lastMessageTimeout))
}

// setAnswering records the id of the statement that was read.
func (s *session) setAnswering(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answering = id
}

// closeIdle closes the session; if a statement or transaction is in progress, the
// session closes after it.
func (s *session) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosing = true
	if !s.isBusy {
		_ = s.conn.SetReadDeadline(interrupted)
	}
}

// end closes the session, also with an open transaction; if a statement is in progress, the
// session closes after the response.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEnded = true
	if !s.isAnswering {
		_ = s.conn.SetReadDeadline(interrupted)
	}
}

// handleReadError handles a message that could not be read. It returns false when
// the session is over.
func (s *session) handleReadError(err error) bool {
	if s.proxy.platform.IsTerminated(err) {
		return false
	}
	if isTimeout(err) && s.isLeaving() {
		return false
	}
	if isTimeout(err) && s.transaction != nil {
		s.proxy.logger.Info("transaction_idle", "database", s.database, "account", s.account)
		s.transaction.Abort()
		s.transaction = nil
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
