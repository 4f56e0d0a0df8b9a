package rattandaemon

// domainLoad returns the work on the endpoints of a failure domain.
func (d *Daemon) domainLoad(failureDomain string) (running, started uint32) {
	for _, endpoint := range d.endpoints.All() {
		if endpoint.Settings().FailureDomain() != failureDomain {
			continue
		}
		running += uint32(endpoint.Running())
		started += uint32(endpoint.Started())
	}
	return running, started
}
