package rattancmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/load/rattanload"
)

// TestLoad guards against a load command that does not reach running daemons,
// or whose report, trace or plot is missing or shows a key.
func TestLoad(t *testing.T) {
	scenario := rattancluster.Fjordknute()
	scenario.VMs, scenario.Services = []int{1, 1, 1}, []string{"orders"}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cluster, err := rattancluster.Start(ctx, scenario)
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	file := func(name string) string { return filepath.Join(t.TempDir(), name) }
	keys, trace, plot := file("keys.ini"), file("trace.jsonl"), file("load.png")
	key := cluster.Key("checkout")
	text := fmt.Sprintf("[client_account.checkout]\nkey = %s\nrate = 120\nburst = 240\nsend = 50\n", key)
	if err := os.WriteFile(keys, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	code := run(ctx, &config{stdout: &stdout, stderr: &stderr}, []string{
		"load", "--output", "json", "--duration", "1s", "--keys", keys, "--services", "orders", "--stale-route", rattancluster.StaleRoute,
		"--urls", strings.Join(cluster.CallerURLs(), ","), "--trace", trace, "--plot", plot,
	})
	if code != exitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	var report rattanload.Report
	if err := json.Unmarshal(stdout.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	lines, err := os.ReadFile(trace)
	if err != nil {
		t.Fatal(err)
	}
	if n := bytes.Count(lines, []byte("\n")); n == 0 || n != report.Sent || report.Served == 0 {
		t.Errorf("trace has %d lines, report has %d sent and %d served", n, report.Sent, report.Served)
	}
	if all := stdout.String() + stderr.String() + string(lines); strings.Contains(all, key) {
		t.Error("output or trace contains the client account's key")
	}
	if image, err := os.ReadFile(plot); err != nil || !bytes.HasPrefix(image, []byte("\x89PNG")) {
		t.Errorf("plot is not a PNG image (error %v)", err)
	}
}
