package rattancluster

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// An Event is something that a Script has done.
type Event struct {
	At time.Time
	// Kind is "primary_killed", "primary_returned", "rate_changed",
	// "failure_domain_out" or "failure_domain_returned".
	Kind string
	// Subject is a service, a client account or a failure domain.
	Subject string
	// Detail says what was done and what the operators' service answered.
	Detail string
}

// A Script does to a cluster what happens on a bad day: the primary of the first
// service is killed and returns, a rate changes, and the failure domain of the
// new primary is taken out and returned.
type Script struct {
	// Duration is the time that the steps are spread over.
	Duration time.Duration
	// RaiseRate is the client account whose rate and burst are raised by half;
	// "" leaves the rates as they are.
	RaiseRate string
	// Observe is told of every event, before it takes effect.
	Observe func(Event)
}

// The times of a Script's steps as parts of its duration.
const (
	killPart   = 0.15
	revivePart = 0.40
	ratePart   = 0.45
	outPart    = 0.50
	returnPart = 0.70
)

// step is one step of a Script.
type step struct {
	part float64
	do   func(ctx context.Context) error
}

// Run does the steps at their times and returns the first error, or that of ctx.
func (s Script) Run(ctx context.Context, c *Cluster, clock rattanclock.Clock) error {
	start := clock.Now()
	for _, step := range s.steps(c, clock) {
		at := start.Add(time.Duration(step.part * float64(s.Duration)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-clock.After(at.Sub(clock.Now())):
		}
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s Script) steps(c *Cluster, clock rattanclock.Clock) []step {
	service := c.scenario.Services[0]
	domain := c.scenario.Domains()[1]
	var killed string
	note := func(kind, subject, format string, arguments ...any) {
		s.Observe(Event{At: clock.Now(), Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, arguments...)})
	}
	drain := func(kind string, drained bool) func(context.Context) error {
		return func(ctx context.Context) error {
			note(kind, domain, "failure domain %s: drained = %t", domain, drained)
			_, err := c.SetDrained(ctx, domain, drained)
			return err
		}
	}
	steps := []step{
		{killPart, func(context.Context) error {
			killed = c.Primary(service)
			note("primary_killed", service, "endpoint %s, the primary of service %s, ends", killed, service)
			c.SetKilled(killed, true)
			return nil
		}},
		{revivePart, func(context.Context) error {
			note("primary_returned", service, "endpoint %s starts again", killed)
			c.SetKilled(killed, false)
			return nil
		}},
		{ratePart, func(ctx context.Context) error { return s.raise(ctx, c, note) }},
		{outPart, drain("failure_domain_out", true)},
		{returnPart, drain("failure_domain_returned", false)},
	}
	return steps
}

// raise raises the rate and burst of the client account by half.
func (s Script) raise(ctx context.Context, c *Cluster, note func(kind, subject, format string, arguments ...any)) error {
	for _, account := range c.scenario.Accounts {
		if account.Name != s.RaiseRate {
			continue
		}
		rate, burst := account.Rate*3/2, account.Burst*3/2
		response, err := c.SetRate(ctx, account.Name, rate, burst)
		if err != nil {
			return err
		}
		note("rate_changed", account.Name, "client account %s: rate %d/s, burst %d, in force on %d of %d VMs",
			account.Name, rate, burst, response.GetConfirmed(), response.GetDaemons())
	}
	return nil
}
