// Package main is the stage of the cases of the second review: it starts daemons as
// processes, plays the store, the databases, the operator and the clients around them, and
// judges what clients, databases and the platform have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// A play runs one case on a stage and returns whether the rule held.
type play func(s *stage) (bool, error)

var plays = map[string]play{
	"sync-expired":   playSyncExpired,
	"sync-restarted": playSyncRestarted,
	"forgotten":      playForgotten,
	"values":         playValues,
	"quota":          playQuota,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("play", "", "the case to play")
	program := flag.String("program", "target/rattanstream", "the program of the daemons")
	record := flag.String("record", "record.txt", "the file that gets what was sent, answered and run")
	flag.Parse()
	chosen, ok := plays[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown play %q\n", *name)
		return exitNotRun
	}
	directory, err := os.MkdirTemp("", "rattanstage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(directory)
	return perform(chosen, *program, *record, directory)
}

// perform plays a case and returns the exit code.
func perform(chosen play, program, record, directory string) int {
	file, err := os.Create(filepath.Clean(record))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	s := newStage(program, directory, file, os.Getenv("TROUBLE") != "0")
	go s.endOnSignal()
	held, err := chosen(s)
	s.close()
	switch {
	case err != nil:
		s.record("not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case !held:
		s.record("verdict: the rule was broken")
		return exitBroken
	default:
		s.record("verdict: the rule held")
		return exitHeld
	}
}
