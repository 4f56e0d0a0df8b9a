package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// freezeAfterReset is how long after a call for a promote was reset the leader freezes.
	freezeAfterReset = 8 * time.Millisecond
	// promoteCycle is about the time between the first calls of two switchovers that fail.
	promoteCycle = 700 * time.Millisecond
	// dutyOutage is how long the platform's interface stays down after the freeze.
	dutyOutage = time.Second
	// takeoverTimeout limits the wait for a promote by another daemon.
	takeoverTimeout = 15 * time.Second
	// writeInterval separates two writes of a client.
	writeInterval = 50 * time.Millisecond
	// thawTime is how long the play goes on after the leader has woken.
	thawTime = 3 * time.Second
)

// stalePromote freezes the failover leader while the platform's interface for promotes is
// down, and wakes it after another daemon has done the duty.
func (p *play) stalePromote() (string, error) {
	if err := p.setUp(20*time.Millisecond, 3); err != nil {
		return "", err
	}
	resets := make(chan string, 100)
	p.stage.mu.Lock()
	p.stage.onReset = func(holder string) {
		select {
		case resets <- holder:
		default:
		}
	}
	p.stage.mu.Unlock()
	if p.hasTrouble {
		p.stage.setDutyDown(true)
	}
	stopped := make(chan struct{})
	defer close(stopped)
	for _, d := range p.daemons {
		go p.writeOn(d, stopped)
	}
	time.Sleep(500 * time.Millisecond)
	p.stage.database.instances[0].crash()
	if p.hasTrouble {
		if err := p.freezeLeader(resets); err != nil {
			return "", err
		}
	} else if err := p.awaitPromote(""); err != nil {
		return "", err
	}
	time.Sleep(thawTime)
	broken := lowerToken(p.record.all("promote"))
	if lost := p.writesAtOldPrimary(); lost > 0 && broken != "" {
		broken += fmt.Sprintf("; then %d writes were acknowledged that an old primary had run", lost)
	}
	return broken, nil
}

// writesAtOldPrimary returns how many writes were acknowledged to clients that an instance ran
// after another one led a newer term.
func (p *play) writesAtOldPrimary() int {
	acknowledged := make(map[string]bool)
	for _, e := range p.record.all("answered") {
		acknowledged[e.Data["id"]] = e.Data["code"] == ""
	}
	count := 0
	for _, write := range p.record.all("run_write") {
		for _, promoted := range p.record.all("promoted") {
			isOld := promoted.AtMS < write.AtMS && promoted.Who != write.Who && newerTerm(promoted, write)
			if isOld && acknowledged[write.Data["id"]] {
				count++
				break
			}
		}
	}
	return count
}

// newerTerm reports whether a promote began a newer term than that of a write.
func newerTerm(promoted, write event) bool {
	begun, beginErr := strconv.Atoi(promoted.Data["term"])
	ran, runErr := strconv.Atoi(write.Data["term"])
	return beginErr == nil && runErr == nil && begun > ran
}

// freezeLeader stops the leader between two of its calls and lets it go on after another
// daemon's promote was accepted.
func (p *play) freezeLeader(resets <-chan string) error {
	var holder string
	select {
	case holder = <-resets:
	case <-time.After(takeoverTimeout):
		return errors.New("no daemon has called for a promote")
	}
	wait := freezeAfterReset
	if p.variant == "random" {
		wait = time.Duration(rand.Int64N(int64(promoteCycle)))
	}
	time.Sleep(wait)
	leader, err := p.daemonOf(holder)
	if err != nil {
		return err
	}
	leader.signal(syscall.SIGSTOP)
	time.Sleep(dutyOutage)
	p.stage.setDutyDown(false)
	if err := p.awaitPromote(holder); err != nil {
		leader.signal(syscall.SIGCONT)
		return err
	}
	time.Sleep(500 * time.Millisecond)
	leader.signal(syscall.SIGCONT)
	return nil
}

// writeOn writes through a daemon until the play ends.
func (p *play) writeOn(d *daemon, stopped <-chan struct{}) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return
		case <-time.After(writeInterval):
		}
		if c == nil {
			opened, err := open(p.record, "writer-"+d.name, d.callers, "checkout")
			if err != nil {
				continue
			}
			c = opened
		}
		if _, err := c.run(fmt.Sprintf("WRITE w-%s %d", d.name, n)); err != nil {
			c.close()
			c = nil
		}
	}
}

func (p *play) daemonOf(holder string) (*daemon, error) {
	name, _, _ := strings.Cut(holder, "/")
	for _, d := range p.daemons {
		if d.name == name {
			return d, nil
		}
	}
	return nil, errors.Errorf("holder %q is no daemon", holder)
}

// awaitPromote waits for a promote that was accepted from a holder other than the given one.
func (p *play) awaitPromote(except string) error {
	until := time.Now().Add(takeoverTimeout)
	for time.Now().Before(until) {
		for _, e := range p.record.all("promote") {
			if e.Who != except && e.Data["accepted"] == "true" {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("no other daemon has promoted an instance")
}

// lowerToken returns the first call whose fencing token is lower than one that the platform
// has seen before.
func lowerToken(calls []event) string {
	highest, holder := int64(0), ""
	for _, call := range calls {
		token, err := strconv.ParseInt(call.Data["token"], 10, 64)
		if err != nil {
			return "ONE: a promote without a token"
		}
		if token < highest {
			return fmt.Sprintf("ONE: %s sent a promote of %s with token %d at %.0f ms, after %s had sent one with token %d",
				call.Who, call.Data["instance"], token, call.AtMS, holder, highest)
		}
		if token > highest {
			highest, holder = token, call.Who
		}
	}
	return ""
}
