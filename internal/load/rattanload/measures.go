package rattanload

import (
	"slices"
	"time"
)

const (
	// failoverBound is the stated longest time of a failover.
	failoverBound = 8 * time.Second
	// returnTime is how long after its return a failure domain is still
	// measured; it covers the slow start of 5 s.
	returnTime = 8 * time.Second
)

// Measures are what the design page names as measures.
type Measures struct {
	// ReplicaReadShare is the part of the served reads that replicas served.
	ReplicaReadShare float64 `json:"replica_read_share"`
	// FailoverGapMs is the longest time between two acknowledged writes of a
	// service around the loss of its primary, 0 when none was lost.
	FailoverGapMs float64 `json:"failover_gap_ms"`
	// LongestUnserved is the client account that had requests and was served
	// none for the longest time.
	LongestUnserved   string  `json:"longest_unserved_client_account"`
	LongestUnservedMs float64 `json:"longest_unserved_ms"`
	// Worst is the worst-served client account among those that do not flood,
	// over the time of the flood, or over the run when there is none.
	Worst            string  `json:"worst_client_account"`
	WorstServedShare float64 `json:"worst_served_share"`
	WorstP99         string  `json:"worst_p99_client_account"`
	WorstP99Ms       float64 `json:"worst_p99_ms"`
	// RefusedWithinRate counts requests that the rate allowed and that were not
	// served, for any reason; OverRateWithinRate those of accounts that do not
	// flood that were refused with the reason over_rate.
	RefusedWithinRate      int     `json:"refused_within_rate"`
	RefusedWithinRateShare float64 `json:"refused_within_rate_share"`
	OverRateWithinRate     int     `json:"over_rate_within_rate"`
	// DomainServedShare is the served part of what the rates allowed from when
	// a failure domain was taken out until 8 s after its return, and
	// DomainRefused the number that was not served. The share is 1 when none
	// was taken out.
	DomainServedShare float64 `json:"failure_domain_served_share"`
	DomainRefused     int     `json:"failure_domain_refused"`
	// WrongValues counts reads that did not return their session's last write.
	WrongValues int `json:"wrong_values"`
	// OverRateAccounts lists client accounts that got more than rate and burst.
	OverRateAccounts []string `json:"over_rate_client_accounts"`
}

// newMeasures computes the measures of samples that are sorted by end.
func newMeasures(config Config, r Report, samples []sample) Measures {
	m := Measures{
		ReplicaReadShare: replicaReadShare(samples),
		FailoverGapMs:    milliseconds(failoverGap(config, r.Marks, samples)),
		WrongValues:      count(samples, func(s sample) bool { return s.wrongValue }),
		OverRateAccounts: []string{},
	}
	for _, account := range r.Accounts {
		if account.LongestUnservedMs > m.LongestUnservedMs {
			m.LongestUnserved, m.LongestUnservedMs = account.Name, account.LongestUnservedMs
		}
		if account.OverRate > 0 {
			m.OverRateAccounts = append(m.OverRateAccounts, account.Name)
		}
	}
	m.worst(config, r, samples)
	m.refused(r, samples)
	m.domain(r, samples)
	return m
}

func replicaReadShare(samples []sample) float64 {
	reads := filter(samples, func(s sample) bool { return s.served && s.kind != kindWrite })
	if len(reads) == 0 {
		return 0
	}
	return float64(count(reads, func(s sample) bool { return s.fromReplica })) / float64(len(reads))
}

func failoverGap(config Config, marks []MarkReport, samples []sample) time.Duration {
	var longest time.Duration
	for _, m := range marks {
		if m.Kind != PrimaryKilled {
			continue
		}
		at := m.at()
		longest = max(longest, longestGap(samples, slices.Index(config.Services, m.Subject), at, min(at+failoverBound, config.Duration)))
	}
	return longest
}

func (m MarkReport) at() time.Duration { return time.Duration(m.AtMs * float64(time.Millisecond)) }

// worst finds the worst-served client account during the floods.
func (m *Measures) worst(config Config, r Report, samples []sample) {
	from, until := floodTime(config)
	during := filter(samples, func(s sample) bool { return s.arrival >= from && s.arrival < until })
	m.WorstServedShare = 1
	for i, account := range r.Accounts {
		if account.Flooded {
			continue
		}
		own := ofAccount(during, i)
		if share := servedShare(own); m.Worst == "" || share < m.WorstServedShare {
			m.Worst, m.WorstServedShare = account.Name, share
		}
		if p99 := latency(own).P99Ms; p99 > m.WorstP99Ms {
			m.WorstP99, m.WorstP99Ms = account.Name, p99
		}
	}
}

// floodTime returns the time from the start of the first flood to the end of the last.
func floodTime(config Config) (from, until time.Duration) {
	from = config.Duration
	for _, account := range config.Accounts {
		if account.Flood > account.Rate {
			from, until = min(from, account.FloodFrom), max(until, account.FloodUntil)
		}
	}
	if from >= until {
		return 0, config.Duration
	}
	return from, until
}

func (m *Measures) refused(r Report, samples []sample) {
	allowed := 0
	for i, account := range r.Accounts {
		own := ofAccount(samples, i)
		allowed += within(own)
		m.RefusedWithinRate += wrongful(own)
		if !account.Flooded {
			m.OverRateWithinRate += count(own, func(s sample) bool { return s.withinRate && s.reason == "over_rate" })
		}
	}
	if allowed > 0 {
		m.RefusedWithinRateShare = float64(m.RefusedWithinRate) / float64(allowed)
	}
}

func (m *Measures) domain(r Report, samples []sample) {
	m.DomainServedShare = 1
	during := filter(samples, func(s sample) bool { return inDomainTime(r.Marks, s.arrival) })
	allowed := 0
	for i := range r.Accounts {
		own := ofAccount(during, i)
		allowed += within(own)
		m.DomainRefused += wrongful(own)
	}
	if allowed > 0 {
		m.DomainServedShare = 1 - float64(m.DomainRefused)/float64(allowed)
	}
}

// inDomainTime reports whether a time lies between the taking out of a failure
// domain and returnTime after its return.
func inDomainTime(marks []MarkReport, at time.Duration) bool {
	for _, out := range marks {
		if out.Kind != DomainOut || at < out.at() {
			continue
		}
		returned := slices.IndexFunc(marks, func(m MarkReport) bool {
			return m.Kind == DomainReturned && m.Subject == out.Subject && m.AtMs > out.AtMs
		})
		if returned < 0 || at < marks[returned].at()+returnTime {
			return true
		}
	}
	return false
}
