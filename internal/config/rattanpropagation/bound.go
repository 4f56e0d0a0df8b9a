package rattanpropagation

import "time"

// Limit is the time from the store's acknowledgement of a change until every daemon that the
// store or other daemons reach has it, while one step on its way fails: a watch that hangs, or
// both daemons that watch the store for a failure domain. It is below the shortest limit that
// users set for a new version of the configuration, 3 s.
//
// It does not add up the steps. A daemon whose copy of the store is older than MaxAge asks
// others for changes, whatever its own sources do, so a change is missing for MaxAge, one
// SeekInterval and one round of questions at most.
const Limit = 2500 * time.Millisecond

// Times of the sources of changes.
const (
	// WatchWait is how long the store holds a watch without events, and WatchTimeout until when
	// the response must be there.
	WatchWait    = 1 * time.Second
	WatchTimeout = WatchWait + 600*time.Millisecond
	// FollowWait and FollowTimeout are the same for a request to a daemon that watches the
	// store. FollowWait is below half of a grant's lifetime, since each response also delegates
	// grants.
	FollowWait    = 400 * time.Millisecond
	FollowTimeout = FollowWait + 500*time.Millisecond
	// MaxAge is the age of a copy of the store from which a daemon seeks changes elsewhere, and
	// reads the state of the store in place of its changes. The copy of a daemon that follows
	// a sound watcher stays below it.
	MaxAge = WatchWait + FollowWait + 200*time.Millisecond
	// MaxSourceAge is the age of a daemon's copy from which it serves changes to others no
	// longer: they then turn to the store.
	MaxSourceAge = 4 * time.Second
)

// Questions to other daemons by one whose copy is behind.
const (
	// SeekInterval separates two rounds of questions to other daemons.
	SeekInterval = 250 * time.Millisecond
	// SeekPeers is how many daemons are asked in a round, SeekStagger how long the next one is
	// not asked while the one before may still answer.
	SeekPeers   = 3
	SeekStagger = 100 * time.Millisecond
	// SeekTimeout limits each question.
	SeekTimeout = 400 * time.Millisecond
)
