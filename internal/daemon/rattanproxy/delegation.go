package rattanproxy

import "time"

// delegationMargin is subtracted from the time for which another daemon delegates grants.
const delegationMargin = 20 * time.Millisecond

// encodeGrantTime encodes for how long grants are delegated. The end may have passed since it
// was looked up.
func encodeGrantTime(until, now time.Time) uint32 {
	return uint32(max(until.Sub(now), 0).Milliseconds())
}

// delegatedTime returns for how long a response delegates grants. No lease lasts longer than
// grantLifetime, so a longer time is no delegation.
func delegatedTime(grantMS uint32) time.Duration {
	granted := time.Duration(grantMS) * time.Millisecond
	if granted > grantLifetime {
		return 0
	}
	return max(0, granted-delegationMargin)
}
