package rattanswitchover

// hasCaughtUp reports whether an endpoint other than the old primary, which is not
// draining, holds all that the old primary holds.
func hasCaughtUp(statuses []Status, oldPrimary Status) bool {
	for _, status := range statuses {
		if status.Endpoint.ID != oldPrimary.Endpoint.ID && !status.Endpoint.IsDraining && status.Received.Compare(oldPrimary.Received) >= 0 {
			return true
		}
	}
	return false
}

// newestTerm returns the highest term that an endpoint is in or has in its log.
func newestTerm(statuses []Status) uint64 {
	var term uint64
	for _, status := range statuses {
		term = max(term, status.Term, status.Received.Term)
	}
	return term
}

func find(statuses []Status, id string) (Status, bool) {
	for _, status := range statuses {
		if status.Endpoint.ID == id {
			return status, true
		}
	}
	return Status{}, false
}
