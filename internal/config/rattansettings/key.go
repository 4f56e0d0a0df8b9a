package rattansettings

// A Key lets callers authenticate for a client account. Only the hash of its secret
// is stored.
type Key struct {
	id            string
	team          string
	clientAccount string
	hash          Hash
	withdrawn     bool
}

func readKey(r *sectionReader, team, id string) Key {
	return Key{
		id:            id,
		team:          team,
		clientAccount: fullName(team, r.nameValue("client_account", true)),
		hash:          r.hash("secret_sha256", true),
		withdrawn:     r.boolean("withdrawn", false),
	}
}

// ID returns the key's identifier, which is part of the key that callers send.
func (k Key) ID() string { return k.id }

// Name returns the key's full name, "<team>/<key id>". Two teams may use the
// same identifier.
func (k Key) Name() string { return fullName(k.team, k.id) }

// Team returns the name of the team that owns the key.
func (k Key) Team() string { return k.team }

// ClientAccount returns the full name of the key's client account.
func (k Key) ClientAccount() string { return k.clientAccount }

// Hash returns the hash of the key's secret.
func (k Key) Hash() Hash { return k.hash }

// Withdrawn reports whether the document marks the key as withdrawn.
func (k Key) Withdrawn() bool { return k.withdrawn }
