package rattansoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// callers is the number of callers of a run. Each is the only writer of one
	// counter.
	callers = 9
	// callerPause is the pause between two statements of a caller.
	callerPause = 15 * time.Millisecond
	// recoveryLimit is the time after the last fault within which every daemon must
	// serve writes again.
	recoveryLimit = 15 * time.Second
	// endedLogSize is how many bytes are shown of the log of a daemon that has ended.
	endedLogSize = 400
)

// A Result is the result of a run. The counts are those of writes by outcome, and of
// reads.
type Result struct {
	Acknowledged, Refused, InDoubt, Reads int
	// Usage is the number of requests in the accepted reports of usage, and Windows that of
	// their windows.
	Usage, Windows int
	// Unanswered are the statements, sent to daemons that got SIGTERM, without a whole
	// answer; PlannedInDoubt are those that were answered as in doubt. Both are counted
	// without unplanned trouble.
	Unanswered, PlannedInDoubt int
	// Faults are the injected faults, in order.
	Faults []string
	// Planned are the works that took endpoints or daemons out of service, in order, and
	// the restorations of the store.
	Planned []string
	// Violations are the violations of guarantees that were found.
	Violations []string
}

// A run is the state of one run.
type run struct {
	fleet    *Fleet
	counters []*counter

	mu      sync.Mutex
	result  Result
	records []record
	// lowReads are checked at the end, when the outcomes of all writes are known.
	lowReads []lowRead
}

