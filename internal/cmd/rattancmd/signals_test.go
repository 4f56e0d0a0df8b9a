package rattancmd

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestIsDaemon guards against a daemon that a signal ends at once because flags come
// before its command, and against other commands that a signal does not end.
func TestIsDaemon(t *testing.T) {
	for line, want := range map[string]bool{
		"proxy --config proxy.ini":                   true,
		"--log-level info proxy --config proxy.ini":  true,
		"--log-level=info serve --config vm.ini":     true,
		"serve --set daemon.vm=vm-a --config vm.ini": true,
		"":                        false,
		"--output json":           false,
		"demo":                    false,
		"load --services proxy":   false,
		"standin platform":        false,
		"endpoint take-out serve": false,
		"--output json explain 0123456789abcdef serve": false,
		"unknown proxy": false,
	} {
		t.Run(line, func(t *testing.T) {
			if got := isDaemon(strings.Fields(line)); got != want {
				t.Errorf("isDaemon is %t, want %t", got, want)
			}
		})
	}
}

// signalInterval separates the signals of cmdKeepSignalling.
const signalInterval = time.Millisecond

// cmdKeepSignalling sends signals in turn, in the background, until the process has ended.
func cmdKeepSignalling(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: keepsignalling NAME SIGNAL...")
	}
	found := findProcess(ts, args[0])
	go func() {
		for i := 0; ; i++ {
			select {
			case <-found.done:
				return
			case <-time.After(signalInterval):
			}
			// The process may end at any moment.
			if err := found.cmd.Process.Signal(signals[args[1+i%(len(args)-1)]]); err != nil {
				return
			}
		}
	}()
}

// signals are the signals by the names that scripts use.
var signals = map[string]os.Signal{
	"TERM": syscall.SIGTERM, "INT": syscall.SIGINT, "KILL": syscall.SIGKILL, "QUIT": syscall.SIGQUIT,
	"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "HUP": syscall.SIGHUP,
}
