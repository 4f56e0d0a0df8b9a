package rattancluster

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// An Event is a step of a Script that is reported to its observer.
type Event struct {
	At time.Time
	// Kind is "primary_killed", "primary_returned", "rate_changed",
	// "failure_domain_out" or "failure_domain_returned".
	Kind string
	// Subject is a service, a client account or a failure domain.
	Subject string
	// Detail describes the step and, for a rate change, on how many VMs it is in force.
	Detail string
}

// A Script puts faults and changes on a cluster in a fixed order: the primary of the
// first service is killed and starts again, a rate is raised, and the second failure
// domain, where the new primary is expected, is taken out of service and returned.
type Script struct {
	// Duration is the time over which the steps are spread.
	Duration time.Duration
	// RaiseRate is the client account whose rate and burst are raised by half;
	// "" leaves the rates as they are.
	RaiseRate string
	// Observe is called for every event: after the operators' service has answered a
	// rate change, and before any other step takes effect.
	Observe func(Event)
}

// The times of the steps as fractions of the script's duration.
const (
	killFraction    = 0.15
	restartFraction = 0.40
	rateFraction    = 0.45
	drainFraction   = 0.50
	undrainFraction = 0.70
)

// step is one step of a Script.
type step struct {
	fraction float64
	do       func(ctx context.Context) error
}

// Run does the steps at their times. It returns the first error of a step, or the
// error of ctx when that ends first.
func (s Script) Run(ctx context.Context, c *Cluster, clock rattanclock.Clock) error {
	start := clock.Now()
	for _, step := range s.steps(c, clock) {
		at := start.Add(time.Duration(step.fraction * float64(s.Duration)))
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
	report := func(kind, subject, format string, arguments ...any) {
		s.Observe(Event{At: clock.Now(), Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, arguments...)})
	}
	drain := func(kind string, drained bool) func(context.Context) error {
		return func(ctx context.Context) error {
			report(kind, domain, "failure domain %s: drained = %t", domain, drained)
			_, err := c.SetDrained(ctx, domain, drained)
			return err
		}
	}
	steps := []step{
		{killFraction, func(context.Context) error {
			killed = c.Primary(service)
			report("primary_killed", service, "endpoint %s, the primary of service %s, ends", killed, service)
			c.SetKilled(killed, true)
			return nil
		}},
		{restartFraction, func(context.Context) error {
			report("primary_returned", service, "endpoint %s starts again", killed)
			c.SetKilled(killed, false)
			return nil
		}},
		{rateFraction, func(ctx context.Context) error { return s.raiseRate(ctx, c, report) }},
		{drainFraction, drain("failure_domain_out", true)},
		{undrainFraction, drain("failure_domain_returned", false)},
	}
	return steps
}

// raiseRate raises the rate and burst of the client account RaiseRate by half.
func (s Script) raiseRate(ctx context.Context, c *Cluster, report func(kind, subject, format string, arguments ...any)) error {
	for _, account := range c.scenario.Accounts {
		if account.Name != s.RaiseRate {
			continue
		}
		rate, burst := account.Rate*3/2, account.Burst*3/2
		response, err := c.SetRate(ctx, account.Name, rate, burst)
		if err != nil {
			return err
		}
		report("rate_changed", account.Name, "client account %s: rate %d/s, burst %d, in force on %d of %d VMs",
			account.Name, rate, burst, response.GetConfirmed(), response.GetDaemons())
	}
	return nil
}
