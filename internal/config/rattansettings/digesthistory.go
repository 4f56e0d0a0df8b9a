package rattansettings

// maxDigests covers the changes of a busy minute. The digest of a daemon that is
// further behind is treated as unknown.
const maxDigests = 64

// A DigestHistory maps the digests of the latest snapshots to the revisions of their
// documents. With it, a daemon derives from another daemon's digest which revisions
// are in force there. It keeps only the revisions because snapshots are large. It is
// not safe for concurrent use.
type DigestHistory struct {
	entries []digestEntry
}

type digestEntry struct {
	digest    uint64
	revisions map[string]uint64
}

// Add records a snapshot that is in force on this daemon.
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
// team's document, or a later one, in force. It returns false for an unknown digest.
func (h *DigestHistory) InForce(digest uint64, team string, revision uint64) bool {
	for _, entry := range h.entries {
		if entry.digest == digest {
			return entry.revisions[team] >= revision
		}
	}
	return false
}
