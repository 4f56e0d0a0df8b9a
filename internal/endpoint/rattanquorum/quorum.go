// Package rattanquorum keeps primary work going while the store is away for
// all. Nobody can mark a switch then, but one daemon cannot tell that from being
// turned away alone. So a daemon extends its grants for a moment when the daemons
// on the roll, less a few, answer with the records that they know. A switch waits
// for the daemons on the roll that have not stopped until more than those few have
// heard of it, so that one of them must be asked, and the answers from before are
// over.
package rattanquorum

import "time"

const (
	// AnswerLifetime is how long an answer may be relied on, and so how long a switch waits
	// for a daemon that it cannot reach.
	AnswerLifetime = 1 * time.Second
	// Margin is kept back of each answer by those who rely on it, and added by
	// those who wait for it to pass.
	Margin = 100 * time.Millisecond
	// MaxLifetime is how long grants last at most after the daemon was last listed and
	// knew everything in the store, whoever answers.
	MaxLifetime = 12 * time.Second
)

const (
	// minTolerant is the size of a roll from which a daemon may be missing.
	minTolerant = 4
	// tolerance is the part of a roll that may be missing, as a divisor: a failure
	// domain out of five, and some more.
	tolerance = 4
)

// Tolerated returns how many daemons on a roll of a size may be missing.
func Tolerated(size int) int {
	if size < minTolerant {
		return 0
	}
	return max(1, size/tolerance)
}

// witnesses returns how many daemons must have stopped, so that one of them is
// among those that answer. The roll of another daemon may be larger than this one
// by as many as one tolerated daemon, see CanRemove.
func witnesses(size int) int {
	if size < minTolerant {
		return 1
	}
	return Tolerated(size) + 2
}
