package rattansoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattanfanout"
	"github.com/rattanstream/rattanstream/platform/platformtest"
)

const (
	// configApplyLimit is the users' config_apply_ms where daemons follow others: a later request
	// must not be handled as only an older version allows.
	configApplyLimit = 5 * time.Second
	// contactTime is how long a daemon must have run without impairment for that.
	contactTime = 5 * time.Second
	// versionPause is the longest pause between two versions of the configuration.
	versionPause = 200 * time.Millisecond
	// versionAccounts makes a version about as large as that of a deployment.
	versionAccounts = 150
	// versionKeys is how many of the last versions' keys a version holds.
	versionKeys = 120
	// probePause separates two probes of a daemon.
	probePause = 200 * time.Millisecond
	// impairmentTime is the longest impairment, impairmentPause the longest pause before the next.
	impairmentTime  = 8 * time.Second
	impairmentPause = time.Second
)

// A version is a version of the configuration that the store has acknowledged.
type version struct {
	number int
	at     time.Time
}

// versionKey returns the key that a version adds.
func versionKey(number int) string { return fmt.Sprint("key-of-version-", number) }

// A propagationRun writes versions and checks when each daemon uses them.
type propagationRun struct {
	fleet *Fleet

	mu       sync.Mutex
	versions []version
	// impaired is when each daemon was impaired last; the zero time stands for now.
	impaired map[*Daemon]time.Time
	result   PropagationResult
}

// A PropagationResult is the result of RunPropagation.
type PropagationResult struct {
	Versions, Probes int
	Faults           []string
	Violations       []string
}

// RunPropagation writes versions of the configuration while daemons, among them both that watch
// the store for a failure domain, are cut off from the store, slowed, suspended and killed. It
// checks that daemons without such trouble use each version in time.
func RunPropagation(fleet *Fleet, seed uint64, duration time.Duration) (PropagationResult, error) {
	r := &propagationRun{fleet: fleet, impaired: make(map[*Daemon]time.Time)}
	started := time.Now()
	for _, d := range fleet.daemons {
		r.impaired[d] = started
		d.store.Set(Narrow)
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration+contactTime+configApplyLimit)
	defer cancel()
	errs := make(chan error, 2)
	go func() { errs <- r.writeVersions(ctx, rand.New(rand.NewPCG(seed, 1))) }()
	go func() { errs <- r.impair(rand.New(rand.NewPCG(seed, 2)), started.Add(duration)) }()
	var probing sync.WaitGroup
	for _, d := range fleet.daemons {
		probing.Go(func() { r.probe(ctx, d) })
	}
	probing.Wait()
	err := <-errs
	if other := <-errs; err == nil {
		err = other
	}
	r.result.Versions = len(r.versions)
	return r.result, err
}

func (r *propagationRun) writeVersions(ctx context.Context, random *rand.Rand) error {
	for number := 2; ctx.Err() == nil; number++ {
		keys := []string{key}
		for n := max(2, number-versionKeys); n <= number; n++ {
			keys = append(keys, versionKey(n))
		}
		config := platformtest.Config{
			Version: number, Account: account, Keys: keys, MoreAccounts: versionAccounts, Rate: 5000, Connections: 40,
			Timeout: routeTimeout, Objective: 200 * time.Millisecond, Staleness: maxStaleness,
		}
		if err := r.fleet.store.Put(platformtest.ConfigKey, config.Entry()); err != nil {
			return err
		}
		r.mu.Lock()
		r.versions = append(r.versions, version{number, time.Now()})
		r.mu.Unlock()
		pause(random, versionPause)
	}
	return nil
}

