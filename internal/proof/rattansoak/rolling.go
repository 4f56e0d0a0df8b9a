package rattansoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// statementTime is how long a statement takes at its endpoint during planned work.
	statementTime = 20 * time.Millisecond
	// minRollGap and rollSpread define the pauses between the stops of two daemons. They are
	// shorter than a stop, so that stops overlap.
	minRollGap = 300 * time.Millisecond
	rollSpread = 2200 * time.Millisecond
	// repeatSpread is the longest pause between two SIGTERMs to one process.
	repeatSpread = 400 * time.Millisecond
	// awaySpread is the longest time that a daemon is away, earlySpread the longest time
	// after its start until it is stopped again.
	awaySpread  = 800 * time.Millisecond
	earlySpread = 500 * time.Millisecond
	// changeSpread is the longest pause between two changes of settings or configuration.
	changeSpread = 400 * time.Millisecond
)

// A callerKind is a way to use a daemon.
type callerKind struct {
	keepsSession bool
	// pause is the longest pause before each statement.
	pause time.Duration
	// texts are the statements of an operation, with DATA for what it writes.
	texts []string
}

var (
	transaction = []string{"BEGIN", "WRITE item DATA", "READ item", "COMMIT"}
	prepared    = []string{"PREPARE p READ shape", "EXECUTE p item", "EXECUTE p item", "DEALLOC p"}
	// steadyCallers are the callers of a daemon that always has sessions, sparseCallers
	// those of one that has none at times.
	steadyCallers = []callerKind{
		{true, 2 * callerPause, []string{"WRITE item DATA"}},
		{true, 2 * callerPause, prepared},
		{true, 8 * callerPause, transaction},
		{false, 2 * callerPause, []string{"READ item"}},
		{false, 2 * callerPause, []string{"WRITE item DATA"}},
		{false, 8 * callerPause, transaction},
	}
	sparseCallers = slices.Repeat([]callerKind{
		{false, 20 * callerPause, []string{"READ item"}},
		{false, 20 * callerPause, []string{"WRITE item DATA"}},
	}, 6)
)

// RunPlanned is Run with planned work only, in series that overlap. Each caller stays with
// its daemon.
func RunPlanned(fleet *Fleet, options Options) (Result, error) {
	seed, duration := options.Seed, options.Duration
	r, random := &run{fleet: fleet}, rand.New(rand.NewPCG(seed, callers+3))
	if err := r.awaitService("start"); err != nil {
		return r.result, err
	}
	for _, endpoint := range fleet.endpoints {
		endpoint.SetDelay(statementTime)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for _, d := range fleet.daemons {
		// A slow link is that to a distant store, which is no trouble.
		d.store.Set([]LinkState{Open, Open, Slow}[random.IntN(3)])
		for i, kind := range [][]callerKind{steadyCallers, sparseCallers}[random.IntN(2)] {
			own := awkward{random: rand.New(rand.NewPCG(random.Uint64(), 0)), isPlain: options.IsPlain}
			calling.Go(func() { r.callPlanned(ctx, d, kind, fmt.Sprintf("%s.%d", d.name, i), own) })
		}
	}
	changed := make(chan error, 1)
	go func() { changed <- r.change(rand.New(rand.NewPCG(seed, callers+4)), duration) }()
	err := r.rollStops(rand.New(rand.NewPCG(seed, callers+5)), duration)
	if changeErr := <-changed; err == nil {
		err = changeErr
	}
	if err == nil {
		err = r.restore()
	}
	return r.finish(err, cancel, &calling)
}

// change reloads settings and updates the configuration.
func (r *run) change(random *rand.Rand, duration time.Duration) error {
	for begun := time.Now(); time.Since(begun) < duration; sleepUpTo(random, changeSpread) {
		err := r.fleet.randomDaemon(random).Signal(syscall.SIGHUP)
		if err == nil && random.IntN(2) == 0 {
			err = r.fleet.configure()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// rollStops restarts the daemons in turn. A stop may begin before earlier ones have ended,
// also of the same daemon.
func (r *run) rollStops(random *rand.Rand, duration time.Duration) error {
	var stops int
	stopped := make(chan error)
	first := random.IntN(len(r.fleet.daemons))
	for begun := time.Now(); time.Since(begun) < duration; stops++ {
		d, own := r.fleet.daemons[(first+stops)%len(r.fleet.daemons)], rand.New(rand.NewPCG(random.Uint64(), 0))
		go func() { stopped <- r.stopAndStart(d, own) }()
		time.Sleep(minRollGap)
		sleepUpTo(random, rollSpread)
	}
	var err error
	for range stops {
		if stopErr := <-stopped; err == nil {
			err = stopErr
		}
	}
	return err
}

// stopAndStart restarts a daemon, at times with several SIGTERMs, and at times once more
// shortly after the start.
func (r *run) stopAndStart(d *Daemon, random *rand.Rand) error {
	for range 1 + random.IntN(4)/3 {
		signals := []int{1, 1, 1, 2, 3, 4}[random.IntN(6)]
		r.mu.Lock()
		r.result.Planned = append(r.result.Planned, fmt.Sprintf("%d SIGTERM to %s from %s", signals, d.name, time.Now().Format(time.StampMilli)))
		r.mu.Unlock()
		for range signals - 1 {
			if err := d.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			sleepUpTo(random, repeatSpread)
		}
		if err := d.End(syscall.SIGTERM); err != nil {
			return err
		}
		sleepUpTo(random, awaySpread)
		if err := d.Start(); err != nil {
			return err
		}
		sleepUpTo(random, earlySpread)
	}
	return nil
}

func sleepUpTo(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

// callPlanned runs one caller of a daemon until ctx ends.
func (r *run) callPlanned(ctx context.Context, d *Daemon, kind callerKind, name string, own awkward) {
	c := &client{fleet: r.fleet, daemon: d, database: []string{"checkout", "browse", "pick"}[own.random.IntN(3)]}
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		outcome := r.operate(c, kind, fmt.Sprintf("%s.%d", name, n), own)
		if slices.Contains(kind.texts, "WRITE item DATA") {
			r.record(outcome)
		} else if outcome.isAcknowledged {
			r.countRead()
		}
		if !kind.keepsSession || len(kind.texts) > 1 && !outcome.isAcknowledged {
			c.close()
		}
	}
}

// operate runs one operation until a statement fails.
func (r *run) operate(c *client, kind callerKind, name string, own awkward) record {
	data := own.text(name)
	outcome := record{data: data}
	for i, text := range kind.texts {
		sleepUpTo(own.random, kind.pause)
		got, err := c.query(own.word(fmt.Sprintf("%s-%d", name, i)), strings.ReplaceAll(text, "DATA", data))
		outcome = outcomeOf(data, got, err)
		if !outcome.isAcknowledged {
			outcome.isUncommitted = text != "COMMIT" && slices.Contains(kind.texts, "COMMIT")
			break
		}
	}
	return outcome
}
