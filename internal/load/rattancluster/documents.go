package rattancluster

import (
	"fmt"
	"strings"

	"github.com/rattanstream/rattanstream/internal/config/rattankey"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

// Team is the team that owns the services and client accounts of a cluster.
const Team = "shop"

// StaleRoute is the route of every service whose reads may be up to 2 s old.
const StaleRoute = "browse"

// rootDocument returns the settings of team root.
func (c *Cluster) rootDocument() string {
	var b strings.Builder
	for _, domain := range c.scenario.Domains() {
		fmt.Fprintf(&b, "[failure_domain.%s]\nregion = north\ndrained = false\n\n", domain)
	}
	for _, team := range []string{rattansettings.RootTeam, Team} {
		fmt.Fprintf(&b, "[team.%s]\ncredential_sha256 = %s\n\n", team, rattansettings.HashSecret(c.credentialSecret).Hex())
	}
	return b.String()
}

// teamDocument returns the settings of the team that owns the services and the client
// accounts. It generates a key for each client account and stores it in c.keys.
func (c *Cluster) teamDocument() string {
	var b strings.Builder
	for i, service := range c.scenario.Services {
		var names []string
		for n := range endpointsPerGroup {
			domain := c.scenario.endpointDomain(i, n)
			name := endpointName(service, domain)
			names = append(names, name)
			fmt.Fprintf(&b, "[endpoint.%s]\naddress = %s\nfailure_domain = %s\nconnections = %d\nslots = %d\ndrained = false\n\n",
				name, c.endpointAddresses[Team+"/"+name], domain, c.scenario.Connections, c.scenario.Slots)
		}
		fmt.Fprintf(&b, "[group.%s]\nendpoints = %s\n\n", service, strings.Join(names, ", "))
		fmt.Fprintf(&b, "[service.%s]\ngroup = %s\nacknowledge = majority\n\n", service, service)
		fmt.Fprintf(&b, "[route.%s.%s]\nmax_age = 2s\n\n", service, StaleRoute)
	}
	for _, account := range c.scenario.Accounts {
		key := rattankey.Generate()
		c.keys[account.Name] = key.Reveal()
		fmt.Fprintf(&b, "[client_account.%s]\nrate = %d\nburst = %d\nweight = %d\nservices = %s\n\n",
			account.Name, account.Rate, account.Burst, account.Weight, strings.Join(c.scenario.Services, ", "))
		fmt.Fprintf(&b, "[key.%s]\nclient_account = %s\nsecret_sha256 = %s\nwithdrawn = false\n\n",
			key.ID(), account.Name, key.Hash().Hex())
	}
	return b.String()
}

// processText returns the process settings of a daemon.
func (c *Cluster) processText(vm *VM) string {
	var seeds []string
	for _, other := range c.vms {
		if other != vm {
			seeds = append(seeds, address(other.host, peerPort))
		}
	}
	return fmt.Sprintf("[daemon]\nvm = %s\nfailure_domain = %s\ncaller_address = %s\noperator_address = %s\npeer_address = %s\n"+
		"debug_address = %s\nplatform_address = %s\nseed_peers = %s\nstop_timeout = 5s\nlog_level = %s\n\n[session]\nseal_key = %s\n\n[tls]\nmode = off\n",
		vm.name, vm.domain, address(vm.host, callerPort), address(vm.host, operatorPort), address(vm.host, peerPort),
		address(vm.host, debugPort), c.platformAddress, strings.Join(seeds, ", "), c.logLevel, c.sealKey)
}
