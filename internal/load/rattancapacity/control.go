package rattancapacity

import (
	"context"
	"runtime"
	"strings"
	"time"

	"github.com/rattanstream/rattanstream/internal/load/rattancluster"
)

// Figures has the figures of one measurement by name; the unit is part of the name.
type Figures map[string]float64

// Names of the figures of control work, which is what daemons do without requests of
// callers. All are per daemon, except those of the process and the start time.
const (
	figureCPU            = "cpu_cores"
	figurePeerBytes      = "peer_bytes_per_s"
	figureStandinBytes   = "platform_endpoint_bytes_per_s"
	figureReads          = "platform_reads_per_s"
	figureWrites         = "platform_writes_per_s"
	figureRenewals       = "platform_lease_renewals_per_s"
	figureWatches        = "platform_watches_per_s"
	figureStatus         = "status_questions_per_s"
	figureHeap           = "process_heap_bytes"
	figureStack          = "process_stack_bytes"
	figureGoroutine      = "process_goroutines"
	figureStartTime      = "start_s"
	figureStartReads     = "start_platform_reads"
	figureStartWrites    = "start_platform_writes"
	figureStartPeerBytes = "start_peer_bytes"
)

// A Plan says how long a deployment settles and how often and long it is measured.
type Plan struct {
	// Settle is the pause between the end of the start and the first window. A group
	// that no caller has used for 10 s gets status queries from its monitors only.
	Settle time.Duration
	// Window is the duration of one measurement, Windows the number of measurements.
	Window  time.Duration
	Windows int
	// Profile is a directory for CPU profiles of idle windows and of requests, "" for
	// none. Their samples carry the label "role".
	Profile string
}

// A Control is the cost of control work at one size.
type Control struct {
	Size Size
	// Load is the machine's load average when the measurement began.
	Load string
	// Idle has the figures of each window without any request, Used those of windows in
	// which every daemon counts every group as in use.
	Idle []Figures
	Used []Figures
	// Events has the figures of the start and of single events, such as a restart.
	Events Figures
}

// MeasureControl starts a deployment, measures it without load, and stops it.
func MeasureControl(ctx context.Context, size Size, plan Plan) (Control, error) {
	control := Control{Size: size, Load: loadAverage(), Events: make(Figures)}
	f, err := startFleet(ctx, size)
	if err != nil {
		return control, err
	}
	defer f.Stop()
	f.setStartFigures(control.Events)
	wait(ctx, plan.Settle)
	for range plan.Windows {
		figures, err := f.measureWindow(ctx, plan.Window, plan.Profile)
		if err != nil {
			return control, err
		}
		control.Idle = append(control.Idle, figures)
	}
	if err := f.measureEvent(ctx, "change", control, plan.Window, f.changeRate); err != nil {
		return control, err
	}
	if err := f.measureEvent(ctx, "restart", control, plan.Window, f.restartDaemon); err != nil {
		return control, err
	}
	for range plan.Windows {
		if err := f.readEveryGroup(ctx); err != nil {
			return control, err
		}
		figures, err := f.measureWindow(ctx, plan.Window, "")
		if err != nil {
			return control, err
		}
		control.Used = append(control.Used, figures)
	}
	return control, nil
}

// MeasureOutage measures the additional cost per daemon and second while no endpoint of
// one group answers, so that the group's monitors suspect the primary all the time.
func MeasureOutage(ctx context.Context, size Size, plan Plan) (Figures, error) {
	f, err := startFleet(ctx, size)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	wait(ctx, plan.Settle)
	before, err := f.measureWindow(ctx, plan.Window, "")
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
	after, err := f.measureWindow(ctx, plan.Window, "")
	if err != nil {
		return nil, err
	}
	return Figures{
		figurePeerBytes: after[figurePeerBytes] - before[figurePeerBytes],
		figureCPU:       after[figureCPU] - before[figureCPU],
	}, nil
}

// suspectTime is longer than the monitors need to suspect a primary.
const suspectTime = 2 * time.Second

