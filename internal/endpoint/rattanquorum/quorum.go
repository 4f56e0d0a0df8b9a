// Package rattanquorum decides when daemons may continue to send primary operations
// while no daemon can reach the store. No switchover can begin then, but a single
// daemon cannot tell this from being the only one without access to the store. So a
// daemon extends its grants for a short time when all members, less a tolerated
// number, answer with the primary records that they know.
//
// A switchover waits for the members that have not confirmed that they stopped, until
// more members than the tolerated number have stopped. Every later quorum then
// includes one that knows of the switchover, and the answers from before it have
// expired.
package rattanquorum

import "time"

const (
	// AnswerLifetime is how long an answer extends grants, and so how long a
	// switchover waits for a daemon that it cannot reach.
	AnswerLifetime = 1 * time.Second
	// Margin is subtracted from the lifetime of an answer by daemons that extend their
	// grants, and added to it by a switchover that waits for its end.
	Margin = 100 * time.Millisecond
	// MaxLifetime is how long grants last at most after the daemon last renewed its
	// lease and was last synced with the store, however many members answer.
	MaxLifetime = 12 * time.Second
)

const (
	// minTolerantSize is the smallest membership of which a daemon may be missing.
	minTolerantSize = 4
	// toleranceDivisor gives the part of the members that may be missing. A quarter
	// covers one failure domain out of five and some more daemons.
	toleranceDivisor = 4
)

// Tolerated returns how many members of a membership of the given size may be missing
// from a quorum.
func Tolerated(size int) int {
	if size < minTolerantSize {
		return 0
	}
	return max(1, size/toleranceDivisor)
}

// requiredWitnesses returns how many members must have stopped for a switchover so
// that every quorum includes at least one of them, a witness. Another daemon's
// membership may be so much larger than this one that it tolerates one daemon more,
// see CanRemove.
func requiredWitnesses(size int) int {
	if size < minTolerantSize {
		return 1
	}
	return Tolerated(size) + 2
}
