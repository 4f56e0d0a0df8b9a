package rattandrain

// A Candidate is an endpoint of a group.
type Candidate struct {
	ID string
	// IsLeaving is true when the endpoint drains or is evacuated.
	IsLeaving bool
	// AcceptsNew is true while the endpoint may get new statements.
	AcceptsNew bool
	// Answers is true unless the endpoint counts as unreachable.
	Answers bool
}

// Usable returns the ids of a group's endpoints that may get new reads. Endpoints that
// go out of service are used only while none of the others answers: until its limit,
// the last endpoint of a group serves better than none.
func Usable(candidates []Candidate) []string {
	var ids, leaving []string
	isServed := false
	for _, c := range candidates {
		switch {
		case !c.IsLeaving:
			ids = append(ids, c.ID)
			isServed = isServed || c.Answers
		case c.AcceptsNew:
			leaving = append(leaving, c.ID)
		}
	}
	if isServed {
		return ids
	}
	return append(ids, leaving...)
}
