package rattanpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// TestRetryBudget guards against retries that multiply the load of a failing
// group, and against a quiet group that may not retry at all.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewRetryBudget(rattanclock.System())
		spend := func() (retries int) {
			for budget.TryRetry() {
				retries++
			}
			return retries
		}
		assertEqual(t, "retries of a quiet group in 10 s", spend(), retrySeconds)
		for range 1000 {
			budget.RecordRequest()
		}
		assertEqual(t, "retries for 1000 more requests", spend(), 100-retrySeconds)
		time.Sleep(time.Hour)
		assertEqual(t, "retries after a pause", spend(), retrySeconds)
	})
}
