package rattancapacity

import (
	"context"
	"runtime"
	"strings"
	"time"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
)

// Figures of one measurement by name; the unit is part of the name.
type Figures map[string]float64

// Names of the figures of control work. Each is per daemon.
const (
	figureCPU       = "cpu_cores"
	figurePeer      = "peer_bytes_per_s"
	figureServers   = "platform_endpoint_bytes_per_s"
	figureReads     = "platform_reads_per_s"
	figureWrites    = "platform_writes_per_s"
	figureRenewals  = "platform_lease_renewals_per_s"
	figureWatches   = "platform_watches_per_s"
	figureStatus    = "status_questions_per_s"
	figureHeap      = "process_heap_bytes"
	figureStack     = "process_stack_bytes"
	figureGoroutine = "process_goroutines"
	figureStarted   = "start_s"
	figureStartRead = "start_platform_reads"
	figureStartPuts = "start_platform_writes"
	figureStartPeer = "start_peer_bytes"
)

// A Plan says how long a deployment is left alone and measured.
type Plan struct {
	// Settle is the time from the end of the start to the first window. After
	// 10 s a group that no caller uses is not asked for its status any more.
	Settle time.Duration
	// Window is the time of one measurement, Windows their number.
	Window  time.Duration
	Windows int
	// Profile is a directory for processor profiles of idle windows and of
	// requests, "" for none. Their samples carry the label "role".
	Profile string
}

// Control is what control work costs at one size.
type Control struct {
	Size Size
	// Load is the machine's load average when the measurement began.
	Load string
	// Idle has the figures of each window without any request; Used those while
	// every daemon counts every group as in use.
	Idle []Figures
	Used []Figures
	// Events has the figures of single events.
	Events Figures
}

// MeasureControl starts a deployment, measures it without callers, and stops it.
func MeasureControl(ctx context.Context, size Size, plan Plan) (Control, error) {
	control := Control{Size: size, Load: loadAverage(), Events: make(Figures)}
	f, err := startFleet(ctx, size)
	if err != nil {
		return control, err
	}
	defer f.Stop()
	f.startFigures(control.Events)
	wait(ctx, plan.Settle)
	for range plan.Windows {
		figures, err := f.window(ctx, plan.Window, plan.Profile)
		if err != nil {
			return control, err
		}
		control.Idle = append(control.Idle, figures)
	}
	if err := f.event(ctx, "change", control, plan.Window, f.change); err != nil {
		return control, err
	}
	if err := f.event(ctx, "restart", control, plan.Window, f.restart); err != nil {
		return control, err
	}
	for range plan.Windows {
		if err := f.touch(ctx); err != nil {
			return control, err
		}
		figures, err := f.window(ctx, plan.Window, "")
		if err != nil {
			return control, err
		}
		control.Used = append(control.Used, figures)
	}
	return control, nil
}

// MeasureOutage measures what it costs each daemon per second when no endpoint
// of one group answers, so that its monitors suspect the primary all the time.
func MeasureOutage(ctx context.Context, size Size, plan Plan) (Figures, error) {
	f, err := startFleet(ctx, size)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	wait(ctx, plan.Settle)
	before, err := f.window(ctx, plan.Window, "")
	if err != nil {
		return nil, err
	}
	prefix := rattancluster.Team + "/" + f.Scenario().Services[0] + "-"
	for name := range f.Endpoints() {
		if strings.HasPrefix(name, prefix) {
			f.SetKilled(name, true)
		}
	}
	wait(ctx, suspectTime)
	after, err := f.window(ctx, plan.Window, "")
	if err != nil {
		return nil, err
	}
	return Figures{
		figurePeer: after[figurePeer] - before[figurePeer],
		figureCPU:  after[figureCPU] - before[figureCPU],
	}, nil
}

// suspectTime is longer than the monitors take to suspect a primary.
const suspectTime = 2 * time.Second

// startFigures sets what the start of the whole deployment has cost so far.
func (f *fleet) startFigures(events Figures) {
	daemons := float64(f.size.Daemons)
	platform := f.calls.toPlatform()
	events[figureStarted] = f.started.Seconds()
	events[figureStartRead] = float64(platform.reads) / daemons
	events[figureStartPuts] = float64(platform.writes) / daemons
	events[figureStartPeer] = 2 * float64(f.traffic.total(f.hosts(), peerPort)) / daemons
}

