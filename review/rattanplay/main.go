// Command rattanplay plays the cases of the third review: it starts daemons as processes
// before stand-ins of the platform, a database and clients, brings a disruption about, and
// checks one rule by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/platform/platformtest"
)

// The exit codes of a play.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playTimeout is the longest time that a play may take.
const playTimeout = 110 * time.Second

// A play is one run of a case.
type play struct {
	record  *recorder
	stage   *stage
	daemons []*daemon
	// directory is for settings and logs, program the daemon's binary.
	directory, program string
	// hasTrouble is false when the disruption is left out.
	hasTrouble bool
	// variant is a case's own choice.
	variant string
	// configDelay and entriesDelay are how long after the daemons the first configuration and
	// the instances' entries come.
	configDelay, entriesDelay time.Duration
}

// cases are the plays by name. Each returns what has broken the rule, empty if it held.
var cases = map[string]func(p *play) (string, error){
	"reborn":  (*play).reborn,
	"promote": (*play).stalePromote,
	"config":  (*play).lateConfig,
	"quota":   (*play).quota,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/rattanstream", "the daemon's binary")
	recordPath := flag.String("record", "record.txt", "file for what was seen")
	hasTrouble := flag.Bool("trouble", true, "bring the disruption about")
	variant := flag.String("variant", "", "variant of the case")
	keep := flag.Bool("keep", false, "keep the daemons' logs")
	flag.Parse()
	os.Exit(run(*name, *program, *recordPath, *variant, *hasTrouble, *keep))
}

func run(name, program, recordPath, variant string, hasTrouble, keep bool) int {
	playCase, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	directory, err := os.MkdirTemp("", "rattanplay-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	p := &play{record: record, directory: directory, program: program, hasTrouble: hasTrouble, variant: variant}
	defer p.end(keep)
	p.endOnSignal()
	broken, err := playCase(p)
	switch {
	case err != nil:
		record.add("failed", "play", "error", err.Error())
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		record.add("broken_rule", "play", "what", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	default:
		record.add("held_rule", "play")
		fmt.Println("rule held")
		return exitHeld
	}
}

// endOnSignal ends all processes when the play itself is told to end or takes too long.
func (p *play) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(playTimeout):
		}
		p.end(false)
		os.Exit(exitFailed)
	}()
}

func (p *play) end(keep bool) {
	for _, d := range p.daemons {
		d.kill()
		_ = d.log.Close()
	}
	if p.stage != nil {
		p.stage.close()
	}
	if keep {
		fmt.Println("logs in", p.directory)
		return
	}
	_ = os.RemoveAll(p.directory)
}

// daemonPrefix begins the names of the daemons.
const daemonPrefix = "vm-"

// zones are those of the daemons and instances, in turn.
var zones = []string{"a", "b", "c"}

// setUp starts a database of three instances and daemons before it, and waits until they serve.
func (p *play) setUp(lag time.Duration, daemons int) error {
	if err := p.startAll(lag, daemons); err != nil {
		return err
	}
	return p.awaitService()
}

func (p *play) startAll(lag time.Duration, daemons int) error {
	db := newDatabase(p.record, lag)
	for n, zone := range zones {
		if _, err := db.add(fmt.Sprintf("i-%d", n+1), zone); err != nil {
			return err
		}
	}
	stage, err := newStage(p.record, db)
	if err != nil {
		return err
	}
	p.stage = stage
	stage.begin(siteConfig(), p.configDelay, p.entriesDelay)
	seed, err := freeAddress()
	if err != nil {
		return err
	}
	for n := range daemons {
		peers := ""
		if n == 0 {
			peers = seed
		}
		d, err := newDaemon(p.record, p.directory, p.program, fmt.Sprint(daemonPrefix, n+1), zones[n%len(zones)], peers, stage.storeAt, stage.dutyAt, seed)
		if err != nil {
			return err
		}
		p.daemons = append(p.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// siteConfig is like the configuration of a small site.
func siteConfig() platformtest.Config {
	return platformtest.Config{
		Version: 1, Account: tenantName, Keys: []string{clientKey}, Rate: 1000, Connections: 37,
		Timeout: time.Second, Objective: 200 * time.Millisecond, Staleness: 1500 * time.Millisecond,
	}
}

// awaitService waits until each daemon serves a write and a read of the primary.
func (p *play) awaitService() error {
	until := time.Now().Add(15 * time.Second)
	for _, d := range p.daemons {
		for !p.serves(d) {
			if time.Now().After(until) {
				return errors.Errorf("%s does not serve; see %s", d.name, filepath.Base(d.config))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (p *play) serves(d *daemon) bool {
	c, err := open(p.record, "probe", d.callers, "checkout")
	if err != nil {
		return false
	}
	defer c.close()
	for _, text := range []string{"WRITE probe " + d.name, "READ probe"} {
		if a, err := c.run(text); err != nil || a.code != "" {
			return false
		}
	}
	return true
}
