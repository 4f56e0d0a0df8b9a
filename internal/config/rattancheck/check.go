// Package rattancheck checks a configuration before it is sent: errors, entries that can
// never match, limits that contradict each other, and what differs from the version in
// force. It never prints a key.
package rattancheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A Severity says what a Finding means for the configuration.
type Severity int

// The severities.
const (
	// Warning findings leave the configuration usable.
	Warning Severity = iota + 1
	// Error findings make an entry unusable.
	Error
)

// String returns the severity's name in output.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// A Finding is one problem of a configuration.
type Finding struct {
	Severity Severity
	// Entry is the kind and the name of the entry, such as "route r-1".
	Entry   string
	Problem string
}

// A findings collects the findings of one configuration.
type findings struct {
	list []Finding
}

func (f *findings) errorf(entry, format string, args ...any) {
	f.list = append(f.list, Finding{Severity: Error, Entry: entry, Problem: fmt.Sprintf(format, args...)})
}

func (f *findings) warnf(entry, format string, args ...any) {
	f.list = append(f.list, Finding{Severity: Warning, Entry: entry, Problem: fmt.Sprintf(format, args...)})
}

// Check returns the problems of a configuration, errors first, each kind in the order of
// its entries.
func Check(document rattancatalog.Document) []Finding {
	f := &findings{}
	if document.Version <= 0 {
		f.errorf("configuration", "the version is %d and must be above 0", document.Version)
	}
	for _, leftOut := range document.LeftOut {
		f.errorf(leftOut.Entry, "it cannot be used: %v", leftOut.Err)
	}
	checkLimits(f, document.Limits)
	checkGroups(f, document)
	checkRoutes(f, document)
	checkAccounts(f, document)
	slices.SortStableFunc(f.list, func(a, b Finding) int { return cmp.Compare(b.Severity, a.Severity) })
	return f.list
}

func checkLimits(f *findings, limits rattancatalog.Limits) {
	if limits.MessageBytes <= 0 {
		f.errorf("limits", "the largest statement has %d bytes: every statement is refused", limits.MessageBytes)
	}
	if limits.IdleTransaction <= 0 {
		f.warnf("limits", "no limit for idle transactions: the default applies")
	}
}

func checkGroups(f *findings, document rattancatalog.Document) {
	used := make(map[string]bool)
	for _, route := range document.Routes {
		used[route.Group] = true
	}
	seen := make(map[string]bool)
	for _, group := range document.Groups {
		entry := "group " + group.Name
		if seen[group.Name] {
			f.errorf(entry, "stands twice: only the last entry counts")
		}
		seen[group.Name] = true
		if group.MaxConnections <= 0 {
			f.errorf(entry, "accepts %d connections to an endpoint: nothing can run", group.MaxConnections)
		}
		if group.SyncReplicas < 0 {
			f.errorf(entry, "waits for %d replicas", group.SyncReplicas)
		}
		if !used[group.Name] {
			f.warnf(entry, "can never match: no route leads to it")
		}
	}
}

func checkRoutes(f *findings, document rattancatalog.Document) {
	groups := make(map[string]bool)
	for _, group := range document.Groups {
		groups[group.Name] = true
	}
	last := make(map[string]int)
	for i, route := range document.Routes {
		last[route.Database] = i
	}
	names := make(map[string]bool)
	for i, route := range document.Routes {
		entry := "route " + route.Name
		if names[route.Name] {
			f.errorf(entry, "stands twice")
		}
		names[route.Name] = true
		switch {
		case route.Database == "":
			f.errorf(entry, "can never match: it names no database")
		case last[route.Database] != i:
			f.errorf(entry, "can never match: route %s has the same database %s and comes later",
				document.Routes[last[route.Database]].Name, route.Database)
		}
		if !groups[route.Group] {
			f.errorf(entry, "leads to group %q, which is not in the configuration", route.Group)
		}
		checkRouteLimits(f, entry, route, document.Limits)
	}
}

func checkRouteLimits(f *findings, entry string, route rattancatalog.Route, limits rattancatalog.Limits) {
	if route.Consistency == 0 {
		f.errorf(entry, "has an unknown type")
	}
	if route.Timeout <= 0 {
		f.errorf(entry, "has the timeout %s: every statement ends at once", route.Timeout)
	}
	if route.LatencyObjective <= 0 {
		f.warnf(entry, "has no latency objective: its requests wait behind all that can meet theirs")
	}
	if route.Timeout > 0 && route.LatencyObjective > route.Timeout {
		f.warnf(entry, "has the latency objective %s above its timeout %s: a statement ends before it is late", route.LatencyObjective, route.Timeout)
	}
	if route.Priority < 0 {
		f.errorf(entry, "has the priority %d; 0 is the most urgent", route.Priority)
	}
	isStale := route.Consistency == rattancatalog.BoundedStaleness || route.Consistency == rattancatalog.ReadYourWrites
	if isStale && route.MaxStaleness <= 0 {
		f.warnf(entry, "allows stale reads with no staleness: every read goes to the primary")
	}
	if route.Consistency == rattancatalog.Primary && route.MaxStaleness > 0 {
		f.warnf(entry, "has the staleness %s, which reads at the primary ignore", route.MaxStaleness)
	}
	if limits.IdleTransaction > 0 && route.Timeout > limits.IdleTransaction {
		f.warnf(entry, "has the timeout %s above the limit for idle transactions %s: a caller that waits for a statement elsewhere loses its transaction",
			route.Timeout, limits.IdleTransaction)
	}
}

func checkAccounts(f *findings, document rattancatalog.Document) {
	holders := make(map[string]string)
	seen := make(map[string]bool)
	for _, account := range document.Accounts {
		entry := "client account " + account.Name
		if seen[account.Name] {
			f.errorf(entry, "stands twice: only the last entry counts")
		}
		seen[account.Name] = true
		if len(account.Keys) == 0 {
			f.warnf(entry, "can never match: it has no key")
		}
		for i, key := range account.Keys {
			holder, isHeld := holders[key]
			switch {
			case key == "":
				f.errorf(entry, "key %d is empty", i+1)
			case isHeld && holder == account.Name:
				f.warnf(entry, "key %d stands twice", i+1)
			case isHeld:
				f.errorf(entry, "key %d is also that of client account %s: the last one gets its callers", i+1, holder)
			}
			holders[key] = account.Name
		}
		checkRate(f, entry, account)
	}
}

func checkRate(f *findings, entry string, account rattancatalog.Account) {
	switch {
	case account.Rate < 0 || account.Burst < 0:
		f.errorf(entry, "has the rate %g a second and the burst %g; neither can be below 0", account.Rate, account.Burst)
	case account.Rate == 0 && account.Burst < 1:
		f.errorf(entry, "has no rate and no burst: every operation is refused")
	case account.Rate == 0:
		f.warnf(entry, "has no rate: only the burst of %g operations is admitted in a window", account.Burst)
	}
}

// HasErrors reports whether any finding is an error.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(finding Finding) bool { return finding.Severity == Error })
}
