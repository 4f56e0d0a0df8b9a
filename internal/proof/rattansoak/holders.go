package rattansoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

const (
	// lossSpread is the longest pause between two steps of the loss of endpoints.
	lossSpread = 700 * time.Millisecond
	// absenceTime is how long lost endpoints are away at least, longer than the daemons use an
	// endpoint without an entry, and absenceSpread what is added at most.
	absenceTime   = 3 * time.Second
	absenceSpread = 2 * time.Second
	// restTime is how long the group is left alone between two losses.
	restTime = 1500 * time.Millisecond
	// primaryLimit is the time within which writes are served once all endpoints are back.
	primaryLimit = 15 * time.Second
)

// RunLosses runs writers while endpoints receive nothing, crash, lose their entries and come
// back in any order, with their logs, without them or as other endpoints. It checks the logs
// of the endpoints that were promoted meanwhile.
func RunLosses(fleet *Fleet, syncReplicas int, options Options) (Result, error) {
	r, random := &run{fleet: fleet}, rand.New(rand.NewPCG(options.Seed, callers+8))
	fleet.syncReplicas = syncReplicas
	fleet.group.SetSyncReplicas(syncReplicas)
	if err := fleet.configure(); err != nil {
		return r.result, err
	}
	if err := r.awaitService("start"); err != nil {
		return r.result, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for i := range callers {
		calling.Go(func() { r.writeOn(ctx, i) })
	}
	var err error
	for begun := time.Now(); err == nil && time.Since(begun) < options.Duration; {
		err = r.loseEndpoints(random)
	}
	if err == nil {
		err = r.awaitService("end")
	}
	cancel()
	calling.Wait()
	r.checkWrites()
	r.checkPromotes()
	return r.result, err
}

// writeOn writes at one daemon after the other.
func (r *run) writeOn(ctx context.Context, index int) {
	for n := 0; ctx.Err() == nil; n++ {
		c := &client{fleet: r.fleet, daemon: r.fleet.daemons[(index+n)%len(r.fleet.daemons)], database: "checkout"}
		for k := 0; k < 20 && ctx.Err() == nil; k++ {
			data := fmt.Sprintf("w%d.%d.%d", index, n, k)
			outcome := c.write(data, fmt.Sprint("item", index), data)
			r.record(outcome)
			time.Sleep(callerPause)
			if !outcome.isAcknowledged {
				break
			}
		}
		c.close()
	}
}

// loseEndpoints cuts some replicas off, crashes one or two endpoints, and brings them back
// after their entries have expired.
func (r *run) loseEndpoints(random *rand.Rand) error {
	f := r.fleet
	slots := []string{"e1", "e2", "e3"}
	random.Shuffle(len(slots), func(i, j int) { slots[i], slots[j] = slots[j], slots[i] })
	deaf, lost := slots[random.IntN(3):], slots[:1+random.IntN(2)]
	r.note("receive nothing: %v, lost: %v", deaf, lost)
	for _, slot := range deaf {
		f.endpoints[slot].SetDeaf(true)
	}
	pause(random, lossSpread)
	for _, slot := range lost {
		f.endpoints[slot].Crash()
		f.setUnlisted(slot, true)
	}
	for _, slot := range deaf {
		f.endpoints[slot].SetDeaf(false)
	}
	pause(random, lossSpread)
	for _, slot := range lost {
		f.store.Delete("servers/" + f.endpoints[slot].ID())
	}
	if err := r.meddle(random); err != nil {
		return err
	}
	time.Sleep(absenceTime)
	pause(random, absenceSpread)
	random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, slot := range lost {
		if err := r.comeBack(slot, random); err != nil {
			return err
		}
		pause(random, lossSpread)
	}
	return r.awaitPrimary()
}

// meddle does at random what makes daemons forget.
func (r *run) meddle(random *rand.Rand) error {
	f := r.fleet
	switch random.IntN(4) {
	case 0:
		r.note("all daemons are killed")
		for _, d := range f.daemons {
			if err := d.End(syscall.SIGKILL); err != nil {
				return err
			}
		}
		for _, d := range f.daemons {
			if err := d.Start(); err != nil {
				return err
			}
		}
	case 1:
		r.note("the store is away")
		f.store.SetDown(true)
		pause(random, absenceSpread)
		f.store.SetDown(false)
	case 2:
		d := f.randomDaemon(random)
		r.note("%s is killed", d.name)
		if err := d.End(syscall.SIGKILL); err != nil {
			return err
		}
		return d.Start()
	}
	return nil
}

// comeBack starts an endpoint again with its log, as another endpoint at its address, or, for
// a replica, without its log.
func (r *run) comeBack(slot string, random *rand.Rand) error {
	f := r.fleet
	endpoint := f.endpoints[slot]
	kind := random.IntN(3)
	isPrimary := f.group.Primary() == endpoint.ID()
	r.note("%s comes back, kind %d, primary %t", endpoint.ID(), kind, isPrimary)
	err := error(nil)
	switch {
	case kind == 0 && !isPrimary:
		err = endpoint.RestartEmpty()
	case kind == 1:
		var replacement *rattanlineserver.Endpoint
		if replacement, err = f.group.Replace(endpoint, endpoint.ID()+"x"); err == nil {
			f.mu.Lock()
			f.endpoints[slot] = replacement
			f.mu.Unlock()
		}
	default:
		err = endpoint.Restart()
	}
	if err != nil {
		return errors.Wrapf(err, "start %s", endpoint.ID())
	}
	f.setUnlisted(slot, false)
	return f.register()
}

// awaitPrimary waits until the group serves writes again, and then for a while.
func (r *run) awaitPrimary() error {
	before := r.acknowledged()
	for begun := time.Now(); r.acknowledged() == before; time.Sleep(callerPause) {
		if time.Since(begun) > primaryLimit {
			return errors.Errorf("no write was acknowledged within %s after all endpoints had come back", primaryLimit)
		}
	}
	time.Sleep(restTime)
	return nil
}

func (r *run) acknowledged() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result.Acknowledged
}

func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Faults = append(r.result.Faults, time.Now().Format(time.StampMilli)+" "+fmt.Sprintf(format, args...))
}

func (f *Fleet) setUnlisted(slot string, isUnlisted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlisted[slot] = isUnlisted
}

// checkPromotes reports promoted logs that lacked acknowledged commits which another endpoint
// held (LOST), and those with what an earlier term had left out (STALE).
func (r *run) checkPromotes() {
	var acknowledged []string
	for _, outcome := range r.records {
		if outcome.isAcknowledged {
			acknowledged = append(acknowledged, outcome.data)
		}
	}
	slices.Sort(acknowledged)
	for _, promoted := range r.fleet.group.Promotes() {
		lost := slices.DeleteFunc(slices.Clone(promoted.Missing), func(data string) bool {
			_, isAcknowledged := slices.BinarySearch(acknowledged, data)
			return !isAcknowledged
		})
		if r.fleet.syncReplicas > 0 && len(lost) > 0 {
			r.reportViolation("LOST: %s was promoted at %s without %d acknowledged writes that another endpoint held: %s",
				promoted.Endpoint, promoted.At.Format(time.StampMilli), len(lost), lost[0])
		}
		if len(promoted.BroughtBack) > 0 {
			r.reportViolation("STALE: %s was promoted at %s with %d writes that a term had left out: %s",
				promoted.Endpoint, promoted.At.Format(time.StampMilli), len(promoted.BroughtBack), promoted.BroughtBack[0])
		}
	}
}

func pause(random *rand.Rand, spread time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(spread))))
}
