package rattancatalog

// A Role is the role that an endpoint reports for itself.
type Role int

// The roles of an endpoint.
const (
	PrimaryRole Role = iota + 1
	ReplicaRole
)

// An Endpoint is one database instance of a group, as it registered itself.
type Endpoint struct {
	ID            string
	Group         string
	Address       string
	FailureDomain string
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// IsDraining is true once the endpoint has announced that it will shut down.
	IsDraining bool
	Role       Role
	// StartedUnixMS is when the endpoint's process started, in Unix milliseconds, as
	// the endpoint reports it.
	StartedUnixMS int64
	// Heartbeat is the number of the endpoint's report that its entry holds. It rises
	// while the process runs.
	Heartbeat int64
}
