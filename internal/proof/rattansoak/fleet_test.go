package rattansoak

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
)

// TestStartOnTakenAddress guards against a run that waits for a daemon which has ended because
// its address was taken, and does not tell why.
func TestStartOnTakenAddress(t *testing.T) {
	fleet, err := NewFleet(buildProgram(t), t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	d := fleet.daemons[0]
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = taken.Close() })
	settings, err := os.ReadFile(d.config)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.End(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	moved := strings.ReplaceAll(string(settings), d.callers, taken.Addr().String())
	if err := os.WriteFile(d.config, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	if err := (&run{fleet: fleet}).awaitService("start"); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("the end of the daemon is not told: %v", err)
	}
}
