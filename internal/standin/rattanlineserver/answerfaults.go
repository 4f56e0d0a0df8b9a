package rattanlineserver

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// repeatSpread is the longest time after which an answer is sent again, and restSpread
	// the longest after which the rest of a cut one is sent.
	repeatSpread = 100 * time.Millisecond
	restSpread   = 1500 * time.Millisecond
	// pieceBytes is the largest size of a piece of a split answer, and pieceSpread the longest
	// pause between two of them.
	pieceBytes  = 8
	pieceSpread = 500 * time.Microsecond
)

// AnswerFaults are the shares, from 0 to 1, of an endpoint's answers that go wrong.
type AnswerFaults struct {
	// Repeated answers are sent a second time.
	Repeated float64
	// Cut answers break off. The rest of some comes later; after the others the endpoint
	// sends nothing more on the connection.
	Cut float64
	// Split answers arrive in small pieces.
	Split float64
	// Refused requests are answered with BUSY, and have not run, or with FAILED, and may
	// have run.
	Refused float64
}

// SetAnswerFaults sets which answers go wrong from now on, at random as determined by seed.
func (e *Endpoint) SetAnswerFaults(faults AnswerFaults, seed uint64) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.faults, e.random = faults, rand.New(rand.NewPCG(seed, 0))
}

// occurs decides whether a fault with a share occurs. The caller holds the group's mutex.
func (e *Endpoint) occurs(share float64) bool { return share > 0 && e.random.Float64() < share }

// upTo returns a random time. The caller holds the group's mutex.
func (e *Endpoint) upTo(limit time.Duration) time.Duration {
	return time.Duration(e.random.Int64N(int64(limit)))
}

// A delivery is how an answer is sent. Its zero value is an answer without a fault.
type delivery struct {
	isRepeated, isSplit, hasRest bool
	repeatAfter, restAfter       time.Duration
	// cutAt is where the answer breaks off, 0 if it does not.
	cutAt int
	// seed determines the pieces.
	seed uint64
}

// plan decides how an answer is sent.
func (e *Endpoint) plan(answer string) delivery {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	var d delivery
	if e.occurs(e.faults.Repeated) {
		d.isRepeated, d.repeatAfter = true, e.upTo(repeatSpread)
	}
	if e.occurs(e.faults.Cut) && len(answer) > 1 {
		d.cutAt, d.hasRest, d.restAfter = 1+e.random.IntN(len(answer)-1), e.random.IntN(2) == 0, e.upTo(restSpread)
	}
	if e.occurs(e.faults.Split) {
		d.isSplit, d.seed = true, e.random.Uint64()
	}
	return d
}

// An answerWriter sends whole answers on a connection, one after another.
type answerWriter struct {
	conn net.Conn

	mu sync.Mutex
	// isSilent is true once an answer has broken off for good.
	isSilent bool
}

func (w *answerWriter) write(answer string, d delivery) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isSilent {
		return nil
	}
	if err := w.writeBytes([]byte(answer[:d.cutAt]), d); err != nil {
		return err
	}
	if d.cutAt > 0 && !d.hasRest {
		w.isSilent = true
		return nil
	}
	time.Sleep(d.restAfter)
	if err := w.writeBytes([]byte(answer[d.cutAt:]), d); err != nil {
		return err
	}
	if d.isRepeated {
		time.AfterFunc(d.repeatAfter, func() { _ = w.write(answer, delivery{}) })
	}
	return nil
}

// writeBytes writes bytes at once or in pieces.
func (w *answerWriter) writeBytes(rest []byte, d delivery) error {
	random := rand.New(rand.NewPCG(d.seed, 0))
	for d.isSplit && len(rest) > 0 {
		n := min(1+random.IntN(pieceBytes), len(rest))
		if _, err := w.conn.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		time.Sleep(time.Duration(random.Int64N(int64(pieceSpread))))
	}
	if len(rest) == 0 {
		return nil
	}
	_, err := w.conn.Write(rest)
	return err
}

// refuse decides whether a request is refused, and returns the response then.
func (s *session) refuse(verb, rest string) (reply string, isRefused bool) {
	e := s.endpoint
	if verb == "ROLLBACK" || !e.occurs(e.faults.Refused) {
		return "", false
	}
	code := "BUSY"
	if verb != "STATUS" && verb != "STEPDOWN" && e.random.IntN(2) == 0 {
		code = "FAILED"
		if verb != "BEGIN" && e.random.IntN(2) == 0 {
			_, _ = s.execute(verb, rest)
		}
	}
	reply, _ = s.fail(code + " at random")
	return reply, true
}
