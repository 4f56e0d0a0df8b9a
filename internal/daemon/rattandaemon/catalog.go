package rattandaemon

import (
	"strings"
	"sync/atomic"

	"github.com/rattanstream/rattanstream/internal/caller/rattanservice"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

// A catalog holds the settings in force and finds routes and client accounts in
// them.
type catalog struct {
	snapshot atomic.Pointer[rattansettings.Snapshot]
}

var _ rattanservice.Catalog = (*catalog)(nil)

func newCatalog() *catalog {
	c := &catalog{}
	c.snapshot.Store(rattansettings.NewSnapshot())
	return c
}

// Route implements rattanservice.Catalog.
func (c *catalog) Route(clientAccount, service, route string) (rattanservice.Route, bool) {
	snapshot := c.snapshot.Load()
	name := fullName(clientAccount, service)
	found, ok := snapshot.Service(name)
	if !ok {
		return rattanservice.Route{}, false
	}
	declared, ok := snapshot.Route(name, route)
	if !ok {
		return rattanservice.Route{}, false
	}
	return rattanservice.Route{
		Service:             name,
		Group:               found.Group(),
		Open:                declared.Open(),
		ClientAccount:       declared.ClientAccount(),
		MaxAge:              declared.MaxAge(),
		AcknowledgeMajority: !found.AcknowledgePrimary(),
	}, true
}

// fullName returns the full name, TEAM/SERVICE, of a service that a client account
// may call by its local name. The team is that of the client account.
func fullName(clientAccount, service string) string {
	team, _, ok := strings.Cut(clientAccount, "/")
	if !ok || strings.Contains(service, "/") {
		return service
	}
	return team + "/" + service
}

// MayUse implements rattanservice.Catalog.
func (c *catalog) MayUse(clientAccount, service string) bool {
	account, ok := c.snapshot.Load().ClientAccount(clientAccount)
	return ok && account.MayUse(service)
}

// Weight implements rattanservice.Catalog. An unknown client account has weight 1.
func (c *catalog) Weight(clientAccount string) int64 {
	account, ok := c.snapshot.Load().ClientAccount(clientAccount)
	if !ok {
		return 1
	}
	return int64(account.Weight())
}
