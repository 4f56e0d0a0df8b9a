package rattansettings

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Snapshot contains the settings of all teams at one moment. It is immutable after
// construction. Failure domains and teams are looked up by name, and everything that
// a team owns by full name.
type Snapshot struct {
	documents      map[string]*Document
	failureDomains map[string]FailureDomain
	teams          map[string]Team
	policy         Policy
	groups         map[string]Group
	endpoints      map[string]Endpoint
	services       map[string]Service
	routes         map[string]Route
	clientAccounts map[string]ClientAccount
	keys           map[string]Key
	keysByID       map[string][]Key
	referenceErrs  []ValidationError
	digest         uint64
}

// NewSnapshot combines the documents. Of two documents of one team it uses the one
// with the higher revision. An invalid reference between documents, such as an
// unknown failure domain, is left empty and listed by ReferenceErrors; everything
// else stays in force.
func NewSnapshot(documents ...*Document) *Snapshot {
	s := &Snapshot{
		documents:      make(map[string]*Document, len(documents)),
		failureDomains: make(map[string]FailureDomain),
		teams:          make(map[string]Team),
		policy:         defaultPolicy(),
		groups:         make(map[string]Group),
		endpoints:      make(map[string]Endpoint),
		services:       make(map[string]Service),
		routes:         make(map[string]Route),
		clientAccounts: make(map[string]ClientAccount),
		keys:           make(map[string]Key),
		keysByID:       make(map[string][]Key),
	}
	for _, document := range documents {
		if known := s.documents[document.team]; known == nil || known.revision < document.revision {
			s.documents[document.team] = document
		}
	}
	ordered := s.Documents()
	for _, document := range ordered {
		s.add(document)
	}
	s.addEndpoints(ordered)
	s.digest = digest(ordered)
	return s
}

// With returns a snapshot with document in place of the team's document. It returns
// s and false when s has that revision or a later one, so that settings never return
// to an earlier revision.
func (s *Snapshot) With(document *Document) (*Snapshot, bool) {
	if known := s.documents[document.team]; known != nil && known.revision >= document.revision {
		return s, false
	}
	return NewSnapshot(append(s.Documents(), document)...), true
}

func (s *Snapshot) add(d *Document) {
	if d.team == RootTeam {
		s.policy = d.policy
		for _, domain := range d.failureDomains {
			s.failureDomains[domain.name] = domain
		}
		for _, team := range d.teams {
			s.teams[team.name] = team
		}
	}
	for _, group := range d.groups {
		s.groups[group.name] = group
	}
	for _, service := range d.services {
		s.services[service.name] = service
	}
	for _, route := range d.routes {
		s.routes[route.service+"."+route.name] = route
	}
	for _, account := range d.clientAccounts {
		s.clientAccounts[account.name] = account
	}
	for _, key := range d.keys {
		s.keys[key.Name()] = key
		s.keysByID[key.id] = append(s.keysByID[key.id], key)
	}
}

// addEndpoints must run after all documents were added, because endpoints refer to
// team root's failure domains. An endpoint with an invalid reference stays a member
// of its group: without it, a majority of the remaining members need not intersect an
// earlier majority.
func (s *Snapshot) addEndpoints(ordered []*Document) {
	groupOf := make(map[string]string)
	for _, group := range s.groups {
		for _, endpoint := range group.endpoints {
			groupOf[endpoint] = group.name
		}
	}
	endpointAt := make(map[netip.AddrPort]string)
	for _, document := range ordered {
		for _, endpoint := range document.endpoints {
			endpoint.group = groupOf[endpoint.name]
			s.checkFailureDomain(document, &endpoint)
			s.checkAddress(document, &endpoint, endpointAt)
			s.endpoints[endpoint.name] = endpoint
		}
	}
}

// checkFailureDomain marks the endpoint as drained when its failure domain is
// drained. It reports and clears an unknown failure domain.
func (s *Snapshot) checkFailureDomain(document *Document, endpoint *Endpoint) {
	domain, found := s.failureDomains[endpoint.failureDomain]
	if found {
		endpoint.drained = endpoint.drained || domain.drained
		return
	}
	s.referenceErrs = append(s.referenceErrs, ValidationError{
		path: DocumentPath(document.team), section: "endpoint." + localName(endpoint.name),
		key: "failure_domain", value: endpoint.failureDomain, hasValue: true,
		problem: "team root's document has no such failure domain", accepted: s.acceptedFailureDomains(),
	})
	endpoint.failureDomain = ""
}

func (s *Snapshot) acceptedFailureDomains() string {
	if len(s.failureDomains) == 0 {
		return "a failure domain of team root's document, which defines none"
	}
	return strings.Join(slices.Sorted(maps.Keys(s.failureDomains)), ", ")
}

// checkAddress reports and clears an address that another endpoint has already. The
// first endpoint, in the order of Documents, keeps the address.
func (s *Snapshot) checkAddress(document *Document, endpoint *Endpoint, endpointAt map[netip.AddrPort]string) {
	address := netip.MustParseAddrPort(endpoint.address)
	other, taken := endpointAt[address]
	if !taken {
		endpointAt[address] = endpoint.name
		return
	}
	s.referenceErrs = append(s.referenceErrs, ValidationError{
		path: DocumentPath(document.team), section: "endpoint." + localName(endpoint.name),
		key: "address", value: endpoint.address, hasValue: true,
		problem: "endpoint " + other + " has the same address", accepted: "an address of no other endpoint",
	})
	endpoint.address = ""
}

