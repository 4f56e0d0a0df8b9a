package rattancatalog

// A Document is a configuration as its operator wrote it: with entries that a Catalog
// drops or merges.
type Document struct {
	Version  int64
	Routes   []Route
	Accounts []Account
	Groups   []Group
	Limits   Limits
}

// Catalog returns the catalog of the document.
func (d Document) Catalog() *Catalog {
	return New(d.Version, d.Routes, d.Accounts, d.Groups, d.Limits)
}
