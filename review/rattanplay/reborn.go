package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// rebornItems is the number of items that are written before the disruption.
	rebornItems = 20
	// settleTime is how long the replicas have to apply all writes.
	settleTime = time.Second
	// outageLead is how long the store is down before the instance crashes, outageRest how
	// long after its start. With restartGap, how long the instance is away, the outage takes
	// 4 s: the site's longest ones take 4.5 s and more.
	outageLead = 500 * time.Millisecond
	outageRest = 3 * time.Second
	restartGap = 500 * time.Millisecond
	// quickGap is how long the instance is away in the variant without an outage.
	quickGap = 30 * time.Millisecond
	// readInterval separates two reads of a client.
	readInterval = 10 * time.Millisecond
	// watchTime is how long clients read after the restart.
	watchTime = 6 * time.Second
)

// A staleRead is a read that has missed an acknowledged commit.
type staleRead struct {
	at          time.Time
	route, text string
}

// routes are the databases of the configuration: one of each kind of route.
var routes = []string{"checkout", "browse", "pick"}

// reborn starts the primary again under its id without anything of before, and reads what was
// written before.
func (p *play) reborn() (string, error) {
	if err := p.setUp(20*time.Millisecond, 3); err != nil {
		return "", err
	}
	writer, err := open(p.record, "writer", p.daemons[0].callers, "checkout")
	if err != nil {
		return "", err
	}
	for item := range rebornItems {
		if a, err := writer.run(fmt.Sprintf("WRITE k%d v%d", item, item)); err != nil || a.code != "" {
			return "", fmt.Errorf("write k%d: code %q, error %w", item, a.code, err)
		}
	}
	time.Sleep(settleTime)
	primary := p.stage.database.instances[0]
	stopped := make(chan struct{})
	var mu sync.Mutex
	var stale []staleRead
	var running sync.WaitGroup
	var begun time.Time
	for _, d := range p.daemons {
		for _, route := range routes {
			running.Go(func() {
				p.readAll(d, route, stopped, func(text string) {
					mu.Lock()
					defer mu.Unlock()
					stale = append(stale, staleRead{at: time.Now(), route: route, text: text})
				})
			})
		}
	}
	if p.hasTrouble {
		begun, err = p.restartPrimary(primary)
	}
	if err != nil {
		return "", err
	}
	time.Sleep(watchTime)
	close(stopped)
	running.Wait()
	if len(stale) == 0 {
		return "", nil
	}
	counts := make(map[string]int)
	for _, read := range stale {
		counts[read.route]++
	}
	last := stale[len(stale)-1]
	return fmt.Sprintf("STALE: %d reads lacked an acknowledged commit (primary %d, bounded_staleness %d, read_your_writes %d), the last one %v after the restart: %s",
		len(stale), counts["checkout"], counts["browse"], counts["pick"], last.at.Sub(begun).Round(time.Millisecond), last.text), nil
}

// restartPrimary starts the primary again without its log, while the store is down, and
// returns when that was. The variant "quick" has no outage.
func (p *play) restartPrimary(primary *instance) (time.Time, error) {
	gap := restartGap
	if p.variant == "quick" {
		gap = quickGap
	} else {
		p.stage.setStoreDown(true)
		time.Sleep(outageLead)
	}
	primary.crash()
	time.Sleep(gap)
	begun := time.Now()
	if err := primary.restart(false); err != nil {
		return begun, err
	}
	if p.variant != "quick" {
		time.Sleep(outageRest)
		p.stage.setStoreDown(false)
	}
	return begun, nil
}

// readAll reads the items in turn and reports each read that lacks the acknowledged data.
func (p *play) readAll(d *daemon, route string, stopped <-chan struct{}, report func(text string)) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return
		case <-time.After(readInterval):
		}
		if c == nil {
			opened, err := open(p.record, "reader-"+d.name+"-"+route, d.callers, route)
			if err != nil {
				continue
			}
			c = opened
		}
		item := n % rebornItems
		a, err := c.run(fmt.Sprintf("READ k%d", item))
		if err != nil {
			c.close()
			c = nil
			continue
		}
		if p.record.has("promote") {
			// A promote may roll commits back.
			return
		}
		if a.code == "" && (len(a.rows) != 1 || a.rows[0] != fmt.Sprintf("v%d", item)) {
			report(fmt.Sprintf("%s, route %s: READ k%d got %q, acknowledged was v%d", d.name, route, item, a.rows, item))
		}
	}
}
