// Package rattanmatrix proves the promises under failure: it runs whole daemons
// and stand-ins in simulated time over a network in memory, injects a fault at a
// chosen step of a protocol, and judges what callers saw by the promises alone.
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
	// linkLatency is the time that data takes from one machine to another.
	linkLatency = 500 * time.Microsecond
	// pairTotal is the sum of the two rows that transfers move units between.
	pairTotal = 2000
	// floodAccount sends several times its rate.
	floodAccount = "reports"
	// withdrawAccount is the account whose key is withdrawn.
	withdrawAccount = "support"
	// intruderAccount tries to use the transactions of other accounts.
	intruderAccount = "returns"
	// busyAccount has requests running when a daemon stops.
	busyAccount = "prices"
	// auditAccount reads everything after the run.
	auditAccount = "packing"
	// setupTimeout bounds the start of a world.
	setupTimeout = 30 * time.Second
)

// A world is one run of the matrix.
type world struct {
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

	// withdrawnAt, drained and changed say when operators' changes were accepted.
	withdrawnAt time.Time
	drained     map[string]time.Time
	changed     time.Time
	revision    uint64
	// stopped is the VM whose daemon was stopped by plan.
	stopped string
	// reverted and failure are violations that were seen during the run.
	reverted error
	failure  error
	gap      time.Duration
	// auditedAt is when the read at the end began.
	auditedAt time.Time
}

// scenario is the deployment of every run: three failure domains, two VMs in the
// first, one group.
func scenario() rattancluster.Scenario {
	s := rattancluster.Fjordknute()
	s.VMs = []int{2, 1, 1}
	s.Services = []string{service}
	return s
}

// newWorld starts a world. Everything that depends on chance follows from seed,
// except the order in which goroutines run.
func newWorld(seed uint64, logs io.Writer) (*world, error) {
	w := &world{
		network: rattannet.New(linkLatency),
		record:  &record{},
		trace:   &tracer{start: time.Now(), inForce: make(map[inForceKey]uint64)},
		random:  rand.New(rand.NewPCG(seed, 0)),
		clocks:  make(map[string]*vmClock),
		drained: make(map[string]time.Time),
	}
	w.tap = newTap(w.network)
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	options := []rattancluster.Option{
		rattancluster.WithNetwork(w.tap),
		rattancluster.WithClock(w.clock),
		rattancluster.WithCallObserver(w.observe),
		rattancluster.WithHostOptions(func(host string) []rattandaemon.Option {
			return []rattandaemon.Option{rattandaemon.WithPeerLink(rattannet.NewLinkClient(w.network.Dialer(host)), rattannet.NewLinkServer())}
		}),
	}
	if logs != nil {
		options = append(options, rattancluster.WithLog(logs, log.InfoLevel))
	}
	var err error
	if w.cluster, err = rattancluster.Start(ctx, scenario(), options...); err != nil {
		return nil, err
	}
	return w, w.createTables(ctx)
}

func (w *world) clock(vm string) rattanclock.Clock {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.clocks[vm] == nil {
		w.clocks[vm] = newVMClock()
	}
	return w.clocks[vm]
}

func (w *world) observe(call rattancluster.Call) {
	w.mutex.Lock()
	observer := w.observer
	w.mutex.Unlock()
	if observer != nil {
		observer(call)
	}
}

func (w *world) setObserver(observer func(rattancluster.Call)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.observer = observer
}

func (w *world) createTables(ctx context.Context) error {
	for _, statement := range []string{
		"CREATE TABLE pair (id INTEGER, amount INTEGER)",
		"INSERT INTO pair (id, amount) VALUES (1, 1000)",
		"INSERT INTO pair (id, amount) VALUES (2, 1000)",
	} {
		_, _, err := send(w.cluster.VMs()[0], w.cluster.Key("checkout"), "", rattanv1connect.CallerServiceClient.Execute,
			&rattanv1.ExecuteRequest{Service: service, Statement: &rattanv1.Statement{Text: statement}}, w)
		if err != nil {
			return errors.Wrap(err, statement)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// startCallers starts the sessions, the account over its rate, the account
// whose key may be withdrawn, and the watch over revisions.
func (w *world) startCallers(ctx context.Context) {
	for session, account := range []string{"checkout", "checkout", "dealers", "dealers"} {
		c := w.newCaller(session, account)
		w.running.Go(func() { c.run(ctx) })
	}
	const floodInterval = 25 * time.Millisecond
	flood := w.newCaller(100, floodAccount)
	w.running.Go(func() { flood.flood(ctx, floodInterval) })
	withdrawn := w.newCaller(101, withdrawAccount)
	w.running.Go(func() {
		for ctx.Err() == nil {
			vm := withdrawn.vm()
			e := withdrawn.begin(kindWithdraw, vm)
			response, _, err := send(vm, w.cluster.Key(withdrawAccount), "",
				rattanv1connect.CallerServiceClient.Execute, &rattanv1.ExecuteRequest{
					Service: service, ReadOnly: true, Statement: &rattanv1.Statement{Text: "SELECT COUNT(*) FROM pair"},
				}, w)
			e.whole = isPairCount(response)
			withdrawn.finish(e, err)
			time.Sleep(200 * time.Millisecond)
		}
	})
	w.running.Go(func() { w.watchRevisions(ctx) })
}

func (w *world) newCaller(session int, account string) *caller {
	return &caller{
		world:   w,
		session: session,
		account: account,
		random:  rand.New(rand.NewPCG(w.random.Uint64(), uint64(session))),
	}
}

// watchRevisions notes which revisions daemons have in force, and a daemon whose
// settings go back.
func (w *world) watchRevisions(ctx context.Context) {
	highest := make(map[*rattancluster.VM]uint64)
	for ctx.Err() == nil {
		for _, vm := range w.cluster.VMs() {
			for _, team := range []string{rattancluster.Team, rattansettings.RootTeam} {
				w.trace.noteInForce(vm.Name(), team, vm.Revision(team))
			}
			revision := vm.Revision(rattancluster.Team)
			if revision < highest[vm] && revision != 0 {
				w.reverted = errors.Errorf("%s went back from revision %d to %d", vm.Name(), highest[vm], revision)
			}
			highest[vm] = max(highest[vm], revision)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// primary returns the full name of the primary with the highest term.
func (w *world) primary() string {
	var name string
	var term uint64
	for candidate, instance := range w.cluster.Endpoints() {
		status := instance.Status()
		if status.GetRole() == rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY && status.GetTerm() > term {
			name, term = candidate, status.GetTerm()
		}
	}
	return name
}

// replica returns the full name of an endpoint that is not the primary.
func (w *world) replica() string {
	primary := w.primary()
	for name := range w.cluster.Endpoints() {
		if name != primary {
			return name
		}
	}
	return ""
}

// vmOf returns the VM of an address, the first one when there is none.
func (w *world) vmOf(host string) *rattancluster.VM {
	for _, vm := range w.cluster.VMs() {
		if vm.Host() == host {
			return vm
		}
	}
	return w.cluster.VMs()[0]
}

// edit changes settings of a team through a VM.
func (w *world) edit(vm *rattancluster.VM, team string, edits ...*rattanv1.SettingsEdit) (*rattanv1.ApplySettingsResponse, error) {
	const timeout = 15 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := w.cluster.Operator(vm, team).EditSettings(ctx, connect.NewRequest(&rattanv1.EditSettingsRequest{Team: team, Edits: edits}))
	if err != nil {
		return nil, err
	}
	w.noteChange(rattanchecker.Event{Action: rattanchecker.Apply, Target: team, Revision: response.Msg.GetRevision()})
	return response.Msg, nil
}