// digest hashes the teams and revisions of the documents. The first byte of revision
// is always zero and separates the team's name from the revision.
func digest(ordered []*Document) uint64 {
	hash := xxhash.New()
	for _, document := range ordered {
		_, _ = hash.WriteString(document.team)
		var revision [9]byte
		binary.BigEndian.PutUint64(revision[1:], document.revision)
		_, _ = hash.Write(revision[:])
	}
	return hash.Sum64()
}

// Documents returns the documents, team root's first and the others sorted by team.
func (s *Snapshot) Documents() []*Document {
	documents := slices.Collect(maps.Values(s.documents))
	slices.SortFunc(documents, func(a, b *Document) int {
		if (a.team == RootTeam) != (b.team == RootTeam) {
			if a.team == RootTeam {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.team, b.team)
	})
	return documents
}

// Document returns a team's document.
func (s *Snapshot) Document(team string) (*Document, bool) {
	document, ok := s.documents[team]
	return document, ok
}

// Revision returns the revision of a team's document, or 0 when there is none.
func (s *Snapshot) Revision(team string) uint64 {
	if document, ok := s.documents[team]; ok {
		return document.revision
	}
	return 0
}

// MaxRevision returns the highest revision of all documents.
func (s *Snapshot) MaxRevision() uint64 {
	var highest uint64
	for _, document := range s.documents {
		highest = max(highest, document.revision)
	}
	return highest
}

// Digest returns the XXH64 hash of all teams and revisions. Two daemons with equal
// digests have the same settings in force.
func (s *Snapshot) Digest() uint64 { return s.digest }

// ReferenceErrors returns the invalid references between documents. The caller must
// not change the slice.
func (s *Snapshot) ReferenceErrors() []ValidationError { return s.referenceErrs }

// Policy returns the policy, or the default policy when team root has no document.
func (s *Snapshot) Policy() Policy { return s.policy }

// FailureDomain returns the failure domain with that name.
func (s *Snapshot) FailureDomain(name string) (FailureDomain, bool) {
	domain, ok := s.failureDomains[name]
	return domain, ok
}

// FailureDomains returns all failure domains, sorted by name.
func (s *Snapshot) FailureDomains() []FailureDomain { return sortedValues(s.failureDomains) }

// Team returns the team with that name.
func (s *Snapshot) Team(name string) (Team, bool) {
	team, ok := s.teams[name]
	return team, ok
}

// Teams returns all teams, sorted by name.
func (s *Snapshot) Teams() []Team { return sortedValues(s.teams) }

// Group returns the group with that full name.
func (s *Snapshot) Group(name string) (Group, bool) {
	group, ok := s.groups[name]
	return group, ok
}

// Groups returns all groups, sorted by full name.
func (s *Snapshot) Groups() []Group { return sortedValues(s.groups) }

// Endpoint returns the endpoint with that full name.
func (s *Snapshot) Endpoint(name string) (Endpoint, bool) {
	endpoint, ok := s.endpoints[name]
	return endpoint, ok
}

// Endpoints returns all endpoints, sorted by full name.
func (s *Snapshot) Endpoints() []Endpoint { return sortedValues(s.endpoints) }

// Service returns the service with that full name.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// ServiceFor returns the service that a request names, by its full name or by
// its local name within team.
func (s *Snapshot) ServiceFor(team, name string) (Service, bool) {
	if !strings.Contains(name, "/") {
		name = fullName(team, name)
	}
	return s.Service(name)
}

// Services returns all services, sorted by full name.
func (s *Snapshot) Services() []Service { return sortedValues(s.services) }

// Route returns a route of a service. An empty name means DefaultRoute, which every
// service has even if no section defines it.
func (s *Snapshot) Route(service, name string) (Route, bool) {
	if name == "" {
		name = DefaultRoute
	}
	if route, ok := s.routes[service+"."+name]; ok {
		return route, true
	}
	if _, ok := s.services[service]; !ok || name != DefaultRoute {
		return Route{}, false
	}
	return Route{name: DefaultRoute, service: service}, true
}

// ClientAccount returns the client account with that full name.
func (s *Snapshot) ClientAccount(name string) (ClientAccount, bool) {
	account, ok := s.clientAccounts[name]
	return account, ok
}

// ClientAccounts returns all client accounts, sorted by full name.
func (s *Snapshot) ClientAccounts() []ClientAccount { return sortedValues(s.clientAccounts) }

// Key returns the key with that full name, "<team>/<key id>".
func (s *Snapshot) Key(name string) (Key, bool) {
	key, ok := s.keys[name]
	return key, ok
}

// Keys returns all keys, sorted by full name.
func (s *Snapshot) Keys() []Key { return sortedValues(s.keys) }

// KeysByID returns the keys of all teams that have the identifier. The caller
// must not change the slice.
func (s *Snapshot) KeysByID(id string) []Key { return s.keysByID[id] }

func sortedValues[T any](byName map[string]T) []T {
	values := make([]T, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		values = append(values, byName[name])
	}
	return values
}
