// Package rattanmatrix tests the guarantees under failures. It runs complete daemons
// and stand-ins in simulated time over an in-memory network, injects a fault at a
// chosen step of a protocol, and checks the guarantees against what is visible from
// outside the daemons.
package rattanmatrix

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
	"github.com/rattanstream/rattanstream/internal/daemon/rattandaemon"
	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
	"github.com/rattanstream/rattanstream/internal/proof/rattanchecker"
	"github.com/rattanstream/rattanstream/internal/proof/rattannet"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1/rattanv1connect"
)

const (
	// service is the service that all callers use.
	service = "orders"
	// linkLatency is the latency between two hosts.
	linkLatency = 500 * time.Microsecond
	// pairTotal is the sum of the two rows between which transfers move units.
	pairTotal = 2000
	// floodAccount sends requests at several times its rate.
	floodAccount = "reports"
	// withdrawAccount is the account whose key is withdrawn.
	withdrawAccount = "support"
	// intruderAccount tries to use the transactions of other accounts.
	intruderAccount = "returns"
	// busyAccount has requests in flight when a daemon stops.
	busyAccount = "prices"
	// auditAccount reads all inserts after the run.
	auditAccount = "packing"
	// setupTimeout limits the start of the cluster.
	setupTimeout = 30 * time.Second
)

// An environment is the cluster, the network and the recorded events of one run of a
// cell.
type environment struct {
	network *rattannet.Network
	tap     *tap
	cluster *rattancluster.Cluster
	fault   fault
	record  *record
	trace   *tracer
	random  *rand.Rand
	running sync.WaitGroup

	mutex    sync.Mutex
	clocks   map[string]*vmClock
	observer func(rattancluster.Call)

	// withdrawnAt, drainedAt and changedAt are the times at which operators' changes
	// were accepted.
	withdrawnAt time.Time
	drainedAt   map[string]time.Time
	changedAt   time.Time
	revision    uint64
	// stoppedVM is the name of the VM with the planned stop of its daemon.
	stoppedVM string
	// reverted is a violation that was observed during the run, and failure an error
	// of the test setup.
	reverted error
	failure  error
	gap      time.Duration
	// auditedAt is the time at which the final read began.
	auditedAt time.Time
}

// scenario returns the deployment of every run: three failure domains, two VMs in the
// first, and one group.
func scenario() rattancluster.Scenario {
	s := rattancluster.Fjordknute()
	s.VMs = []int{2, 1, 1}
	s.Services = []string{service}
	return s
}

// newEnvironment starts the cluster of a run. All random choices are determined by seed, but
// the order in which goroutines run is not.
func newEnvironment(seed uint64, logs io.Writer) (*environment, error) {
	env := &environment{
		network:   rattannet.New(linkLatency),
		record:    &record{},
		trace:     &tracer{start: time.Now(), inForce: make(map[inForceKey]uint64)},
		random:    rand.New(rand.NewPCG(seed, 0)),
		clocks:    make(map[string]*vmClock),
		drainedAt: make(map[string]time.Time),
	}
	env.tap = newTap(env.network)
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	options := []rattancluster.Option{
		rattancluster.WithNetwork(env.tap),
		rattancluster.WithClock(env.clock),
		rattancluster.WithCallObserver(env.observe),
		rattancluster.WithHostOptions(func(host string) []rattandaemon.Option {
			return []rattandaemon.Option{rattandaemon.WithPeerLink(rattannet.NewLinkClient(env.network.Dialer(host)), rattannet.NewLinkServer())}
		}),
	}
	if logs != nil {
		options = append(options, rattancluster.WithLog(logs, log.InfoLevel))
	}
	var err error
	if env.cluster, err = rattancluster.Start(ctx, scenario(), options...); err != nil {
		return nil, err
	}
	return env, env.createTables(ctx)
}

func (env *environment) clock(vm string) rattanclock.Clock {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	if env.clocks[vm] == nil {
		env.clocks[vm] = newVMClock()
	}
	return env.clocks[vm]
}

func (env *environment) observe(call rattancluster.Call) {
	env.mutex.Lock()
	observer := env.observer
	env.mutex.Unlock()
	if observer != nil {
		observer(call)
	}
}

func (env *environment) setObserver(observer func(rattancluster.Call)) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	env.observer = observer
}

