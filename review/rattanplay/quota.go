package main

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// quotaRate is the tenant's rate_per_s, and its burst; the site's largest tenant has them.
	quotaRate = 130
	// loweredRate is what the configuration gives it for a moment.
	loweredRate = 30
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the site.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// idleTime is how long the tenant sends nothing before.
	idleTime = 7 * time.Second
	// sessionsPerDaemon is the number of the tenant's sessions at each daemon, sendPause
	// their pause between two operations.
	sessionsPerDaemon = 12
	sendPause         = 8 * time.Millisecond
	// loweredAfter is how long after the tenant begins to send the limit is lowered, and
	// loweredFor for how long.
	loweredAfter = 3200 * time.Millisecond
	loweredFor   = 300 * time.Millisecond
	// floodTime is how long the tenant sends.
	floodTime = 8 * time.Second
)

// quota lowers a tenant's limit for a moment while it asks for more than that.
func (p *play) quota() (string, error) {
	if err := p.setUp(20*time.Millisecond, 3); err != nil {
		return "", err
	}
	config := siteConfig()
	config.Rate, config.Version = quotaRate, 2
	if err := p.stage.putConfig(config); err != nil {
		return "", err
	}
	time.Sleep(idleTime)
	stopped := make(chan struct{})
	var running sync.WaitGroup
	for _, d := range p.daemons {
		for range sessionsPerDaemon {
			running.Go(func() { p.flood(d, stopped) })
		}
	}
	if p.hasTrouble {
		if err := p.flip(config); err != nil {
			return "", err
		}
	}
	time.Sleep(floodTime)
	close(stopped)
	running.Wait()
	return p.overQuota(), nil
}

// flip lowers the tenant's limit for a moment. The variant "readd" leaves the tenant out for
// that moment instead.
func (p *play) flip(config platformtest.Config) error {
	time.Sleep(loweredAfter)
	if p.variant == "readd" {
		return p.readd(config)
	}
	for _, rate := range []float64{loweredRate, quotaRate} {
		config.Version++
		config.Rate = rate
		if err := p.stage.putConfig(config); err != nil {
			return err
		}
		time.Sleep(loweredFor)
	}
	return nil
}

func (p *play) readd(config platformtest.Config) error {
	account := config.Account
	for _, name := range []string{"another-tenant", account} {
		config.Version++
		config.Account = name
		config.Keys = []string{clientKey}
		if name != account {
			config.Keys = []string{"another-key"}
		}
		if err := p.stage.putConfig(config); err != nil {
			return err
		}
		time.Sleep(loweredFor)
	}
	return nil
}

// flood reads through a daemon until the play ends.
func (p *play) flood(d *daemon, stopped <-chan struct{}) {
	c, err := open(p.record, "flood-"+d.name, d.callers, "browse")
	if err != nil {
		return
	}
	defer c.close()
	for {
		select {
		case <-stopped:
			return
		case <-time.After(sendPause):
		}
		if _, err := c.run("READ probe"); err != nil {
			return
		}
	}
}

// overQuota returns the window in which most operations were sent and arrived, if they are
// more than the rule allows.
func (p *play) overQuota() string {
	sent := make(map[string]float64)
	for _, e := range p.record.all("sent") {
		sent[e.Data["id"]] = e.AtMS
	}
	type run struct{ sent, arrived float64 }
	var runs []run
	for _, e := range p.record.all("run_read") {
		runs = append(runs, run{sent[e.Data["id"]], e.AtMS})
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent < runs[j].sent })
	window := float64(quotaWindow.Milliseconds())
	most, at := 0, 0.0
	for i := range runs {
		count := 0
		for _, r := range runs[i:] {
			if r.sent-runs[i].sent > window {
				break
			}
			if r.arrived <= runs[i].sent+window {
				count++
			}
		}
		if count > most {
			most, at = count, runs[i].sent
		}
	}
	allowed := int((quotaRate*quotaWindow.Seconds()+quotaRate)*(1+quotaOverage) + quotaSlack)
	p.record.add("most", "play", "operations", fmt.Sprint(most), "allowed", fmt.Sprint(allowed))
	fmt.Println("most operations in a window:", most, "allowed:", allowed)
	if most <= allowed {
		return ""
	}
	return fmt.Sprintf("QUOTA: %d operations were sent and arrived in the %v from %.0f ms on, allowed are %d", most, quotaWindow, at, allowed)
}
