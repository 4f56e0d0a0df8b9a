package rattancmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxPendingSignals is how many signals wait until the daemon has read its settings.
const maxPendingSignals = 16

// isDaemon reports whether a command line runs a daemon.
func isDaemon(args []string) bool {
	root := newRootCmd(&config{})
	cmd, _, err := root.Find(args)
	if err != nil || cmd.Parent() != root {
		return false
	}
	return cmd.Name() == proxyCommand || cmd.Name() == serveCommand
}

// handleDaemonSignals sets what signals do to a daemon until its exit. It returns a context
// that ends at the first SIGTERM or SIGINT, which starts a graceful stop, and a channel
// with those that follow. They do not cut the stop short, except for a second SIGINT,
// which ends the process at once. SIGHUP and SIGPIPE never end it.
func handleDaemonSignals() (context.Context, <-chan os.Signal) {
	// The proxy also listens for SIGHUP, to reload its settings. It reads them after
	// this, so a signal that comes before it listens can be dropped.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	// By default, a line that is logged after the log's reader has ended ends the process.
	signal.Ignore(syscall.SIGPIPE)
	received := make(chan os.Signal, maxPendingSignals)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	ctx, stop := context.WithCancel(context.Background())
	repeated := make(chan os.Signal, maxPendingSignals)
	go func() {
		passStopSignal(received)
		stop()
		for {
			next := passStopSignal(received)
			select {
			case repeated <- next:
			default: // more than the log can take
			}
		}
	}()
	return ctx, repeated
}

// passStopSignal waits for a signal. After a SIGINT, the next one has its default effect.
func passStopSignal(received <-chan os.Signal) os.Signal {
	next := <-received
	if next == os.Interrupt {
		signal.Reset(os.Interrupt)
	}
	return next
}

// observeRepeatedSignals calls observe with the name of each signal that asks the daemon
// again to stop.
func (c *config) observeRepeatedSignals(observe func(name string)) {
	for repeated := range c.repeatedSignals {
		observe(unix.SignalName(repeated.(syscall.Signal)))
	}
}
