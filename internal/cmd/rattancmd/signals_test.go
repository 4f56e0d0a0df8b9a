package rattancmd

import (
	"errors"
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

// cmdStartUnread is cmdStart with a log that nobody reads: its pipe is closed, or it is
// full and stays so.
func cmdStartUnread(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 || args[0] != "closed" && args[0] != "full" {
		ts.Fatalf("usage: startunread closed|full NAME [FLAG...]")
	}
	reader, writer, err := os.Pipe()
	ts.Check(err)
	defer writer.Close()
	if args[0] == "full" {
		fill(ts, writer)
		ts.Defer(func() { _ = reader.Close() })
	} else {
		ts.Check(reader.Close())
	}
	startProcess(ts, writer, args[1], args[2:])
}

// fill writes to a pipe until it is full.
func fill(ts *testscript.TestScript, pipe *os.File) {
	ts.Check(pipe.SetWriteDeadline(time.Now().Add(awaitInterval)))
	for {
		_, err := pipe.Write(make([]byte, 4096))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		ts.Check(err)
	}
}

// signals are the signals by the names that scripts use.
var signals = map[string]os.Signal{
	"TERM": syscall.SIGTERM, "INT": syscall.SIGINT, "KILL": syscall.SIGKILL, "QUIT": syscall.SIGQUIT,
	"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "HUP": syscall.SIGHUP,
}
