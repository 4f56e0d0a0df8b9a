package rattansettings

// A FailureDomain is a zone that can fail or be drained as a whole.
type FailureDomain struct {
	name    string
	region  string
	drained bool
}

func readFailureDomain(r *sectionReader, name string) FailureDomain {
	return FailureDomain{
		name:    name,
		region:  r.nameValue("region", true),
		drained: r.boolean("drained", false),
	}
}

// Name returns the failure domain's name, which has no team prefix.
func (d FailureDomain) Name() string { return d.name }

// Region returns the region that the failure domain is in.
func (d FailureDomain) Region() string { return d.region }

// Drained reports whether operators have drained the failure domain.
func (d FailureDomain) Drained() bool { return d.drained }
