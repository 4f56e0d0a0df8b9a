package rattanproxy

import (
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

func accountStatement(account, id string) rattanupstream.StatementRequest {
	return rattanupstream.StatementRequest{AcquireRequest: rattanupstream.AcquireRequest{Account: account}, StatementID: id}
}

// TestSameIDOfAnotherAccount guards against a request that is not counted because a request of
// another account, which chose the same id, has run before.
func TestSameIDOfAnotherAccount(t *testing.T) {
	u := &usage{proxy: newIdleProxy(t, "vm-1"), begun: make(map[requestKey]time.Time)}
	u.recordAttempt(accountStatement("a", "b/c"), rattanstatement.Result{}, rattanupstream.ErrTimeout)
	for _, test := range []struct {
		account, id string
		want        bool
	}{
		{"a", "b/c", true},
		{"other", "b/c", false},
		{"a/b", "c", false},
		{"", "a/b/c", false},
	} {
		if got := u.hasBegun(accountStatement(test.account, test.id)); got != test.want {
			t.Errorf("account %q, id %q: begun %t, want %t", test.account, test.id, got, test.want)
		}
	}
}
