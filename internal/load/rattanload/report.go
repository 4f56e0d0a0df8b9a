package rattanload

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Report describes the requests of a run and how they were served. Names in JSON are
// snake case; fields that end in Ms are in milliseconds, shares are between 0 and 1.
type Report struct {
	Seed       uint64          `json:"seed"`
	DurationMs float64         `json:"duration_ms"`
	Sent       int             `json:"sent"`
	Served     int             `json:"served"`
	Refusals   map[string]int  `json:"refusals"`
	Latency    Latency         `json:"latency"`
	Accounts   []AccountReport `json:"client_accounts"`
	Measures   Measures        `json:"measures"`
	Marks      []MarkReport    `json:"marks"`
	Timeline   []Second        `json:"timeline"`
}

// Latency has the latencies of served requests, counted from when each should have been
// sent.
type Latency struct {
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// An AccountReport describes how the requests of one client account were served.
type AccountReport struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// WithinRate is how many of the requests the rate and burst allowed.
	WithinRate int `json:"within_rate"`
	Served     int `json:"served"`
	// ServedShare is the share of WithinRate that was served.
	ServedShare float64 `json:"served_share"`
	Latency     Latency `json:"latency"`
	// LongestUnservedMs is the longest time in which the client account had requests and
	// none was served.
	LongestUnservedMs float64        `json:"longest_unserved_ms"`
	Refusals          map[string]int `json:"refusals"`
	Flooded           bool           `json:"flooded"`
	// OverRate is by how many requests the served ones exceed burst + rate × time in the
	// worst interval, 0 when they do not.
	OverRate float64 `json:"over_rate"`
}

// A MarkReport is a fault or change made to the deployment during the run.
type MarkReport struct {
	Kind    MarkKind `json:"kind"`
	Subject string   `json:"subject"`
	AtMs    float64  `json:"at_ms"`
}

// A Second counts the requests that should have been sent in one second of the run.
type Second struct {
	Served            int `json:"served"`
	Refused           int `json:"refused"`
	RefusedWithinRate int `json:"refused_within_rate"`
}

func newReport(config Config, start time.Time, samples []sample) Report {
	slices.SortFunc(samples, func(a, b sample) int { return int(a.end - b.end) })
	r := Report{
		Seed:     config.Seed,
		Sent:     len(samples),
		Served:   countServed(samples),
		Refusals: refusals(samples),
		Latency:  latency(samples),
		Timeline: timeline(config, samples),
	}
	if len(samples) > 0 {
		r.DurationMs = milliseconds(samples[len(samples)-1].end)
	}
	for _, m := range config.Marks.all() {
		r.Marks = append(r.Marks, MarkReport{m.kind, m.subject, milliseconds(m.at.Sub(start))})
	}
	for i, account := range config.Accounts {
		r.Accounts = append(r.Accounts, newAccountReport(config, account, ofAccount(samples, i)))
	}
	r.Measures = newMeasures(config, r, samples)
	return r
}

// newAccountReport reports on the samples of a client account, sorted by end.
func newAccountReport(config Config, account Account, samples []sample) AccountReport {
	return AccountReport{
		Name:              account.Name,
		Sent:              len(samples),
		WithinRate:        countWithinRate(samples),
		Served:            countServed(samples),
		ServedShare:       servedShare(samples),
		Latency:           latency(samples),
		LongestUnservedMs: milliseconds(longestUnserved(samples)),
		Refusals:          refusals(samples),
		Flooded:           account.Flood > account.Rate && account.FloodFrom < config.Duration,
		OverRate:          overRate(account, samples),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func ofAccount(samples []sample, account int) []sample {
	return filter(samples, func(s sample) bool { return s.account == account })
}

func filter(samples []sample, matches func(sample) bool) []sample {
	var kept []sample
	for _, s := range samples {
		if matches(s) {
			kept = append(kept, s)
		}
	}
	return kept
}

func count(samples []sample, matches func(sample) bool) int {
	var n int
	for _, s := range samples {
		if matches(s) {
			n++
		}
	}
	return n
}

func countServed(samples []sample) int {
	return count(samples, func(s sample) bool { return s.served })
}

func countWithinRate(samples []sample) int {
	return count(samples, func(s sample) bool { return s.withinRate })
}

// countUnservedWithinRate returns how many of the requests that one client account's
// rate allowed were not served. The fleet may choose which requests it counts as over
// the rate, so a served request over the rate makes up for a refused one within it.
func countUnservedWithinRate(samples []sample) int {
	return max(0, countWithinRate(samples)-countServed(samples))
}

// servedShare returns the served share of the requests that the rate of one client
// account allowed, 1 when it allowed none.
func servedShare(samples []sample) float64 {
	allowed := countWithinRate(samples)
	if allowed == 0 {
		return 1
	}
	return 1 - float64(countUnservedWithinRate(samples))/float64(allowed)
}

func refusals(samples []sample) map[string]int {
	counts := make(map[string]int)
	for _, s := range samples {
		if !s.served {
			counts[s.reason]++
		}
	}
	return counts
}

// latency returns the latencies of the served samples.
func latency(samples []sample) Latency {
	const (
		highestUs = int64(10 * time.Minute / time.Microsecond)
		digits    = 3
	)
	histogram := hdrhistogram.New(1, highestUs, digits)
	for _, s := range samples {
		if s.served {
			// RecordValue fails only for a value over highestUs, which min excludes.
			_ = histogram.RecordValue(min(highestUs, max(1, s.latency().Microseconds())))
		}
	}
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Latency{P50Ms: at(50), P99Ms: at(99), MaxMs: float64(histogram.Max()) / 1000}
}

// timeline counts requests by the second in which they should have been sent.
func timeline(config Config, samples []sample) []Second {
	var seconds []Second
	bySecond := make(map[int][]sample)
	for _, s := range samples {
		i := int(s.arrival / time.Second)
		bySecond[i] = append(bySecond[i], s)
		for len(seconds) <= i {
			seconds = append(seconds, Second{})
		}
	}
	for i, inSecond := range bySecond {
		seconds[i].Served = countServed(inSecond)
		seconds[i].Refused = len(inSecond) - seconds[i].Served
		for account := range config.Accounts {
			seconds[i].RefusedWithinRate += countUnservedWithinRate(ofAccount(inSecond, account))
		}
	}
	return seconds
}
