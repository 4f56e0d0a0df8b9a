// Package rattansettings parses and validates the settings of a process and the
// settings documents of the teams. Settings with any validation error are rejected
// as a whole.
package rattansettings

import (
	"net/netip"
	"slices"
	"strings"
)

// RootTeam is the team that owns failure domains, teams and the policy.
const RootTeam = "root"

// documentPrefix is the prefix of the documents' keys in the platform's store.
const documentPrefix = "settings/"

// DocumentPath returns the platform key of a team's document.
func DocumentPath(team string) string { return documentPrefix + team }

// TeamOfPath returns the team of a document's platform key, and false when path is
// not the key of a document.
func TeamOfPath(path string) (string, bool) {
	team, ok := strings.CutPrefix(path, documentPrefix)
	return team, ok && IsName(team)
}

// A Document is one team's settings, validated and immutable.
type Document struct {
	team           string
	text           string
	revision       uint64
	failureDomains []FailureDomain
	teams          []Team
	policy         Policy
	groups         []Group
	endpoints      []Endpoint
	services       []Service
	routes         []Route
	clientAccounts []ClientAccount
	keys           []Key
}

// Team returns the name of the team that owns the document.
func (d *Document) Team() string { return d.team }

// Text returns the INI text, with its comments.
func (d *Document) Text() string { return d.text }

// Revision returns the platform's revision of the document, or 0 before it is stored.
func (d *Document) Revision() uint64 { return d.revision }

// WithRevision returns a copy of the document with the platform's revision.
func (d *Document) WithRevision(revision uint64) *Document {
	copied := *d
	copied.revision = revision
	return &copied
}

// Keys returns the document's keys. The caller must not change the slice.
func (d *Document) Keys() []Key { return d.keys }

// ParseDocument parses and validates a team's document. The error is a
// *ValidationErrors that lists all validation errors. References to another team's
// document are checked by NewSnapshot.
func ParseDocument(team, text string) (*Document, error) {
	path := DocumentPath(team)
	if !IsName(team) {
		validationErr := ValidationError{path: documentPrefix + messageText(team), problem: "not a team name", accepted: acceptedName}
		return nil, NewValidationErrors([]ValidationError{validationErr})
	}
	sections, errs := readSections(path, text)
	parser := documentParser{
		document: &Document{team: team, text: text, policy: defaultPolicy()},
		path:     path,
		errs:     errs,
		sections: make(map[string]bool, len(sections)),
	}
	for _, section := range sections {
		parser.sections[section.name] = true
		parser.parse(section)
	}
	parser.checkReferences()
	if err := NewValidationErrors(parser.errs); err != nil {
		return nil, err
	}
	return parser.document, nil
}

// A documentParser builds one document and collects its validation errors.
type documentParser struct {
	document *Document
	path     string
	errs     []ValidationError
	// sections contains the names of all sections, including invalid ones, so that
	// references to an invalid section are not also reported as missing.
	sections map[string]bool
}

const (
	acceptedSections     = "group.*, endpoint.*, service.*, route.*.*, client_account.* and key.*"
	acceptedRootSections = acceptedSections + ", failure_domain.*, team.* and policy"
)

func (p *documentParser) parse(raw rawSection) {
	kind, name, hasName := strings.Cut(raw.name, ".")
	reader := newSectionReader(p.path, raw, &p.errs)
	if !p.checkKind(reader, kind) {
		return
	}
	if kind == "policy" {
		if hasName {
			reader.addSectionError("the section takes no name after a dot", "policy")
			return
		}
		p.document.policy = readPolicy(reader)
		reader.finish()
		return
	}
	names := strings.Split(name, ".")
	if !hasName || len(names) != nameCount(kind) || slices.ContainsFunc(names, func(n string) bool { return !IsName(n) }) {
		reader.addSectionError("the section's name is not valid", sectionForm(kind)+"; a name has "+acceptedName)
		return
	}
	p.read(reader, kind, names)
	reader.finish()
}

func nameCount(kind string) int {
	if kind == "route" {
		return 2
	}
	return 1
}

func sectionForm(kind string) string {
	if kind == "route" {
		return "[route.<service>.<route>]"
	}
	return "[" + kind + ".<name>]"
}

