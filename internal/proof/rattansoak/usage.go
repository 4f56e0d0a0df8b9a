package rattansoak

import "maps"

// usageTolerance is the usage_tolerance of the users' site.
const usageTolerance = 0.05

// checkUsage checks the reports of usage that the platform has accepted: each window has
// one content, and together they do not have more requests than the endpoints began to
// run. They may have less: those of killed daemons, and of the last windows.
func (r *run) checkUsage() {
	accepted := make(map[int64]map[string]uint64)
	for _, report := range r.fleet.store.UsageReports() {
		before, isRepeat := accepted[report.Window]
		if isRepeat && !maps.Equal(before, report.Counts) {
			r.reportViolation("window %d is reported as %v after %v", report.Window, report.Counts, before)
		}
		accepted[report.Window] = report.Counts
	}
	var reported uint64
	for _, counts := range accepted {
		for _, requests := range counts {
			reported += requests
		}
	}
	r.result.Usage, r.result.Windows = int(reported), len(accepted)
	if started := r.fleet.group.Started(); float64(reported) > (1+usageTolerance)*float64(started) {
		r.reportViolation("%d requests are reported, %d began to run", reported, started)
	}
}