// Run runs callers while injecting faults for duration, both randomly chosen from
// seed, and checks the outcomes that the callers saw.
func Run(fleet *Fleet, seed uint64, duration time.Duration) (Result, error) {
	r := &run{fleet: fleet}
	for i := range callers {
		r.counters = append(r.counters, &counter{item: fmt.Sprint("item", i)})
	}
	if err := r.awaitService("start"); err != nil {
		return r.result, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for i := range callers {
		calling.Go(func() { r.call(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	// The planned work and the restorations of the store have random numbers of their
	// own, so that they do not change the faults of a seed.
	others := make(chan error, 2)
	go func() { others <- r.plan(rand.New(rand.NewPCG(seed, callers+1)), duration) }()
	go func() { others <- r.restoreStore(rand.New(rand.NewPCG(seed, callers+2)), duration) }()
	err := r.inject(rand.New(rand.NewPCG(seed, callers)), duration)
	for range cap(others) {
		if otherErr := <-others; err == nil {
			err = otherErr
		}
	}
	return r.finish(err, cancel, &calling)
}

// finish waits until all daemons serve, unless the run has failed, ends the callers and
// checks what they saw.
func (r *run) finish(err error, cancel func(), calling *sync.WaitGroup) (Result, error) {
	if err == nil {
		err = r.awaitService("end")
	}
	cancel()
	calling.Wait()
	r.checkWrites()
	r.checkReads()
	r.checkLateStatements()
	r.checkAnswers()
	r.checkProcesses()
	r.checkUsage()
	return r.result, err
}

// inject begins faults at random times until duration has passed, and waits for the
// end of all of them. Faults may overlap.
func (r *run) inject(random *rand.Rand, duration time.Duration) error {
	kinds := faults()
	var ends sync.WaitGroup
	failed := make(chan error, 1)
	reportError := func(err error) {
		if err != nil {
			select {
			case failed <- err:
			default:
			}
		}
	}
	for begun := time.Now(); time.Since(begun) < duration; {
		time.Sleep(time.Duration(random.Int64N(int64(faultGap))))
		kind := kinds[random.IntN(len(kinds))]
		over := func() {}
		if !kind.isPlanned {
			over = r.fleet.journal.recordTrouble()
		}
		end, err := kind.begin(r.fleet, random)
		reportError(errors.Wrap(err, kind.name))
		lasts := time.Duration(random.Int64N(int64(faultTime)))
		r.result.Faults = append(r.result.Faults, fmt.Sprintf("%s for %s", kind.name, lasts.Round(time.Millisecond)))
		ends.Go(func() {
			defer over()
			time.Sleep(lasts)
			reportError(errors.Wrap(end(), kind.name))
		})
	}
	ends.Wait()
	return r.restore(failed)
}

// restore makes sure that no fault remains, and returns the first error of the
// injection.
func (r *run) restore(failed <-chan error) error {
	select {
	case err := <-failed:
		return err
	default:
	}
	r.fleet.store.SetDown(false)
	for _, endpoint := range r.fleet.endpoints {
		endpoint.LoseAnswers(0)
	}
	for _, d := range r.fleet.daemons {
		if err := d.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitService waits until each daemon has acknowledged a write.
func (r *run) awaitService(when string) error {
	for _, d := range r.fleet.daemons {
		c := &client{fleet: r.fleet, daemon: d, database: "checkout"}
		begun := time.Now()
		for n := 0; ; n++ {
			data := fmt.Sprintf("%s.%s.%d", when, d.name, n)
			outcome := c.write(data, "service", data)
			r.record(outcome)
			if outcome.isAcknowledged {
				break
			}
			if d.hasEnded() {
				log := d.Log()
				return errors.Errorf("%s: %s has ended: %s", when, d.name, log[max(0, len(log)-endedLogSize):])
			}
			if time.Since(begun) > recoveryLimit {
				return errors.Errorf("%s: %s acknowledged no write within %s", when, d.name, recoveryLimit)
			}
			time.Sleep(callerPause)
		}
		c.close()
	}
	return nil
}

func (r *run) record(outcome record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, outcome)
	switch {
	case outcome.isAcknowledged:
		r.result.Acknowledged++
	case outcome.isRefused:
		r.result.Refused++
	default:
		r.result.InDoubt++
	}
}

func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

// call runs one caller, which writes its own counter and reads all counters.
func (r *run) call(ctx context.Context, index int, random *rand.Rand) {
	own := r.counters[index]
	database := []string{"checkout", "browse", "pick"}[index%3]
	c := &client{fleet: r.fleet, daemon: r.fleet.randomDaemon(random), database: database}
	defer c.close()
	sessionValue := 0
	for n := 1; ctx.Err() == nil; n++ {
		wasOpen := c.conn != nil
		id := fmt.Sprintf("c%d-%d", index, n)
		if random.IntN(3) == 0 {
			outcome := c.write(id, own.item, fmt.Sprintf("%d.%d", index, n))
			r.record(outcome)
			if outcome.isAcknowledged {
				own.acknowledge(n)
				sessionValue = n
			}
		} else {
			r.readOne(c, id, r.counters[random.IntN(callers)], own, sessionValue)
		}
		if c.conn == nil {
			sessionValue = 0
			if wasOpen || random.IntN(4) == 0 {
				c.daemon = r.fleet.randomDaemon(random)
			}
		}
		time.Sleep(callerPause)
	}
}

// readOne reads a counter and checks the value against the guarantee of the route:
// no acknowledged write may be missing, except for the staleness that the route
// allows. Within a session, the pick route also returns the session's own writes.
func (r *run) readOne(c *client, id string, read, own *counter, sessionValue int) {
	begun := time.Now()
	minimum := read.newestBefore(begun)
	if c.database != "checkout" {
		minimum = read.newestBefore(begun.Add(-maxStaleness))
	}
	if read == own && c.database == "pick" {
		minimum = max(minimum, sessionValue)
	}
	value, ok := c.read(id, read.item)
	if !ok {
		return
	}
	r.mu.Lock()
	r.result.Reads++
	r.mu.Unlock()
	if value < minimum {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lowReads = append(r.lowReads, lowRead{
			data: fmt.Sprintf("%s.%d", strings.TrimPrefix(read.item, "item"), value),
			text: fmt.Sprintf("read %s of %s on %s at %s returned %d, at least %d was acknowledged", id, read.item, c.database, c.daemon.name, value, minimum),
		})
	}
}

// A lowRead is a read that returned less than the minimum value that the guarantee of
// its route allows. data identifies the write whose value was read.
type lowRead struct {
	data, text string
}

// checkReads reports low reads as violations unless the value is that of a write with
// an unknown outcome. Such a write may take effect after later ones, for example if
// the daemon that was about to run it was suspended.
func (r *run) checkReads() {
	hasUnknownOutcome := make(map[string]bool)
	for _, outcome := range r.records {
		hasUnknownOutcome[outcome.data] = !outcome.isAcknowledged && !outcome.isRefused
	}
	for _, read := range r.lowReads {
		if !hasUnknownOutcome[read.data] {
			r.reportViolation("%s", read.text)
		}
	}
}

// checkWrites compares the outcomes that callers saw with the writes that took
// effect. It also ends the daemons, and checks that endpoints received no other client
// account and that no log contains the key.
func (r *run) checkWrites() {
	for _, outcome := range r.records {
		runs := r.fleet.group.Runs(outcome.data)
		switch {
		case runs > 1:
			r.reportViolation("write %s took effect %d times", outcome.data, runs)
		case outcome.isAcknowledged && runs == 0:
			r.reportViolation("write %s was acknowledged but did not take effect", outcome.data)
		case outcome.isRefused && runs > 0:
			r.reportViolation("write %s was refused as not run but took effect", outcome.data)
		}
	}
	for id, endpoint := range r.fleet.endpoints {
		for tenant := range endpoint.Tenants() {
			if tenant != account && tenant != "-" {
				r.reportViolation("endpoint %s received the client account %q", id, tenant)
			}
		}
	}
	for _, d := range r.fleet.daemons {
		if err := d.End(syscall.SIGKILL); err != nil {
			r.reportViolation("end %s: %v", d.name, err)
		}
		if strings.Contains(d.Log(), key) {
			r.reportViolation("log of %s contains the caller's key", d.name)
		}
	}
}