// A snapshot is the state of all counters.
type snapshot struct {
	peer, servers uint64
	platform      platformCount
	status        uint64
	at            time.Time
}

func (f *fleet) snapshot() snapshot {
	return snapshot{
		peer:    f.traffic.total(f.hosts(), peerPort),
		servers: f.traffic.total(f.hosts(), serverPort),
		status:  f.calls.toEndpoints(f.hosts(), "GetStatus"),
		at:      time.Now(),

		platform: f.calls.toPlatform(),
	}
}

// window measures the deployment for a time span.
func (f *fleet) window(ctx context.Context, span time.Duration, profile string) (Figures, error) {
	cpu, err := startCPU()
	if err != nil {
		return nil, err
	}
	before := f.snapshot()
	wait(ctx, span)
	after := f.snapshot()
	used, err := cpu.stop()
	if err != nil {
		return nil, err
	}
	if err := cpu.write(profile, f.size.String()); err != nil {
		return nil, err
	}
	daemons := float64(f.size.Daemons)
	seconds := after.at.Sub(before.at).Seconds()
	perDaemon := func(before, after uint64) float64 { return float64(after-before) / seconds / daemons }
	heap, stack := usedMemory()
	return Figures{
		figureCPU: used[roleDaemon].Seconds() / seconds / daemons,
		// A byte between two daemons is sent by one and received by another.
		figurePeer:      2 * perDaemon(before.peer, after.peer),
		figureServers:   perDaemon(before.servers, after.servers),
		figureReads:     perDaemon(before.platform.reads, after.platform.reads),
		figureWrites:    perDaemon(before.platform.writes, after.platform.writes),
		figureRenewals:  perDaemon(before.platform.renewals, after.platform.renewals),
		figureWatches:   perDaemon(before.platform.watches, after.platform.watches),
		figureStatus:    perDaemon(before.status, after.status),
		figureHeap:      float64(heap),
		figureStack:     float64(stack),
		figureGoroutine: float64(runtime.NumGoroutine()),
	}, nil
}

// event does one thing and sets what it costs each daemon beyond the work of the
// idle windows. Its calls to the platform are those of the whole fleet.
func (f *fleet) event(ctx context.Context, name string, control Control, span time.Duration, do func(context.Context) error) error {
	idle, events := spreads(control.Idle), control.Events
	cpu, err := startCPU()
	if err != nil {
		return err
	}
	before := f.snapshot()
	if err := withRole(roleCaller, func() error { return do(ctx) }); err != nil {
		_, _ = cpu.stop()
		return err
	}
	events[name+"_s"] = time.Since(before.at).Seconds()
	wait(ctx, span-time.Since(before.at))
	after := f.snapshot()
	used, err := cpu.stop()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	daemons := float64(f.size.Daemons)
	events[name+"_cpu_s"] = used[roleDaemon].Seconds()/daemons - idle[figureCPU].Median*seconds
	events[name+"_peer_bytes"] = 2*float64(after.peer-before.peer)/daemons - idle[figurePeer].Median*seconds
	events[name+"_platform_writes"] = float64(after.platform.writes - before.platform.writes)
	reads := float64(after.platform.reads - before.platform.reads)
	events[name+"_platform_reads"] = reads - idle[figureReads].Median*seconds*daemons
	return nil
}

// change changes one rate and waits until it is in force on all daemons.
func (f *fleet) change(ctx context.Context) error {
	const step = 1 // any other value
	response, err := f.SetRate(ctx, f.Scenario().Accounts[0].Name, accountRate-step, accountBurst-step)
	if err != nil {
		return err
	}
	for _, vm := range f.VMs() {
		for vm.Revision(rattancluster.Team) < response.GetRevision() && ctx.Err() == nil {
			wait(ctx, pollInterval)
		}
	}
	return ctx.Err()
}

// restart stops the first daemon gracefully and starts it again.
func (f *fleet) restart(context.Context) error {
	vm := f.VMs()[0]
	vm.Stop()
	return vm.Start()
}

const pollInterval = 10 * time.Millisecond

func wait(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
