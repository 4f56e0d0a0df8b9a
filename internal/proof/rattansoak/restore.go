package rattansoak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 300 * time.Millisecond
	// restoreGap is the longest pause before a copy is made, and copyAge the greatest
	// age of a copy that is restored.
	restoreGap = 4 * time.Second
	copyAge    = 3 * time.Second
)

// restoreStore makes the store come back from older copies of itself, again and again.
// What the operator and the endpoints wrote is written again after each.
func (r *run) restoreStore(random *rand.Rand, duration time.Duration) error {
	for begun := time.Now(); time.Since(begun) < duration; {
		time.Sleep(time.Duration(random.Int64N(int64(restoreGap))))
		saved := r.fleet.store.Copy()
		age := time.Duration(random.Int64N(int64(copyAge)))
		r.mu.Lock()
		r.result.Planned = append(r.result.Planned, fmt.Sprintf("restore the store from %s before", age.Round(time.Millisecond)))
		r.mu.Unlock()
		time.Sleep(age)
		over := r.fleet.journal.recordTrouble()
		r.fleet.store.SetDown(true)
		time.Sleep(storeAway)
		r.fleet.store.Restore(saved)
		r.fleet.store.SetDown(false)
		if err := r.fleet.writeAgain(); err != nil {
			return errors.Wrap(err, "write again what the store has lost")
		}
		over()
	}
	return nil
}

// writeAgain writes what the operator and the endpoints have written.
func (f *Fleet) writeAgain() error {
	if err := f.register(); err != nil {
		return err
	}
	f.mu.Lock()
	for _, domain := range domains {
		if err := f.writeEvacuation(domain); err != nil {
			f.mu.Unlock()
			return err
		}
	}
	f.mu.Unlock()
	return f.configure()
}
