package rattancheck

import (
	"fmt"
	"slices"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A Change is a difference between two configurations.
type Change struct {
	// Entry is the kind and the name of the entry, such as "route r-1".
	Entry string
	// What says what changes, such as "added" or "timeout: 1s -> 2s".
	What string
}

// A property is a field of an entry, as text.
type property struct {
	name, value string
}

// An entry is an entry of a configuration with its properties. The keys of accounts are
// compared, but never shown.
type entry struct {
	name       string
	properties []property
	keys       []string
}

// Diff returns what changes when next replaces the configuration in force.
func Diff(inForce, next rattancatalog.Document) []Change {
	var changes []Change
	changes = append(changes, diffEntries(limitEntries(inForce), limitEntries(next))...)
	changes = append(changes, diffEntries(groupEntries(inForce), groupEntries(next))...)
	changes = append(changes, diffEntries(routeEntries(inForce), routeEntries(next))...)
	return append(changes, diffEntries(accountEntries(inForce), accountEntries(next))...)
}

// CheckVersion returns the finding that a configuration cannot replace the one in force
// because its version is not above.
func CheckVersion(inForce, next rattancatalog.Document) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Severity: Error, Entry: "configuration",
		Problem: fmt.Sprintf("version %d is not above version %d, which is in force", next.Version, inForce.Version),
	}}
}

func limitEntries(d rattancatalog.Document) []entry {
	return []entry{{name: "limits", properties: []property{
		{"largest statement", fmt.Sprintf("%d bytes", d.Limits.MessageBytes)},
		{"idle transactions", d.Limits.IdleTransaction.String()},
	}}}
}

func groupEntries(d rattancatalog.Document) []entry {
	var entries []entry
	for _, group := range d.Groups {
		entries = append(entries, entry{name: "group " + group.Name, properties: []property{
			{"connections", fmt.Sprint(group.MaxConnections)},
			{"synchronous replicas", fmt.Sprint(group.SyncReplicas)},
		}})
	}
	return entries
}

func routeEntries(d rattancatalog.Document) []entry {
	var entries []entry
	for _, route := range d.Routes {
		entries = append(entries, entry{name: "route " + route.Name, properties: []property{
			{"database", route.Database},
			{"group", route.Group},
			{"type", route.Consistency.String()},
			{"staleness", route.MaxStaleness.String()},
			{"timeout", route.Timeout.String()},
			{"latency objective", route.LatencyObjective.String()},
			{"priority", fmt.Sprint(route.Priority)},
			{"open", fmt.Sprint(route.IsOpen)},
		}})
	}
	return entries
}

func accountEntries(d rattancatalog.Document) []entry {
	var entries []entry
	for _, account := range d.Accounts {
		entries = append(entries, entry{name: "client account " + account.Name, keys: account.Keys, properties: []property{
			{"rate", fmt.Sprintf("%g a second", account.Rate)},
			{"burst", fmt.Sprint(account.Burst)},
		}})
	}
	return entries
}

func diffEntries(inForce, next []entry) []Change {
	before := byName(inForce)
	after := byName(next)
	var changes []Change
	for _, e := range inForce {
		if _, ok := after[e.name]; !ok {
			changes = append(changes, Change{Entry: e.name, What: "removed"})
		}
	}
	for _, e := range next {
		old, ok := before[e.name]
		if !ok {
			changes = append(changes, Change{Entry: e.name, What: "added"})
			continue
		}
		changes = append(changes, diffEntry(old, e)...)
	}
	return changes
}

func diffEntry(before, after entry) []Change {
	var changes []Change
	for i, p := range after.properties {
		if old := before.properties[i].value; old != p.value {
			changes = append(changes, Change{Entry: after.name, What: fmt.Sprintf("%s: from %s to %s", p.name, old, p.value)})
		}
	}
	if added := countMissing(after.keys, before.keys); added > 0 {
		changes = append(changes, Change{Entry: after.name, What: fmt.Sprintf("keys added: %d", added)})
	}
	if withdrawn := countMissing(before.keys, after.keys); withdrawn > 0 {
		changes = append(changes, Change{Entry: after.name, What: fmt.Sprintf("keys withdrawn: %d", withdrawn)})
	}
	return changes
}

// countMissing returns how many of keys others lacks.
func countMissing(keys, others []string) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}

// byName indexes entries by name; of entries with one name the last counts.
func byName(entries []entry) map[string]entry {
	index := make(map[string]entry, len(entries))
	for _, e := range entries {
		index[e.name] = e
	}
	return index
}
