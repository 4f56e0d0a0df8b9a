package rattanlink

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive their Client or Server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
