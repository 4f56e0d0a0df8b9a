// Command rattanreview runs the scripts of the review: each starts daemons as processes,
// with stand-ins around them, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

// Exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// timeLimit is how long a script may run.
const timeLimit = 115 * time.Second

// zones are those of the deployments.
var zones = []string{"a", "b", "c"}

// A scenario returns whether the rule was broken. isTroubled is false when the disruption is
// left out.
type scenario func(record *rattanrig.Record, isTroubled bool) (isBroken bool, err error)

var scenarios = map[string]scenario{
	"oldprimary": runOldPrimary,
	"drill":      runDrill,
	"leadership": runLeadership,
	"sync":       runSync,
	"stop":       runStop,
	// Shown, but not among the five cases.
	"values": runValues,
	"memory": runMemory,
}

func main() {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run, ok := scenarios[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario:", flag.Arg(0))
		os.Exit(exitCannotRun)
	}
	os.Exit(play(run, *path))
}

// A result is what a scenario returns.
type result struct {
	isBroken bool
	err      error
}

// play runs a scenario and returns the exit code.
func play(run scenario, path string) int {
	record, err := rattanrig.NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	results := make(chan result, 1)
	go func() {
		isBroken, err := run(record, os.Getenv("TROUBLE") != "0")
		results <- result{isBroken, err}
	}()
	code := exitCode(await(results), record)
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}

// await waits for the result. At a signal or at the time limit it kills the processes that
// were started.
func await(results <-chan result) result {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-results:
		return r
	case s := <-signals:
		rattanrig.KillAll()
		return result{err: errors.Errorf("ended by %s", s)}
	case <-time.After(timeLimit):
		rattanrig.KillAll()
		return result{err: errors.New("the time limit has passed")}
	}
}

func exitCode(r result, record *rattanrig.Record) int {
	switch {
	case r.err != nil:
		record.Say("the case could not run: %v", r.err)
		return exitCannotRun
	case r.isBroken:
		record.Say("the rule was broken")
		return exitBroken
	default:
		record.Say("the rule held")
		return exitHeld
	}
}
