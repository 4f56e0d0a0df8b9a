package rattansettings

import "slices"

const (
	maxBurst           = 10_000_000
	maxWeight          = 100
	maxAccountServices = 100
)

// A ClientAccount is the account of one caller, with its rate limit and the services
// that it may use.
type ClientAccount struct {
	name      string
	rateMilli int64
	burst     int
	weight    int
	services  []string
}

func readClientAccount(r *sectionReader, team, name string) ClientAccount {
	account := ClientAccount{
		name:      fullName(team, name),
		rateMilli: r.rate("rate"),
		burst:     r.integer("burst", " requests", 1, maxBurst, 0),
		weight:    r.integer("weight", "", 1, maxWeight, 1),
	}
	for _, service := range r.names("services", maxAccountServices) {
		account.services = append(account.services, fullName(team, service))
	}
	return account
}

// Name returns the client account's full name.
func (a ClientAccount) Name() string { return a.name }

// RateMilli returns the rate limit over the whole fleet, in thousandths of a request
// per second.
func (a ClientAccount) RateMilli() int64 { return a.rateMilli }

// Burst returns the burst limit over the whole fleet, in requests.
func (a ClientAccount) Burst() int { return a.burst }

// Weight returns the client account's weight in fair queues.
func (a ClientAccount) Weight() int { return a.weight }

// Services returns the full names of the services that the client account may
// use. The caller must not change the slice.
func (a ClientAccount) Services() []string { return a.services }

// MayUse reports whether the client account may use a service, by full name.
func (a ClientAccount) MayUse(service string) bool { return slices.Contains(a.services, service) }
