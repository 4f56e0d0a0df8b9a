package rattanload

import (
	"slices"
	"time"
)

const (
	// failoverBound is the stated longest time of a failover.
	failoverBound = 8 * time.Second
	// returnTime is how long a failure domain is still measured after its return; it
	// covers the slow start of 5 s.
	returnTime = 8 * time.Second
)

// Measures are the figures that the design page defines.
type Measures struct {
	// ReplicaReadShare is the share of the served reads that replicas served.
	ReplicaReadShare float64 `json:"replica_read_share"`
	// FailoverGapMs is the longest time between two acknowledged writes of a service
	// around the loss of its primary, 0 when no primary was lost.
	FailoverGapMs float64 `json:"failover_gap_ms"`
	// LongestUnserved is the client account that went the longest time with requests of
	// which none was served.
	LongestUnserved   string  `json:"longest_unserved_client_account"`
	LongestUnservedMs float64 `json:"longest_unserved_ms"`
	// Worst is the client account with the lowest served share among those that do not
	// flood, over the time of the flood, or over the run when there is no flood.
	Worst            string  `json:"worst_client_account"`
	WorstServedShare float64 `json:"worst_served_share"`
	WorstP99         string  `json:"worst_p99_client_account"`
	WorstP99Ms       float64 `json:"worst_p99_ms"`
	// RefusedWithinRate is how many of the requests that the rates allowed were not
	// served, for any reason; see countUnservedWithinRate. OverRateWithinRate counts the
	// requests within the rate that were refused with the reason over_rate, without those
	// of accounts that flood.
	RefusedWithinRate      int     `json:"refused_within_rate"`
	RefusedWithinRateShare float64 `json:"refused_within_rate_share"`
	OverRateWithinRate     int     `json:"over_rate_within_rate"`
	// DomainServedShare is the share of the requests allowed by the rates that was
	// served, from when a failure domain was taken out until 8 s after its return, and
	// DomainRefused the number that was not served. The share is 1 when no domain was
	// taken out.
	DomainServedShare float64 `json:"failure_domain_served_share"`
	DomainRefused     int     `json:"failure_domain_refused"`
	// WrongValues counts reads that did not return their session's last write.
	WrongValues int `json:"wrong_values"`
	// OverRateAccounts lists client accounts that were served more than their rate and
	// burst allow.
	OverRateAccounts []string `json:"over_rate_client_accounts"`
}

// newMeasures computes the measures from samples that are sorted by end.
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
	m.setWorst(config, r, samples)
	m.setRefused(r, samples)
	m.setDomain(r, samples)
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

// setWorst sets the fields about the worst-served client accounts during the flood.
func (m *Measures) setWorst(config Config, r Report, samples []sample) {
	from, until := floodInterval(config)
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

// floodInterval returns the start of the first flood and the end of the last, or the
// whole run when there is no flood.
func floodInterval(config Config) (from, until time.Duration) {
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

func (m *Measures) setRefused(r Report, samples []sample) {
	allowed := 0
	for i, account := range r.Accounts {
		own := ofAccount(samples, i)
		allowed += countWithinRate(own)
		m.RefusedWithinRate += countUnservedWithinRate(own)
		if !account.Flooded {
			m.OverRateWithinRate += count(own, func(s sample) bool { return s.withinRate && s.reason == "over_rate" })
		}
	}
	if allowed > 0 {
		m.RefusedWithinRateShare = float64(m.RefusedWithinRate) / float64(allowed)
	}
}

func (m *Measures) setDomain(r Report, samples []sample) {
	m.DomainServedShare = 1
	during := filter(samples, func(s sample) bool { return inDomainOutage(r.Marks, s.arrival) })
	allowed := 0
	for i := range r.Accounts {
		own := ofAccount(during, i)
		allowed += countWithinRate(own)
		m.DomainRefused += countUnservedWithinRate(own)
	}
	if allowed > 0 {
		m.DomainServedShare = 1 - float64(m.DomainRefused)/float64(allowed)
	}
}

// inDomainOutage reports whether a time lies between the removal of a failure domain
// from service and returnTime after its return.
func inDomainOutage(marks []MarkReport, at time.Duration) bool {
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