// checkKind adds a validation error and returns false when the kind of section is
// unknown or not allowed in the team's document.
func (p *documentParser) checkKind(reader *sectionReader, kind string) bool {
	accepted := acceptedSections
	if p.document.team == RootTeam {
		accepted = acceptedRootSections
	}
	switch kind {
	case "group", "endpoint", "service", "route", "client_account", "key":
		return true
	case "failure_domain", "team", "policy":
		if p.document.team == RootTeam {
			return true
		}
		reader.addSectionError("only team root may have this section", accepted)
		return false
	default:
		reader.addSectionError("unknown section", accepted)
		return false
	}
}

func (p *documentParser) read(reader *sectionReader, kind string, names []string) {
	d := p.document
	switch kind {
	case "failure_domain":
		d.failureDomains = append(d.failureDomains, readFailureDomain(reader, names[0]))
	case "team":
		d.teams = append(d.teams, readTeam(reader, names[0]))
	case "group":
		d.groups = append(d.groups, readGroup(reader, d.team, names[0]))
	case "endpoint":
		d.endpoints = append(d.endpoints, readEndpoint(reader, d.team, names[0]))
	case "service":
		d.services = append(d.services, readService(reader, d.team, names[0]))
	case "route":
		d.routes = append(d.routes, readRoute(reader, d.team, names[0], names[1]))
	case "client_account":
		d.clientAccounts = append(d.clientAccounts, readClientAccount(reader, d.team, names[0]))
	case "key":
		d.keys = append(d.keys, readKey(reader, d.team, names[0]))
	}
}

// fullName returns "<team>/<name>", which is unique over all teams, or an empty
// string when name is empty.
func fullName(team, name string) string {
	if name == "" {
		return ""
	}
	return team + "/" + name
}

// localName returns a full name without its team.
func localName(full string) string {
	return full[strings.IndexByte(full, '/')+1:]
}

// checkReferences checks the references between sections of the document, and
// endpoints that belong to two groups or share an address.
func (p *documentParser) checkReferences() {
	d := p.document
	p.checkGroups()
	p.checkAddresses()
	for _, service := range d.services {
		p.checkReference("service."+localName(service.name), "group", "group", service.group)
	}
	for _, route := range d.routes {
		section := "route." + localName(route.service) + "." + route.name
		p.checkReference(section, "", "service", route.service)
		p.checkReference(section, "client_account", "client_account", route.clientAccount)
	}
	for _, account := range d.clientAccounts {
		for _, service := range account.services {
			p.checkReference("client_account."+localName(account.name), "services", "service", service)
		}
	}
	for _, key := range d.keys {
		p.checkReference("key."+key.id, "client_account", "client_account", key.clientAccount)
	}
}

// checkReference adds a validation error when no section of the document defines
// the full name.
func (p *documentParser) checkReference(section, key, kind, full string) {
	if full == "" || p.sections[kind+"."+localName(full)] {
		return
	}
	p.errs = append(p.errs, ValidationError{
		path: p.path, section: section, key: key, value: localName(full), hasValue: key != "",
		problem:  "there is no [" + kind + "." + localName(full) + "] in this document",
		accepted: "the name of a " + strings.ReplaceAll(kind, "_", " ") + " of this team",
	})
}

// checkGroups reports endpoints that do not exist, and endpoints in two groups,
// which would mix two databases.
func (p *documentParser) checkGroups() {
	groupOf := make(map[string]string)
	for _, group := range p.document.groups {
		section := "group." + localName(group.name)
		for _, endpoint := range group.endpoints {
			p.checkReference(section, "endpoints", "endpoint", endpoint)
			if other, taken := groupOf[endpoint]; taken {
				p.errs = append(p.errs, ValidationError{
					path: p.path, section: section, key: "endpoints", value: localName(endpoint), hasValue: true,
					problem:  "the endpoint is also in [group." + localName(other) + "]",
					accepted: "endpoints of no other group",
				})
			}
			groupOf[endpoint] = group.name
		}
	}
}

// checkAddresses reports endpoints with the same address: their connection limits
// would add up on one database instance.
func (p *documentParser) checkAddresses() {
	endpointAt := make(map[netip.AddrPort]string)
	for _, endpoint := range p.document.endpoints {
		if endpoint.address == "" {
			continue
		}
		address := netip.MustParseAddrPort(endpoint.address)
		if other, taken := endpointAt[address]; taken {
			p.errs = append(p.errs, ValidationError{
				path: p.path, section: "endpoint." + localName(endpoint.name), key: "address",
				value: endpoint.address, hasValue: true,
				problem: "[endpoint." + localName(other) + "] has the same address", accepted: "an address of no other endpoint",
			})
			continue
		}
		endpointAt[address] = endpoint.name
	}
}
