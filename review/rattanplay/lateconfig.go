package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// trafficStart is when traffic starts after the daemons, as on the site.
	trafficStart = 10 * time.Second
	// entriesAt and configAt are when the instances register and the operator writes the
	// first configuration. Without trouble they change places.
	entriesAt = 8 * time.Second
	configAt  = 9 * time.Second
	// dayLength is how long traffic lasts: the shortest day of the bench.
	dayLength = 20 * time.Second
	// requestInterval is the time from one request of a client to the next, also when the answer
	// comes late.
	requestInterval = 200 * time.Millisecond
	// maxRefused is the share of requests that may be refused or fail on a day.
	maxRefused = 0.6
)

// A tally counts the requests of a day.
type tally struct {
	mu                    sync.Mutex
	served, refusedFailed int
	// firstServed is when the first request was served.
	firstServed time.Time
}

func (t *tally) count(isServed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isServed {
		t.refusedFailed++
		return
	}
	if t.served++; t.firstServed.IsZero() {
		t.firstServed = time.Now()
	}
}

// lateConfig lets the instances register a second before the operator writes the first
// configuration, both before the start of traffic.
func (p *play) lateConfig() (string, error) {
	p.entriesDelay, p.configDelay = entriesAt, configAt
	if !p.hasTrouble {
		p.entriesDelay, p.configDelay = configAt, entriesAt
	}
	begun := time.Now()
	if err := p.startAll(20*time.Millisecond, 3); err != nil {
		return "", err
	}
	time.Sleep(time.Until(begun.Add(trafficStart)))
	var t tally
	var running sync.WaitGroup
	started := time.Now()
	for _, d := range p.daemons {
		for _, text := range []string{"WRITE day x", "READ day"} {
			running.Go(func() { p.requests(d, text, started, &t) })
		}
	}
	running.Wait()
	share := float64(t.refusedFailed) / float64(t.served+t.refusedFailed)
	first := "never"
	if t.served > 0 {
		first = t.firstServed.Sub(started).Round(time.Millisecond).String()
	}
	result := fmt.Sprintf("%d requests served, %d refused or failed (%.0f%%), the first one served after %s",
		t.served, t.refusedFailed, 100*share, first)
	p.record.add("day", "play", "result", result)
	fmt.Println(result)
	if share <= maxRefused {
		return "", nil
	}
	return "Gate: " + result, nil
}

// requests sends a statement in each interval of a day that has started.
func (p *play) requests(d *daemon, text string, started time.Time, t *tally) {
	for at := started; at.Before(started.Add(dayLength)); at = at.Add(requestInterval) {
		time.Sleep(time.Until(at))
		t.count(p.request(d, text))
	}
}

func (p *play) request(d *daemon, text string) bool {
	c, err := open(p.record, "client-"+d.name, d.callers, "checkout")
	if err != nil {
		return false
	}
	defer c.close()
	a, err := c.run(text)
	return err == nil && a.code == ""
}
