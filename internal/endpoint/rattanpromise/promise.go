// Package rattanpromise keeps primary work going while the store is away for
// all. Nobody can mark a switch then, but one daemon cannot tell that from being
// turned away alone. So a daemon extends its grants for a moment when every
// daemon on the roll answers with the records that it knows: a switch that one of
// them has heard of is then known here. A switch waits for the daemons on the roll
// that have not stopped until the answers that they could rely on are over.
package rattanpromise

import "time"

const (
	// Term is how long an answer may be relied on, and so how long a switch waits
	// for a daemon that it cannot reach.
	Term = 1 * time.Second
	// Margin is kept back of each answer by those who rely on it, and added by
	// those who wait for it to pass.
	Margin = 100 * time.Millisecond
	// Limit is how long grants last at most after the daemon was last listed and
	// knew everything in the store, whoever answers.
	Limit = 10 * time.Second
)