// setStartFigures sets the cost of the start of the whole deployment, from the counters
// so far.
func (f *fleet) setStartFigures(events Figures) {
	daemons := float64(f.size.Daemons)
	platform := f.calls.toPlatform()
	events[figureStartTime] = f.startDuration.Seconds()
	events[figureStartReads] = float64(platform.reads) / daemons
	events[figureStartWrites] = float64(platform.writes) / daemons
	// A byte between two daemons is sent by one and received by another.
	events[figureStartPeerBytes] = 2 * float64(f.traffic.total(f.hosts(), peerPort)) / daemons
}

// counters has the values of all counters at a time.
type counters struct {
	peer, standins uint64
	platform       platformCount
	status         uint64
	at             time.Time
}

func (f *fleet) readCounters() counters {
	return counters{
		peer:     f.traffic.total(f.hosts(), peerPort),
		standins: f.traffic.total(f.hosts(), standinPort),
		status:   f.calls.toEndpoints(f.hosts(), "GetStatus"),
		at:       time.Now(),

		platform: f.calls.toPlatform(),
	}
}

// measureWindow measures the deployment for a time span.
func (f *fleet) measureWindow(ctx context.Context, span time.Duration, profile string) (Figures, error) {
	cpu, err := startCPU()
	if err != nil {
		return nil, err
	}
	before := f.readCounters()
	wait(ctx, span)
	after := f.readCounters()
	used, err := cpu.stop()
	if err != nil {
		return nil, err
	}
	if err := cpu.save(profile, f.size.String()); err != nil {
		return nil, err
	}
	daemons := float64(f.size.Daemons)
	seconds := after.at.Sub(before.at).Seconds()
	perDaemon := func(before, after uint64) float64 { return float64(after-before) / seconds / daemons }
	heap, stack := usedMemory()
	return Figures{
		figureCPU: used[roleDaemon].Seconds() / seconds / daemons,
		// A byte between two daemons is sent by one and received by another.
		figurePeerBytes:    2 * perDaemon(before.peer, after.peer),
		figureStandinBytes: perDaemon(before.standins, after.standins),
		figureReads:        perDaemon(before.platform.reads, after.platform.reads),
		figureWrites:       perDaemon(before.platform.writes, after.platform.writes),
		figureRenewals:     perDaemon(before.platform.renewals, after.platform.renewals),
		figureWatches:      perDaemon(before.platform.watches, after.platform.watches),
		figureStatus:       perDaemon(before.status, after.status),
		figureHeap:         float64(heap),
		figureStack:        float64(stack),
		figureGoroutine:    float64(runtime.NumGoroutine()),
	}, nil
}

// measureEvent runs one event and sets its cost per daemon beyond the work of the idle
// windows. Its calls to the platform are those of the whole fleet.
func (f *fleet) measureEvent(ctx context.Context, name string, control Control, span time.Duration, do func(context.Context) error) error {
	idle, events := spreads(control.Idle), control.Events
	cpu, err := startCPU()
	if err != nil {
		return err
	}
	before := f.readCounters()
	if err := withRole(roleCaller, func() error { return do(ctx) }); err != nil {
		_, _ = cpu.stop()
		return err
	}
	events[name+"_s"] = time.Since(before.at).Seconds()
	wait(ctx, span-time.Since(before.at))
	after := f.readCounters()
	used, err := cpu.stop()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	daemons := float64(f.size.Daemons)
	events[name+"_cpu_s"] = used[roleDaemon].Seconds()/daemons - idle[figureCPU].Median*seconds
	events[name+"_peer_bytes"] = 2*float64(after.peer-before.peer)/daemons - idle[figurePeerBytes].Median*seconds
	events[name+"_platform_writes"] = float64(after.platform.writes - before.platform.writes)
	reads := float64(after.platform.reads - before.platform.reads)
	events[name+"_platform_reads"] = reads - idle[figureReads].Median*seconds*daemons
	return nil
}

// changeRate changes one rate and waits until it is in force on all daemons.
func (f *fleet) changeRate(ctx context.Context) error {
	const step = 1 // any difference changes the settings
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

// restartDaemon stops the first daemon gracefully and starts it again.
func (f *fleet) restartDaemon(context.Context) error {
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
