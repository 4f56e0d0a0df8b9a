package rattanshare

import "time"

// AbsenceTimeout is how long a VM that was never seen in the platform's VM list must
// be absent from it before it counts as terminated. The list lags behind, so a VM
// that has just started may not be in it yet.
const AbsenceTimeout = 10 * time.Minute

// A TerminationDetector finds the VMs that have certainly terminated, from the
// platform's VM list. It is not safe for concurrent use.
type TerminationDetector struct {
	// listed has each VM that was ever in the list, and whether it still is.
	listed map[string]bool
	// absent is the time at which a VM of the roster that was never listed was first
	// found to be absent.
	absent map[string]time.Time
	now    time.Time
}

// Observe records the platform's VM list, as read at now, and the VMs of the roster.
// Do not call it when reading the list failed.
func (d *TerminationDetector) Observe(now time.Time, listed, roster []string) {
	if d.listed == nil {
		d.listed = make(map[string]bool)
		d.absent = make(map[string]time.Time)
	}
	d.now = now
	for vm := range d.listed {
		d.listed[vm] = false
	}
	for _, vm := range listed {
		d.listed[vm] = true
		delete(d.absent, vm)
	}
	for _, vm := range roster {
		if _, seen := d.listed[vm]; seen {
			continue
		}
		if _, ok := d.absent[vm]; !ok {
			d.absent[vm] = now
		}
	}
}

// IsTerminated reports whether vm has certainly terminated, as of the last Observe: it
// was in the list and no longer is, or it has been absent for AbsenceTimeout.
func (d *TerminationDetector) IsTerminated(vm string) bool {
	if listed, seen := d.listed[vm]; seen {
		return !listed
	}
	since, ok := d.absent[vm]
	return ok && d.now.Sub(since) >= AbsenceTimeout
}
