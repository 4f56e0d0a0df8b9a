// Package rattancatalog defines the decoded configuration (routes, client
// accounts, groups and limits) and the endpoints that have registered themselves.
package rattancatalog

import "time"

// A Consistency determines which commits a route's reads must see.
type Consistency int

// The consistencies of routes.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota + 1
	// BoundedStaleness reads may miss commits younger than the route's MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads may miss them too, but always see the session's own
	// commits.
	ReadYourWrites
)

// String returns the consistency's name in logs.
func (c Consistency) String() string {
	switch c {
	case Primary:
		return "primary"
	case BoundedStaleness:
		return "bounded_staleness"
	case ReadYourWrites:
		return "read_your_writes"
	default:
		return "unknown"
	}
}

// A Route maps a database name to a group of endpoints and sets how its
// statements are served.
type Route struct {
	Name        string
	Database    string
	Group       string
	Consistency Consistency
	// MaxStaleness limits how old the data may be that reads other than Primary see.
	MaxStaleness time.Duration
	// Timeout limits one statement.
	Timeout time.Duration
	// LatencyObjective is the latency target for a whole operation.
	LatencyObjective time.Duration
	// Priority is 0 for the highest.
	Priority int
	// IsOpen routes need no key.
	IsOpen bool
}

// An Account is a client account.
type Account struct {
	Name string
	// Rate is the limit in operations per second over all daemons.
	Rate float64
	// Burst is the size of the token bucket for Rate, in operations.
	Burst float64
	// Keys are the account's API keys; New moves them into the catalog's index,
	// so the accounts that a Catalog returns have none.
	Keys []string
}

// A Group is a set of endpoints, one primary and its replicas.
type Group struct {
	Name string
	// MaxConnections limits the connections to one endpoint from all daemons.
	MaxConnections int
	// SyncReplicas is how many replicas must hold a commit before it is acknowledged.
	SyncReplicas int
}

// Limits bound what callers may do.
type Limits struct {
	// MessageBytes is the largest statement.
	MessageBytes int
	// IdleTransaction is how long a transaction may be idle between statements.
	IdleTransaction time.Duration
}

// A Catalog is one version of the configuration, immutable after New.
type Catalog struct {
	version int64
	// routes is by database name; accounts and groups are by their names.
	routes   map[string]Route
	accounts map[string]Account
	// keys maps each API key to the name of its client account.
	keys   map[string]string
	groups map[string]Group
	limits Limits
	// leftOut are the entries of the configuration that cannot be used.
	leftOut []LeftOutEntry
}

// New returns the catalog of one version.
func New(version int64, routes []Route, accounts []Account, groups []Group, limits Limits) *Catalog {
	c := &Catalog{
		version:  version,
		routes:   make(map[string]Route, len(routes)),
		accounts: make(map[string]Account, len(accounts)),
		keys:     make(map[string]string),
		groups:   make(map[string]Group, len(groups)),
		limits:   limits,
	}
	for _, route := range routes {
		c.routes[route.Database] = route
	}
	for _, group := range groups {
		c.groups[group.Name] = group
	}
	for _, account := range accounts {
		for _, key := range account.Keys {
			c.keys[key] = account.Name
		}
		account.Keys = nil
		c.accounts[account.Name] = account
	}
	return c
}

// Version returns the version, which rises with each change.
func (c *Catalog) Version() int64 { return c.version }

// LeftOut returns the entries of the configuration that cannot be used.
func (c *Catalog) LeftOut() []LeftOutEntry { return c.leftOut }

// Limits returns the limits for callers.
func (c *Catalog) Limits() Limits { return c.limits }

// Route returns the route of a database name.
func (c *Catalog) Route(database string) (Route, bool) {
	route, ok := c.routes[database]
	return route, ok
}

// IsShared reports whether requests of several client accounts, or of routes of different
// priority, compete for the endpoints.
func (c *Catalog) IsShared() bool {
	priorities := make(map[int]bool)
	for _, route := range c.routes {
		priorities[route.Priority] = true
	}
	return len(c.accounts) > 1 || len(priorities) > 1
}

// Account returns a client account by name.
func (c *Catalog) Account(name string) (Account, bool) {
	account, ok := c.accounts[name]
	return account, ok
}

// AccountCount returns the number of client accounts.
func (c *Catalog) AccountCount() int { return len(c.accounts) }

// AccountOfKey returns the name of the client account that holds a key.
func (c *Catalog) AccountOfKey(key string) (string, bool) {
	name, ok := c.keys[key]
	return name, ok
}

// Group returns a group by name.
func (c *Catalog) Group(name string) (Group, bool) {
	group, ok := c.groups[name]
	return group, ok
}

// Groups returns the names of all groups.
func (c *Catalog) Groups() []string {
	names := make([]string, 0, len(c.groups))
	for name := range c.groups {
		names = append(names, name)
	}
	return names
}
