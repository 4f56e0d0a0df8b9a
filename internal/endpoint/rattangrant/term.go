package rattangrant

// ObserveTerm records that an endpoint of a group was seen in a term. While that is newer
// than the term of the group's record, the daemon holds no grant for the group. It reports
// whether that has just begun.
func (g *Grants) ObserveTerm(group string, term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(group)
	if term <= e.newestTerm {
		return false
	}
	wasOutdated := e.isOutdated()
	e.newestTerm = term
	return !wasOutdated && e.isOutdated()
}

// NewestTerm returns the newest known term of a group, 0 if none is.
func (g *Grants) NewestTerm(group string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.entries[group]
	if !ok {
		return 0
	}
	return max(e.newestTerm, e.record.Term)
}

// OutdatedTerms returns the newest known term of each group whose record is older.
func (g *Grants) OutdatedTerms() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	terms := make(map[string]uint64)
	for group, e := range g.entries {
		if e.isOutdated() {
			terms[group] = e.newestTerm
		}
	}
	return terms
}
