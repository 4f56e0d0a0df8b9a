package rattansettings

// A Team owns one settings document.
type Team struct {
	name       string
	credential Hash
}

func readTeam(r *sectionReader, name string) Team {
	return Team{name: name, credential: r.hash("credential_sha256", true)}
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Credential returns the hash of the secret in the team's credential.
func (t Team) Credential() Hash { return t.credential }
