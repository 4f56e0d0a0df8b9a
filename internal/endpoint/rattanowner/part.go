package rattanowner

// A Role is what a daemon is for the connections to an endpoint.
type Role struct {
	// IsOwner is true for the owner. IsSettled is true when the endpoint no longer
	// counts connections of former owners.
	IsOwner, IsSettled bool
	// IsSuperseded is true for an owner that is likely to have a successor without
	// knowing: its registration has ended and the others forward nothing to it.
	IsSuperseded bool
	// IsRefused is true when the endpoint had too many connections lately.
	IsRefused bool
	// IsDeputy is true for the daemon that stands in for an owner that does not answer;
	// OwnerAnswers is whether the owner does, as far as this daemon knows.
	IsDeputy, OwnerAnswers bool
	// HasWaiting is true when statements wait for a connection at this daemon, which had
	// the part Before so far.
	HasWaiting bool
	Before     Part
}

// A Part is a daemon's part of the connections that an endpoint accepts.
type Part struct {
	// Connections may be held, Idle of them without a statement.
	Connections, Idle int
	// InFlight is how many statements may be in flight at once.
	InFlight int
	// IsKept is true when connections are kept for the next statements of their
	// accounts.
	IsKept bool
}

// HasDropped reports whether an endpoint that counts so many connections, of which a
// daemon holds its own, no longer counts those of a former owner. Counted is negative when
// the endpoint does not tell.
func (b ConnectionBudget) HasDropped(counted, own int) bool {
	return counted >= 0 && counted-own <= b.TakeoverConnections()
}

// Part returns the part of a daemon where connections are scarce. The owner has all but
// the reserve and the takeover part, which is that of a new owner, of the deputy and of a
// former owner that finishes its statements.
func (b ConnectionBudget) Part(role Role) Part {
	isOwner := role.IsOwner && !role.IsSuperseded
	isFinishing := role.HasWaiting && role.Before.Connections > b.FallbackConnections()
	if !isOwner && !role.IsDeputy && !isFinishing {
		return Part{Connections: b.FallbackConnections(), InFlight: b.FallbackConnections()}
	}
	part := Part{Connections: b.TakeoverConnections(), InFlight: b.InFlight()}
	switch {
	case isOwner && role.IsSettled && role.IsRefused:
		part.Connections = (b.TakeoverConnections() + b.OwnerConnections()) / 2
	case isOwner && role.IsSettled:
		part.Connections = b.OwnerConnections()
	}
	if isOwner || role.IsDeputy && !role.OwnerAnswers {
		part.IsKept, part.Idle = true, part.Connections
	}
	return part
}
