package rattanupstream

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattananswer"
)

// An invalidConn refuses all requests before it sends them, and sessions of the account
// "odd".
type invalidConn struct{ stutterConn }

var errInvalid = &rattanstatement.InvalidFieldError{Field: "id", Problem: "it holds a line end"}

func (c *invalidConn) Open(_, account, _ string) (rattanstatement.Result, error) {
	if account == "odd" {
		return rattanstatement.Result{}, errInvalid
	}
	return rattanstatement.Result{}, nil
}

func (c *invalidConn) Send(...rattanstatement.Request) error { return errInvalid }

// newInvalid returns an upstream with invalidConns and the number of its dials.
func newInvalid() (*Upstream, *int) {
	upstream, _ := newStuttering()
	dialed := 0
	upstream.dial = func(string, time.Duration) (Conn, error) {
		dialed++
		return &invalidConn{}, nil
	}
	return upstream, &dialed
}

func assertNotRun(t *testing.T, result rattanstatement.Result, err error) {
	t.Helper()
	if !errors.Is(err, ErrOverloaded) || errors.Is(err, ErrTimeout) {
		t.Errorf("got %+v, %v, want the error %v", result, err, ErrOverloaded)
	}
}

// TestRefusedBeforeSending guards against a statement that was refused before it was sent and
// is told as one that may have run.
func TestRefusedBeforeSending(t *testing.T) {
	withVariable := stutterWrite("1")
	withVariable.SessionVars = map[string]string{"zone": "a"}
	odd := stutterWrite("1")
	odd.Account = "odd"
	for _, test := range []struct {
		name string
		run  func(u *Upstream) (rattanstatement.Result, error)
	}{
		{"read", func(u *Upstream) (rattanstatement.Result, error) { return u.Read(stutterRequest("1")) }},
		{"write", func(u *Upstream) (rattanstatement.Result, error) { return u.Write(stutterWrite("1")) }},
		{"setup", func(u *Upstream) (rattanstatement.Result, error) { return u.Write(withVariable) }},
		{"session", func(u *Upstream) (rattanstatement.Result, error) { return u.Write(odd) }},
		{"transaction", func(u *Upstream) (rattanstatement.Result, error) {
			_, result, err := u.Begin(Begin{First: stutterWrite("1"), AtPrimary: true})
			return result, err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstream, dialed := newInvalid()
			result, err := test.run(upstream)
			assertNotRun(t, result, err)
			if upstream.Held() != 0 {
				t.Error("a connection whose setup is not known was kept")
			}
			upstream.mu.Lock()
			defer upstream.mu.Unlock()
			if upstream.reachability.isProbing || *dialed != 1 {
				t.Errorf("%d dials: the endpoint is probed for want of an answer", *dialed)
			}
		})
	}
	t.Run("error", func(t *testing.T) {
		upstream, _ := newInvalid()
		pooled := newPooledConn(upstream, &invalidConn{}, rattanstatement.Result{}, "miny")
		_, err := pooled.Run(nil, rattanstatement.Request{ID: "1", Text: "WRITE k"}, time.Now().Add(time.Second))
		if !isUnsent(err) || !rattanstatement.IsInvalidField(err) || pooled.conn.distrust != rattananswer.Reason("") {
			t.Errorf("got %v", err)
		}
	})
}
