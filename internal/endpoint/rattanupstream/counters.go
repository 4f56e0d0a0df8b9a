package rattanupstream

// The names of the counters of connections.
const (
	// CountOpened counts connections that were opened for a statement.
	CountOpened = "connections_opened"
	// CountAhead counts connections that were opened before a statement needed them.
	CountAhead = "connections_ahead"
	// CountEvicted counts idle connections that were closed to make room for another.
	CountEvicted = "connections_evicted"
	// CountSurplus counts connections that were closed after use since they were above
	// a limit.
	CountSurplus = "connections_surplus"
	// CountDiscarded counts connections that were closed since they failed or their
	// state was unknown.
	CountDiscarded = "connections_discarded"
	// CountProbed counts connections that were opened to find out whether the endpoint
	// answers.
	CountProbed = "connections_probed"
	// CountNewerTerm counts answers that showed a newer term than that of the group's record.
	CountNewerTerm = "newer_terms"
	// CountControl counts connections for control requests.
	CountControl = "connections_control"
	// CountOverCap counts connections that the endpoint refused because it had too many.
	CountOverCap = "over_cap"
)
