package rattanproxy

import (
	"math"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattandispatch"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanoutlier"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanpressure"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanwork"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// pathSmoothing is the weight of a new measurement in the round trip to a daemon.
	pathSmoothing = 0.2
	// maxPathSample limits one measurement of a round trip.
	maxPathSample = 100 * time.Millisecond
	// localPath and remotePath are the round trips assumed to a daemon inside and outside
	// the failure domain before the first measurement.
	localPath  = 1 * time.Millisecond
	remotePath = 4 * time.Millisecond
)

// loads are the load reports that this daemon makes and learns. Their times are those of
// the boot clock.
type loads struct {
	proxy *Proxy

	mu    sync.Mutex
	board *rattanpressure.Board
	// number is that of the last report of this daemon.
	number uint64
	// paths are the mean round trips to the VMs that own connections.
	paths map[string]time.Duration
	// told is, by VM, up to which sequence number of the board it has been told.
	told map[string]uint64
}

func newLoads(p *Proxy) *loads {
	return &loads{proxy: p, board: rattanpressure.New(), paths: make(map[string]time.Duration), told: make(map[string]uint64)}
}

// attach adds the load of an endpoint to a response, if this daemon owns its
// connections.
func (l *loads) attach(response *rattanv1.WorkResponse, upstream *rattanupstream.Upstream) {
	if l.proxy.owners.isOwned(upstream) {
		response.Load = encodeLoad(l.report(upstream), 0)
		// The asking daemon knows which endpoint it has asked for.
		response.Load.Endpoint = ""
	}
}

// report makes a report of an endpoint whose connections this daemon owns.
func (l *loads) report(upstream *rattanupstream.Upstream) rattanwork.Load {
	load := upstream.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	load.Owner, load.Number = l.proxy.registration.incarnation, l.number
	return load
}

// learnResponse takes the report in an owner's response to work for an endpoint.
func (l *loads) learnResponse(response *rattanv1.WorkResponse, endpoint string) {
	if load := response.GetLoad(); load != nil {
		load.Endpoint = endpoint
		l.learn(load, "")
	}
}

// learn takes a report that came with a message from a VM, empty for the owner itself.
func (l *loads) learn(load *rattanv1.EndpointLoad, from string) {
	report := rattanpressure.Report{
		Load: decodeLoad(load), From: from,
		MadeAt: l.proxy.boot.Now().Add(-time.Duration(load.GetAgeMs()) * time.Millisecond),
	}
	l.mu.Lock()
	isNew := l.board.Learn(report)
	l.mu.Unlock()
	if !isNew {
		l.proxy.metrics.count("loads_old")
		return
	}
	l.proxy.metrics.count("loads_learnt")
	l.proxy.endpoints.Replicas().Observe(report.Endpoint, report.StartedUnixMS, report.Position, report.MadeAt.Add(-report.PositionAge))
}

// begin records work that this daemon forwards to an endpoint's owner. The returned
// function records its end.
func (l *loads) begin(endpoint string) func() {
	now := l.proxy.boot.Now()
	l.mu.Lock()
	l.board.Begin(endpoint, now)
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.board.End(endpoint, now)
	}
}

// observePath records a call to a VM that took it some of the time of the call.
func (l *loads) observePath(vm string, call, took time.Duration) {
	sample := min(max(call-took, 0), maxPathSample)
	l.mu.Lock()
	defer l.mu.Unlock()
	path, ok := l.paths[vm]
	if !ok {
		path = sample
	}
	l.paths[vm] = path + time.Duration(pathSmoothing*float64(sample-path))
}

// expect returns what is known of an endpoint whose connections a VM owns.
func (l *loads) expect(upstream *rattanupstream.Upstream, vm string) rattandispatch.Expectation {
	endpoint := upstream.Endpoint()
	isOutside := l.proxy.isOutside(vm)
	l.mu.Lock()
	defer l.mu.Unlock()
	path, ok := l.paths[vm]
	switch {
	case ok:
	case isOutside:
		path = remotePath
	default:
		path = localPath
	}
	estimate, _ := l.board.Estimate(endpoint.ID, endpoint.StartedUnixMS, l.proxy.boot.Now())
	return rattandispatch.Expectation{Load: estimate.Load, Age: estimate.Age, Busy: estimate.Busy, Path: path}
}

// isKnown reports whether there is a recent report of an endpoint.
func (l *loads) isKnown(endpoint rattancatalog.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.board.Estimate(endpoint.ID, endpoint.StartedUnixMS, l.proxy.boot.Now())
	return ok
}

// own returns the reports of the endpoints whose connections this daemon owns.
func (l *loads) own() []*rattanv1.EndpointLoad {
	var reports []*rattanv1.EndpointLoad
	for _, upstream := range l.owned() {
		reports = append(reports, encodeLoad(l.report(upstream), 0))
	}
	return reports
}

// owned returns the endpoints whose connections this daemon owns.
func (l *loads) owned() []*rattanupstream.Upstream {
	var owned []*rattanupstream.Upstream
	for _, upstream := range l.proxy.endpoints.all() {
		if l.proxy.owners.isOwned(upstream) {
			owned = append(owned, upstream)
		}
	}
	return owned
}

// news returns the reports that a VM has not been told of yet, with those that this
// daemon makes.
func (l *loads) news(vm string) []*rattanv1.EndpointLoad {
	reports := l.own()
	now := l.proxy.boot.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	learnt, sequence := l.board.News(l.told[vm], vm, now)
	l.told[vm] = sequence
	for _, report := range learnt {
		reports = append(reports, encodeLoad(report.Load, now.Sub(report.MadeAt)))
	}
	return reports
}

