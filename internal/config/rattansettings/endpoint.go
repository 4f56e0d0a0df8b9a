package rattansettings

const (
	maxConnections = 10_000
	maxSlots       = 1_000
)

// An Endpoint is one database instance of a group.
type Endpoint struct {
	name          string
	group         string
	address       string
	failureDomain string
	connections   int
	slots         int
	drained       bool
}

func readEndpoint(r *sectionReader, team, name string) Endpoint {
	endpoint := Endpoint{
		name:          fullName(team, name),
		address:       r.remoteAddress("address", true),
		failureDomain: r.nameValue("failure_domain", true),
		connections:   r.integer("connections", " connections", 1, maxConnections, 0),
		slots:         r.integer("slots", " slots", 1, maxSlots, 0),
		drained:       r.boolean("drained", false),
	}
	if endpoint.connections > 0 && endpoint.slots > endpoint.connections {
		r.addError("slots", "more slots than connections", "at most the number of connections")
	}
	return endpoint
}

// Name returns the endpoint's full name.
func (e Endpoint) Name() string { return e.name }

// Group returns the full name of the endpoint's group, or an empty string when it is
// in none.
func (e Endpoint) Group() string { return e.group }

// Address returns the IP address and port. It is empty when an endpoint of another
// team, earlier in the order of Snapshot.Documents, has the same address: the
// endpoint then counts as an unreachable member of its group.
func (e Endpoint) Address() string { return e.address }

// FailureDomain returns the name of the endpoint's failure domain. It is empty
// when team root's document has no such failure domain.
func (e Endpoint) FailureDomain() string { return e.failureDomain }

// Connections returns the maximum number of connections of the whole fleet to the
// endpoint.
func (e Endpoint) Connections() int { return e.connections }

// Slots returns the number of statements that the endpoint runs at the same time.
func (e Endpoint) Slots() int { return e.slots }

// Drained reports whether operators have drained the endpoint or its failure domain.
func (e Endpoint) Drained() bool { return e.drained }
