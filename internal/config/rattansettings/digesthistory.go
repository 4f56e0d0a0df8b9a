package rattansettings

// maxDigests covers the changes of a busy minute; a daemon that lags further
// counts as not known.
const maxDigests = 64

// A DigestHistory remembers the digests of the last snapshots, so that another
// daemon's digest tells which revisions it has in force. It keeps the revisions
// and not the snapshots, which are large. It is not safe for concurrent use.
type DigestHistory struct {
	entries []digestEntry
}

type digestEntry struct {
	digest    uint64
	revisions map[string]uint64
}

// Add remembers a snapshot that was in force here.
func (h *DigestHistory) Add(snapshot *Snapshot) {
	entry := digestEntry{digest: snapshot.digest, revisions: make(map[string]uint64, len(snapshot.documents))}
	for team, document := range snapshot.documents {
		entry.revisions[team] = document.revision
	}
	h.entries = append(h.entries, entry)
	if len(h.entries) > maxDigests {
		h.entries = h.entries[1:]
	}
}

// InForce reports whether a daemon with that digest has the revision of the
// team's document, or a later one, in force. It is false for an unknown digest.
func (h *DigestHistory) InForce(digest uint64, team string, revision uint64) bool {
	for _, entry := range h.entries {
		if entry.digest == digest {
			return entry.revisions[team] >= revision
		}
	}
	return false
}
