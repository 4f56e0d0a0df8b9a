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

// Options are the options of a run.
type Options struct {
	// Seed determines the callers' statements and the faults.
	Seed     uint64
	Duration time.Duration
	// IsPlain is true for data and names of letters and digits only.
	IsPlain bool
	// HasOnlyAnswerFaults is true for a run without other faults than wrong answers of the
	// endpoints.
	HasOnlyAnswerFaults bool
}

// Run runs callers while injecting faults, both randomly chosen, and checks the outcomes that
// the callers saw.
func Run(fleet *Fleet, options Options) (Result, error) {
	r, seed, duration := &run{fleet: fleet}, options.Seed, options.Duration
	names := awkward{random: rand.New(rand.NewPCG(seed, callers+6)), isPlain: options.IsPlain}
	for i := range callers {
		r.counters = append(r.counters, &counter{item: names.word(fmt.Sprint("item", i))})
	}
	if err := r.awaitService("start"); err != nil {
		return r.result, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		calling.Go(func() { r.newCaller(i, random, options.IsPlain).call(ctx) })
	}
	answers := rand.New(rand.NewPCG(seed, callers+7))
	if options.HasOnlyAnswerFaults {
		return r.finish(r.inject(answerFaults(), answers, duration), cancel, &calling)
	}
	// The planned work, the restorations of the store and the wrong answers have random
	// numbers of their own, so that they do not change the other faults of a seed.
	others := make(chan error, 3)
	go func() { others <- r.inject(answerFaults(), answers, duration) }()
	go func() { others <- r.plan(rand.New(rand.NewPCG(seed, callers+1)), duration) }()
	go func() { others <- r.restoreStore(rand.New(rand.NewPCG(seed, callers+2)), duration) }()
	err := r.inject(faults(), rand.New(rand.NewPCG(seed, callers)), duration)
	for range cap(others) {
		if otherErr := <-others; err == nil {
			err = otherErr
		}
	}
	if err == nil {
		err = r.restore()
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
	for _, violation := range r.fleet.judge.checkArrivals(r.fleet.group.Arrivals()) {
		r.reportViolation("%s", violation)
	}
	r.checkReads()
	r.checkLateStatements()
	r.checkAnswers()
	r.checkProcesses()
	r.checkUsage()
	return r.result, err
}

// inject begins faults at random times until duration has passed, and waits for the
// end of all of them. Faults may overlap. It returns the first error.
func (r *run) inject(kinds []fault, random *rand.Rand, duration time.Duration) error {
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
		r.mu.Lock()
		r.result.Faults = append(r.result.Faults, fmt.Sprintf("%s for %s", kind.name, lasts.Round(time.Millisecond)))
		r.mu.Unlock()
		ends.Go(func() {
			defer over()
			time.Sleep(lasts)
			reportError(errors.Wrap(end(), kind.name))
		})
	}
	ends.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// restore makes sure that no fault remains.
func (r *run) restore() error {
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

// checkWrites compares the outcomes that callers saw with the writes that took
// effect. It also ends the daemons, and checks that endpoints received no other client
// account and that no log contains the key.
func (r *run) checkWrites() {
	for _, outcome := range r.records {
		runs := r.fleet.group.Runs(outcome.data)
		switch {
		case runs > 1:
			r.reportViolation("TWICE: write %q took effect %d times", outcome.data, runs)
		case outcome.isAcknowledged && runs == 0:
			r.reportViolation("MIXED: write %q was acknowledged but did not take effect", outcome.data)
		case outcome.isUncommitted && runs > 0:
			r.reportViolation("UNASKED: write %q took effect without a COMMIT of its caller", outcome.data)
		case outcome.isRefused && runs > 0:
			r.reportViolation("REFUSED: write %q was refused as not run but took effect", outcome.data)
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
