// Package rattancluster runs a whole deployment in one process on loopback addresses:
// daemons, and stand-ins that simulate the platform and the endpoints.
package rattancluster

import (
	"fmt"
	"time"
)

// An Account is a client account of a scenario.
type Account struct {
	Name string
	// Rate is in requests per second, Burst in requests, over the whole fleet.
	Rate   int
	Burst  int
	Weight int
}

// A Scenario describes a deployment.
type Scenario struct {
	Name string
	// VMs has the number of VMs in each failure domain, in the order of Domains.
	VMs []int
	// Services are served by one group of three endpoints each.
	Services []string
	// Slots is how many statements an endpoint runs at the same time, Connections how
	// many connections it accepts.
	Slots       int
	Connections int
	// ServiceTime is how long a statement occupies a slot.
	ServiceTime time.Duration
	// Lag is the replication lag of every replica.
	Lag      time.Duration
	Accounts []Account
}

// endpointsPerGroup is the number of endpoints of every group.
const endpointsPerGroup = 3

// Domains returns the names of the failure domains: a, b, c, and so on.
func (s Scenario) Domains() []string {
	domains := make([]string, 0, len(s.VMs))
	for i := range s.VMs {
		domains = append(domains, string(rune('a'+i)))
	}
	return domains
}

// endpointDomain returns the failure domain of endpoint number n of the group that
// serves a service, which is given by its index.
func (s Scenario) endpointDomain(service, n int) string {
	domains := s.Domains()
	return domains[(service+n)%len(domains)]
}

func vmName(domain string, n int) string { return fmt.Sprintf("vm-%s%d", domain, n+1) }

func endpointName(service, domain string) string { return service + "-" + domain }

// Fjordknute returns the scenario of a shop, a dealer portal and a warehouse on
// three order and stock services in three failure domains.
func Fjordknute() Scenario {
	return Scenario{
		Name:        "fjordknute",
		VMs:         []int{3, 3, 2},
		Services:    []string{"orders", "stock", "warehouse"},
		Slots:       3,
		Connections: 20,
		ServiceTime: 4 * time.Millisecond,
		Lag:         10 * time.Millisecond,
		Accounts: []Account{
			{Name: "checkout", Rate: 120, Burst: 240, Weight: 2},
			{Name: "dealers", Rate: 100, Burst: 200, Weight: 1},
			{Name: "packing", Rate: 60, Burst: 120, Weight: 1},
			{Name: "returns", Rate: 20, Burst: 40, Weight: 1},
			{Name: "prices", Rate: 20, Burst: 40, Weight: 1},
			{Name: "reports", Rate: 10, Burst: 20, Weight: 1},
			{Name: "invoices", Rate: 10, Burst: 20, Weight: 1},
			{Name: "support", Rate: 10, Burst: 20, Weight: 1},
		},
	}
}

// Palapeli returns the scenario of workshops, libraries and a public form on
// three registry services in four failure domains.
func Palapeli() Scenario {
	return Scenario{
		Name:        "palapeli",
		VMs:         []int{2, 2, 2, 2},
		Services:    []string{"orders", "pieces", "shipments"},
		Slots:       3,
		Connections: 40,
		ServiceTime: 4 * time.Millisecond,
		Lag:         10 * time.Millisecond,
		Accounts: []Account{
			{Name: "form", Rate: 100, Burst: 200, Weight: 1},
			{Name: "libraries", Rate: 80, Burst: 160, Weight: 1},
			{Name: "workshop-1", Rate: 30, Burst: 60, Weight: 1},
			{Name: "workshop-2", Rate: 30, Burst: 60, Weight: 1},
			{Name: "workshop-3", Rate: 15, Burst: 30, Weight: 1},
			{Name: "workshop-4", Rate: 15, Burst: 30, Weight: 1},
			{Name: "workshop-5", Rate: 10, Burst: 20, Weight: 1},
			{Name: "office", Rate: 10, Burst: 20, Weight: 1},
		},
	}
}
