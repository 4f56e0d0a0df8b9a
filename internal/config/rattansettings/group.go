package rattansettings

// maxGroupEndpoints limits the size of a group because a promotion queries each of
// its endpoints.
const maxGroupEndpoints = 9

// A Group is one replicated database.
type Group struct {
	name      string
	endpoints []string
}

func readGroup(r *sectionReader, team, name string) Group {
	group := Group{name: fullName(team, name)}
	for _, endpoint := range r.names("endpoints", maxGroupEndpoints) {
		group.endpoints = append(group.endpoints, fullName(team, endpoint))
	}
	return group
}

// Name returns the group's full name.
func (g Group) Name() string { return g.name }

// Endpoints returns the full names of the group's endpoints. The caller must not
// change the slice.
func (g Group) Endpoints() []string { return g.endpoints }