func (env *environment) createTables(ctx context.Context) error {
	for _, statement := range []string{
		"CREATE TABLE pair (id INTEGER, amount INTEGER)",
		"INSERT INTO pair (id, amount) VALUES (1, 1000)",
		"INSERT INTO pair (id, amount) VALUES (2, 1000)",
	} {
		_, _, err := send(env.cluster.VMs()[0], env.cluster.Key("checkout"), "", rattanv1connect.CallerServiceClient.Execute,
			&rattanv1.ExecuteRequest{Service: service, Statement: &rattanv1.Statement{Text: statement}}, env)
		if err != nil {
			return errors.Wrap(err, statement)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// startCallers starts the sessions, the requests of the client account that exceeds
// its rate and of the one whose key may be withdrawn, and the watch of revisions.
func (env *environment) startCallers(ctx context.Context) {
	for session, account := range []string{"checkout", "checkout", "dealers", "dealers"} {
		c := env.newCaller(session, account)
		env.running.Go(func() { c.run(ctx) })
	}
	const floodInterval = 25 * time.Millisecond
	flood := env.newCaller(100, floodAccount)
	env.running.Go(func() { flood.flood(ctx, floodInterval) })
	withdrawn := env.newCaller(101, withdrawAccount)
	env.running.Go(func() {
		for ctx.Err() == nil {
			vm := withdrawn.vm()
			e := withdrawn.begin(kindWithdraw, vm)
			response, _, err := send(vm, env.cluster.Key(withdrawAccount), "",
				rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
					Service: service, ReadOnly: true, Statement: &rattanv1.Statement{Text: "SELECT COUNT(*) FROM pair"},
				}, env)
			e.whole = isPairCount(response)
			withdrawn.finish(e, err)
			time.Sleep(200 * time.Millisecond)
		}
	})
	env.running.Go(func() { env.watchRevisions(ctx) })
}

func (env *environment) newCaller(session int, account string) *caller {
	return &caller{
		env:     env,
		session: session,
		account: account,
		random:  rand.New(rand.NewPCG(env.random.Uint64(), uint64(session))),
	}
}

// watchRevisions records the revisions that daemons have in force, and detects a daemon
// that reverts to an earlier revision.
func (env *environment) watchRevisions(ctx context.Context) {
	highest := make(map[*rattancluster.VM]uint64)
	for ctx.Err() == nil {
		for _, vm := range env.cluster.VMs() {
			for _, team := range []string{rattancluster.Team, rattansettings.RootTeam} {
				env.trace.recordInForce(vm.Name(), team, vm.Revision(team))
			}
			revision := vm.Revision(rattancluster.Team)
			if revision < highest[vm] && revision != 0 {
				env.reverted = errors.Errorf("%s reverted from revision %d to %d", vm.Name(), highest[vm], revision)
			}
			highest[vm] = max(highest[vm], revision)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// primary returns the full name of the primary with the highest term.
func (env *environment) primary() string {
	var name string
	var term uint64
	for candidate, instance := range env.cluster.Endpoints() {
		status := instance.Status()
		if status.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY && status.GetTerm() > term {
			name, term = candidate, status.GetTerm()
		}
	}
	return name
}

// replica returns the full name of an endpoint that is not the primary.
func (env *environment) replica() string {
	primary := env.primary()
	for name := range env.cluster.Endpoints() {
		if name != primary {
			return name
		}
	}
	return ""
}

// vmOf returns the VM on a host, or the first VM if there is none.
func (env *environment) vmOf(host string) *rattancluster.VM {
	for _, vm := range env.cluster.VMs() {
		if vm.Host() == host {
			return vm
		}
	}
	return env.cluster.VMs()[0]
}

// edit changes settings of a team through a VM and records the accepted change.
func (env *environment) edit(vm *rattancluster.VM, team string, edits ...*rattanv1.SettingsEdit) (*rattanv1.ApplySettingsResponse, error) {
	const timeout = 15 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := env.cluster.Operator(vm, team).EditSettings(ctx, connect.NewRequest(&rattanv1.EditSettingsRequest{Team: team, Edits: edits}))
	if err != nil {
		return nil, err
	}
	env.recordChange(rattanchecker.Event{Action: rattanchecker.Apply, Target: team, Revision: response.Msg.GetRevision()})
	return response.Msg, nil
}
