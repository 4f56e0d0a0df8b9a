// Command rattanreview runs the scripts of the review: each starts daemons as processes,
// with stand-ins around them, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/rattanstream/rattanstream/review/rattanrig"
)

// Exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// zones are those of the installation.
var zones = []string{"a", "b", "c"}

// A scenario returns whether the rule was broken. isTroubled is false when the disruption is
// left out.
type scenario func(record *rattanrig.Record, isTroubled bool) (isBroken bool, err error)

var scenarios = map[string]scenario{
	"stop":       runStop,
	"sync":       runSync,
	"leadership": runLeadership,
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

func play(run scenario, path string) int {
	record, err := rattanrig.NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	isTroubled := os.Getenv("TROUBLE") != "0"
	isBroken, err := run(record, isTroubled)
	code := exitHeld
	switch {
	case err != nil:
		record.Say("the case could not run: %v", err)
		code = exitCannotRun
	case isBroken:
		record.Say("the rule was broken")
		code = exitBroken
	default:
		record.Say("the rule held")
	}
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}
