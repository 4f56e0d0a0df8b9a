package rattansettings

// A Service is a name that callers use in requests to address a group.
type Service struct {
	name               string
	group              string
	acknowledgePrimary bool
}

func readService(r *sectionReader, team, name string) Service {
	return Service{
		name:               fullName(team, name),
		group:              fullName(team, r.nameValue("group", true)),
		acknowledgePrimary: r.choice("acknowledge", "majority", "majority", "primary") == "primary",
	}
}

// Name returns the service's full name.
func (s Service) Name() string { return s.name }

// Group returns the full name of the group that serves the service.
func (s Service) Group() string { return s.group }

// AcknowledgePrimary reports whether a write is acknowledged as soon as the primary
// alone has it. Such a write can be lost when the primary fails.
func (s Service) AcknowledgePrimary() bool { return s.acknowledgePrimary }
