package rattansoak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// A fault is a kind of fault that can be injected into a fleet. The function that
// begin returns ends it.
type fault struct {
	name string
	// isPlanned is true if the rules let the callers notice nothing: work of an operator, and
	// a store that keeps its history for a shorter time.
	isPlanned bool
	begin     func(f *Fleet, r *rand.Rand) (end func() error, err error)
}

func noop() error { return nil }

// faults returns the kinds of faults. A run picks from them at random by index, so
// their order is part of what a seed determines.
func faults() []fault {
	return []fault{
		{"kill a daemon", false, func(f *Fleet, r *rand.Rand) (func() error, error) {
			d := f.randomDaemon(r)
			return d.Start, d.End(syscall.SIGKILL)
		}},
		{"stop a daemon", true, func(f *Fleet, r *rand.Rand) (func() error, error) {
			d := f.randomDaemon(r)
			return func() error {
				if err := d.End(syscall.SIGTERM); err != nil {
					return err
				}
				return d.Start()
			}, nil
		}},
		{"suspend a daemon", false, func(f *Fleet, r *rand.Rand) (func() error, error) {
			d := f.randomDaemon(r)
			resumed := f.recordSuspension()
			return func() error {
				defer resumed()
				return d.Signal(syscall.SIGCONT)
			}, d.Signal(syscall.SIGSTOP)
		}},
		{"reload a daemon", true, func(f *Fleet, r *rand.Rand) (func() error, error) {
			return noop, f.randomDaemon(r).Signal(syscall.SIGHUP)
		}},
		{"store unavailable", false, func(f *Fleet, _ *rand.Rand) (func() error, error) {
			f.store.SetDown(true)
			return func() error { f.store.SetDown(false); return nil }, nil
		}},
		{"store forgets its history", true, func(f *Fleet, _ *rand.Rand) (func() error, error) {
			f.store.Forget()
			return noop, nil
		}},
		{"configuration updated", true, func(f *Fleet, _ *rand.Rand) (func() error, error) {
			return noop, f.configure()
		}},
		{"daemon's store link impaired", false, func(f *Fleet, r *rand.Rand) (func() error, error) {
			return impair(f.randomDaemon(r).store, r)
		}},
		{"endpoint link impaired", false, func(f *Fleet, r *rand.Rand) (func() error, error) {
			return impair(f.links[f.randomEndpoint(r)], r)
		}},
		{"endpoint connections reset", false, func(f *Fleet, r *rand.Rand) (func() error, error) {
			f.links[f.randomEndpoint(r)].Reset()
			return noop, nil
		}},
		{"endpoint loses responses", false, func(f *Fleet, r *rand.Rand) (func() error, error) {
			// Answers may be lost until the end of the injection.
			f.journal.recordTrouble()
			f.endpoints[f.randomEndpoint(r)].LoseAnswers(1 + r.IntN(5))
			return noop, nil
		}},
	}
}

const (
	// minAnswerShare and answerSpread are the smallest share of an endpoint's answers that go
	// wrong while a fault lasts, and what is added at most.
	minAnswerShare, answerSpread = 0.1, 0.4
	// slowSpread is the longest time that a statement takes at a slow endpoint.
	slowSpread = 50 * time.Millisecond
)

// answerFaults returns the kinds of wrong answers of endpoints. At a slow one, a repeated answer
// more often arrives while a later request waits.
func answerFaults() []fault {
	return []fault{
		answerFault("endpoint repeats answers", false, func(f *rattanlineserver.AnswerFaults) *float64 { return &f.Repeated }),
		answerFault("endpoint cuts answers off", false, func(f *rattanlineserver.AnswerFaults) *float64 { return &f.Cut }),
		answerFault("endpoint splits answers", true, func(f *rattanlineserver.AnswerFaults) *float64 { return &f.Split }),
		answerFault("endpoint refuses requests", false, func(f *rattanlineserver.AnswerFaults) *float64 { return &f.Refused }),
		{"endpoint is slow", true, func(f *Fleet, r *rand.Rand) (func() error, error) {
			endpoint := f.endpoints[f.randomEndpoint(r)]
			endpoint.SetDelay(time.Duration(r.Int64N(int64(slowSpread))))
			return func() error { endpoint.SetDelay(0); return nil }, nil
		}},
	}
}

// answerFault returns the fault that raises a share at one endpoint.
func answerFault(name string, isPlanned bool, share func(*rattanlineserver.AnswerFaults) *float64) fault {
	return fault{name, isPlanned, func(f *Fleet, r *rand.Rand) (func() error, error) {
		id, added, seed := f.randomEndpoint(r), minAnswerShare+answerSpread*r.Float64(), r.Uint64()
		change := func(by float64) {
			f.mu.Lock()
			defer f.mu.Unlock()
			faults := f.answerFaults[id]
			*share(&faults) += by
			f.answerFaults[id] = faults
			f.endpoints[id].SetAnswerFaults(faults, seed)
		}
		change(added)
		return func() error { change(-added); return nil }, nil
	}}
}

// impair makes a link slow, unresponsive, or drop responses.
func impair(link *Link, r *rand.Rand) (func() error, error) {
	link.Set([]LinkState{Slow, Silent, DropAnswers}[r.IntN(3)])
	return func() error { link.Set(Open); return nil }, nil
}

func (f *Fleet) randomDaemon(r *rand.Rand) *Daemon { return f.daemons[r.IntN(len(f.daemons))] }

func (f *Fleet) randomEndpoint(r *rand.Rand) string { return []string{"e1", "e2", "e3"}[r.IntN(3)] }

// faultGap is the longest pause between the beginnings of two faults, and
// faultTime the longest duration of one. With these values faults occur both one
// after another and at the same time.
const (
	faultGap  = 900 * time.Millisecond
	faultTime = 2500 * time.Millisecond
)
