package rattancatalog

// A Role is what an endpoint says it is.
type Role int

// The roles of an endpoint.
const (
	PrimaryRole Role = iota + 1
	ReplicaRole
)

// An Endpoint is one instance of a group as it registered itself.
type Endpoint struct {
	ID            string
	Group         string
	Address       string
	FailureDomain string
	// Slots is how many statements it runs at once.
	Slots int
	// IsDraining is true once the endpoint has announced its end.
	IsDraining bool
	Role       Role
	// StartedUnixMS is the start of its process in Unix milliseconds, as it reports it.
	StartedUnixMS int64
}