// prune forgets endpoints and VMs that are gone.
func (l *loads) prune(isEndpoint, isVM func(string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.Keep(isEndpoint)
	for vm := range l.told {
		if !isVM(vm) {
			delete(l.told, vm)
		}
	}
	for vm := range l.paths {
		if !isVM(vm) {
			delete(l.paths, vm)
		}
	}
}

// logOutlier logs an endpoint that has become an outlier of its group or is none any more.
func (p *Proxy) logOutlier(change rattanoutlier.Change) {
	if change.IsOut {
		p.metrics.count("outliers")
	}
	p.logger.Info("endpoint_outlier", "endpoint", change.ID, "out", change.IsOut, "reason", string(change.Reason),
		"service_ms", change.Service.Milliseconds(), "failure_share", change.FailureShare)
}

// A loadState is the newest report of an endpoint, for dumps.
type loadState struct {
	Endpoint     string  `json:"endpoint"`
	Owner        string  `json:"owner"`
	From         string  `json:"from,omitempty"`
	AgeMS        int64   `json:"age_ms"`
	WaitMS       []int64 `json:"wait_ms"`
	Slots        int     `json:"slots"`
	FreeSlots    int     `json:"free_slots"`
	ServiceMS    float64 `json:"service_ms"`
	FailureShare float64 `json:"failure_share"`
	LagMS        int64   `json:"lag_ms"`
	// Weight is below 1 for an outlier of its group.
	Weight float64 `json:"weight"`
}

// State returns the board, for dumps.
func (l *loads) State() []loadState {
	now := l.proxy.boot.Now()
	l.mu.Lock()
	reports := l.board.Reports()
	l.mu.Unlock()
	for _, upstream := range l.owned() {
		reports = append(reports, rattanpressure.Report{Load: l.report(upstream), MadeAt: now})
	}
	states := make([]loadState, 0, len(reports))
	for _, report := range reports {
		state := loadState{
			Endpoint: report.Endpoint, Owner: report.Owner, From: report.From, AgeMS: now.Sub(report.MadeAt).Milliseconds(),
			Slots: report.Slots, FreeSlots: report.FreeSlots, ServiceMS: float64(report.ServiceTime.Microseconds()) / 1000,
			FailureShare: report.FailureShare, Weight: l.proxy.dispatch.OutlierWeight(report.Endpoint),
		}
		for _, wait := range report.Wait {
			state.WaitMS = append(state.WaitMS, wait.Milliseconds())
		}
		if upstream, ok := l.proxy.endpoints.Upstream(report.Endpoint); ok {
			history := l.proxy.endpoints.History(upstream.Endpoint().Group)
			state.LagMS = l.proxy.endpoints.Replicas().Lag(report.Endpoint, history).Milliseconds()
		}
		states = append(states, state)
	}
	return states
}

// encodeLoad encodes a report of a given age. The age is rounded up, so that a report
// never looks younger than it is.
func encodeLoad(load rattanwork.Load, age time.Duration) *rattanv1.EndpointLoad {
	encoded := &rattanv1.EndpointLoad{
		Endpoint: load.Endpoint, StartedUnixMs: load.StartedUnixMS, Keeper: load.Owner, Number: load.Number,
		AgeMs: uint32((max(age, 0) + time.Millisecond - 1) / time.Millisecond),
		Slots: uint32(load.Slots), FreeSlots: uint32(load.FreeSlots), FreeConnections: uint32(load.FreeConnections),
		ServiceUs:       uint32(load.ServiceTime.Microseconds()),
		FailurePermille: uint32(math.Round(load.FailureShare * 1000)),
		Position:        load.Position.Wire(), PositionAgeMs: uint32(min(load.PositionAge, time.Hour).Milliseconds()) + 1,
	}
	for _, wait := range load.Wait {
		encoded.WaitMs = append(encoded.WaitMs, uint32(wait.Milliseconds()))
	}
	// Further priorities wait as long as the last one given.
	for n := len(encoded.WaitMs); n > 1 && encoded.WaitMs[n-1] == encoded.WaitMs[n-2]; n-- {
		encoded.WaitMs = encoded.WaitMs[:n-1]
	}
	return encoded
}

func decodeLoad(encoded *rattanv1.EndpointLoad) rattanwork.Load {
	load := rattanwork.Load{
		Endpoint: encoded.GetEndpoint(), StartedUnixMS: encoded.GetStartedUnixMs(), Owner: encoded.GetKeeper(), Number: encoded.GetNumber(),
		Slots: int(encoded.GetSlots()), FreeSlots: int(encoded.GetFreeSlots()), FreeConnections: int(encoded.GetFreeConnections()),
		ServiceTime:  time.Duration(encoded.GetServiceUs()) * time.Microsecond,
		FailureShare: float64(encoded.GetFailurePermille()) / 1000,
		Position:     rattanmodel.PositionFromWire(encoded.GetPosition()),
		PositionAge:  time.Duration(encoded.GetPositionAgeMs()) * time.Millisecond,
	}
	waits := encoded.GetWaitMs()
	for i := range load.Wait {
		if len(waits) > 0 {
			load.Wait[i] = time.Duration(waits[min(i, len(waits)-1)]) * time.Millisecond
		}
	}
	return load
}
