package rattancatalog

// A Document is a configuration as its operator wrote it: with entries that a Catalog
// drops or merges.
type Document struct {
	Version  int64
	Routes   []Route
	Accounts []Account
	Groups   []Group
	Limits   Limits
	// LeftOut are the entries that cannot be used.
	LeftOut []LeftOutEntry
}

// A LeftOutEntry is an entry of a configuration that cannot be used.
type LeftOutEntry struct {
	// Entry is the kind and the name or place of the entry, such as "route 3".
	Entry string
	Err   error
}

// LeaveOut records that an entry cannot be used.
func (d *Document) LeaveOut(entry string, err error) {
	d.LeftOut = append(d.LeftOut, LeftOutEntry{Entry: entry, Err: err})
}

// Catalog returns the catalog of the document.
func (d Document) Catalog() *Catalog {
	catalog := New(d.Version, d.Routes, d.Accounts, d.Groups, d.Limits)
	catalog.leftOut = d.LeftOut
	return catalog
}
