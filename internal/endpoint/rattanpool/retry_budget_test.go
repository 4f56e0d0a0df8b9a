package rattanpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// TestRetryBudget guards against retries that multiply the load on a failing group,
// and against a group with few requests that may not retry at all.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewRetryBudget(rattanclock.System())
		spend := func() (retries int) {
			for budget.TryRetry() {
				retries++
			}
			return retries
		}
		assertEqual(t, "retries without requests in 10 s", spend(), retryWindowSeconds)
		for range 1000 {
			budget.RecordRequest()
		}
		assertEqual(t, "retries for 1000 more requests", spend(), 100-retryWindowSeconds)
		time.Sleep(time.Hour)
		assertEqual(t, "retries after a pause", spend(), retryWindowSeconds)
	})
}