// impair impairs daemons until a time, one group of them after the other.
func (r *propagationRun) impair(random *rand.Rand, until time.Time) error {
	for time.Now().Before(until) {
		group := r.randomGroup(random)
		kind := random.IntN(len(impairments))
		r.noteImpaired(impairments[kind].name, group, true)
		for _, d := range group {
			if err := impairments[kind].begin(d); err != nil {
				return err
			}
		}
		if random.IntN(3) == 0 {
			r.fleet.store.Forget()
		}
		pause(random, impairmentTime)
		for _, d := range group {
			if err := impairments[kind].end(d); err != nil {
				return err
			}
		}
		r.noteImpaired(impairments[kind].name, group, false)
		pause(random, impairmentPause)
	}
	return nil
}

// randomGroup returns the watchers of a failure domain, or any two daemons.
func (r *propagationRun) randomGroup(random *rand.Rand) []*Daemon {
	if random.IntN(3) == 0 {
		return []*Daemon{r.fleet.randomDaemon(random), r.fleet.randomDaemon(random)}
	}
	vms, byName := make(rattanfanout.Fleet), make(map[string]*Daemon)
	for i, d := range r.fleet.daemons {
		vms[d.name] = rattanfanout.VM{FailureDomain: domainOf(i), ProcessorCores: 1}
		byName[d.name] = d
	}
	var group []*Daemon
	for _, name := range vms.Watchers(domainOf(random.IntN(len(r.fleet.daemons)))) {
		group = append(group, byName[name])
	}
	return group
}

// An impairment is a kind of trouble of one daemon.
type impairment struct {
	name       string
	begin, end func(d *Daemon) error
}

func setLink(state LinkState) func(d *Daemon) error {
	return func(d *Daemon) error {
		d.store.Set(state)
		return nil
	}
}

func sendSignal(signal syscall.Signal) func(d *Daemon) error {
	return func(d *Daemon) error { return d.Signal(signal) }
}

var impairments = []impairment{
	{"store silent", setLink(Silent), setLink(Narrow)},
	{"store drops answers", setLink(DropAnswers), setLink(Narrow)},
	{"suspended", sendSignal(syscall.SIGSTOP), sendSignal(syscall.SIGCONT)},
	{"killed", func(d *Daemon) error { return d.End(syscall.SIGKILL) }, (*Daemon).Start},
}

func (r *propagationRun) noteImpaired(kind string, group []*Daemon, isBegin bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, d := range group {
		r.impaired[d] = now
		if isBegin {
			r.impaired[d] = time.Time{}
		}
		r.result.Faults = append(r.result.Faults, fmt.Sprintf("%s %s: %s, begins: %t", now.Format(time.StampMilli), d.name, kind, isBegin))
	}
}

// dueVersion returns the newest version that a daemon must use, or false while it need not.
func (r *propagationRun) dueVersion(d *Daemon) (version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if last := r.impaired[d]; last.IsZero() || now.Sub(last) < contactTime {
		return version{}, false
	}
	for i := len(r.versions) - 1; i >= 0; i-- {
		if now.Sub(r.versions[i].at) > configApplyLimit {
			return r.versions[i], true
		}
	}
	return version{}, false
}

func (r *propagationRun) probe(ctx context.Context, d *Daemon) {
	for ctx.Err() == nil {
		time.Sleep(probePause)
		due, ok := r.dueVersion(d)
		if !ok {
			continue
		}
		answer := startSession(d.callers, versionKey(due.number))
		_, isStillDue := r.dueVersion(d)
		r.mu.Lock()
		r.result.Probes++
		if isStillDue && strings.HasPrefix(answer, "ERROR AUTHFAIL") {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("CONFIG: %s refuses the key of version %d, acknowledged %s before: %s",
				d.name, due.number, time.Since(due.at).Round(time.Millisecond), strings.TrimSpace(answer)))
		}
		r.mu.Unlock()
	}
}

// startSession returns the first answer to a new session, empty if there is none.
func startSession(address, key string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return ""
	}
	if _, err := fmt.Fprintf(conn, "START browse %s\r\n", key); err != nil {
		return ""
	}
	answer := make([]byte, 128)
	n, err := conn.Read(answer)
	if err != nil {
		return ""
	}
	return string(answer[:n])
}
