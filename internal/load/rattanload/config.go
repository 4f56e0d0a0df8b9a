// Package rattanload sends an open-loop load to daemons over the callers' service and
// measures how callers are served. Arrival times follow from the seed alone; they never
// depend on responses.
package rattanload

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
)

// Defaults of Config.
const (
	// DefaultTimeout is longer than the target time of a failover, 2 s.
	DefaultTimeout = 3 * time.Second
	// DefaultHealthInterval is the pause between two health checks of a daemon.
	DefaultHealthInterval = 500 * time.Millisecond
	// DefaultInFlight bounds the generator's memory, which is about 20 KB per request.
	DefaultInFlight = 5000
)

// An Account is a client account that sends requests.
type Account struct {
	// Name is the name of the client account in reports.
	Name string
	// Key is the secret key that callers of the client account send.
	Key string
	// Rate, in requests per second, and Burst, in requests, are the limits in the
	// settings. They decide which requests count as within the rate.
	Rate, Burst float64
	// Send is the mean number of requests per second. The pauses between requests are
	// exponentially distributed.
	Send float64
	// Flood is the mean number of requests per second between FloodFrom and
	// FloodUntil after the start. 0 means no flood.
	Flood                 float64
	FloodFrom, FloodUntil time.Duration
}

// valid reports whether all numbers are in range. The comparisons are false for
// NaN, and the upper limit excludes infinity.
func (a Account) valid() bool {
	const highest = 1e9
	return a.Rate > 0 && a.Rate <= highest && a.Burst >= 1 && a.Burst <= highest &&
		a.Send > 0 && a.Send <= highest && a.Flood >= 0 && a.Flood <= highest
}

// sendRate returns the mean number of requests per second at a time of the run.
func (a Account) sendRate(at time.Duration) float64 {
	if a.Flood > 0 && at >= a.FloodFrom && at < a.FloodUntil {
		return a.Flood
	}
	return a.Send
}

// A Config describes a load.
type Config struct {
	// URLs are the daemons' base URLs for callers.
	URLs []string
	// Transport carries the requests. The default is http.DefaultTransport.
	Transport http.RoundTripper
	// Clock decides when requests are sent. The default is the system clock.
	Clock rattanclock.Clock
	// Seed determines arrivals, kinds, services and the choice of daemons.
	Seed     uint64
	Duration time.Duration
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// Services are chosen with equal probability.
	Services []string
	// StaleRoute is the route of stale reads in every service.
	StaleRoute string
	// ReadShare is the share of reads among all requests, StaleShare the share of stale
	// reads among reads, and Roam the probability that a session moves to another daemon
	// before a request. All are between 0 and 1.
	ReadShare, StaleShare, Roam float64
	Accounts                    []Account
	// HealthInterval is the pause between two health checks of a daemon; one that does
	// not report SERVING gets no requests. A negative value disables the checks.
	HealthInterval time.Duration
	// InFlight bounds the requests that wait for a response. Requests over the bound are
	// not sent and are reported with the reason "generator_full".
	InFlight int
	// Progress gets one line per ProgressInterval; nil means none.
	Progress         io.Writer
	ProgressInterval time.Duration
	// Trace gets one JSON line for each request; nil means none.
	Trace io.Writer
	// Marks has the faults and changes made to the deployment during the run; nil means
	// none.
	Marks *Marks
}

// A ConfigError names an invalid field of a Config and the accepted values.
type ConfigError struct{ Field, Accepted string }

// Error implements the error interface.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("load: %s: accepted is %s", e.Field, e.Accepted)
}

// withDefaults returns the Config with defaults, or a *ConfigError.
func (c Config) withDefaults() (Config, error) {
	if c.Transport == nil {
		c.Transport = http.DefaultTransport
	}
	if c.Clock == nil {
		c.Clock = rattanclock.System()
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.HealthInterval == 0 {
		c.HealthInterval = DefaultHealthInterval
	}
	if c.InFlight == 0 {
		c.InFlight = DefaultInFlight
	}
	if c.ProgressInterval == 0 {
		c.ProgressInterval = time.Second
	}
	if c.Marks == nil {
		c.Marks = &Marks{}
	}
	return c, c.check()
}

func (c Config) check() error {
	switch {
	case len(c.URLs) == 0:
		return &ConfigError{"URLs", "at least one URL"}
	case len(c.Services) == 0:
		return &ConfigError{"Services", "at least one service"}
	case len(c.Accounts) == 0:
		return &ConfigError{"Accounts", "at least one client account"}
	case c.Duration <= 0:
		return &ConfigError{"Duration", "more than 0"}
	case c.Timeout < 0 || c.ProgressInterval < 0 || c.InFlight < 0:
		return &ConfigError{"Timeout, ProgressInterval and InFlight", "at least 0"}
	}
	for name, share := range map[string]float64{"ReadShare": c.ReadShare, "StaleShare": c.StaleShare, "Roam": c.Roam} {
		if !(share >= 0 && share <= 1) {
			return &ConfigError{name, "0 to 1"}
		}
	}
	for _, account := range c.Accounts {
		if account.Name == "" || !account.valid() {
			return &ConfigError{fmt.Sprintf("client account %q", account.Name), "a name, Rate and Send over 0, Burst of at least 1, Flood of at least 0"}
		}
	}
	return nil
}
