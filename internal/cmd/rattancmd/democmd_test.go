package rattancmd

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestDemo guards against a demo that fails on a machine without any preparation, or
// that ends without printing its measures. It runs the whole demo with a short load.
func TestDemo(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := run(context.Background(), &config{stdout: &stdout, stderr: &stderr}, []string{"demo", "--duration", "6s"})
	if code != exitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	for _, want := range []string{"reads served by replicas", "failover gap", "worst served share", "refused within the rate"} {
		if !strings.Contains(stdout.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, stdout.String())
		}
	}
}
