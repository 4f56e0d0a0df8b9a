// Package rattanusage decides what a fleet reports as the usage of its client accounts:
// how the counts of many daemons become one report for each window of time, when a window
// is complete, and which content a report has once and for all. It does no input or
// output, takes the time as an argument, and its types are not safe for concurrent use.
package rattanusage

import "time"

// WindowAt returns the number of the window that contains a time: window k begins k
// times the length after the start of 1970.
func WindowAt(t time.Time, length time.Duration) int64 {
	since := t.UnixNano()
	window := since / int64(length)
	if since%int64(length) < 0 {
		window--
	}
	return window
}

// End returns the end of a window.
func End(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}
