package rattanfailover

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Monitor monitors one group on one daemon: it probes the endpoints, publishes
// suspicions and starts failovers.
type Monitor struct {
	group       string
	self        Daemon
	tracker     *Tracker
	detector    *Detector
	coordinator *Coordinator
	endpoints   EndpointLookup
	clock       rattanclock.Clock
	publish     func(Suspicion)
	report      func(Promotion, error)

	mu               sync.Mutex
	promoting        bool
	lastReplicaProbe time.Time
	// unconfirmed is when the primary of unconfirmedTerm first reported a status
	// without a known age, that is without knowing whether a majority follows it;
	// zero while the age is known.
	unconfirmed     time.Time
	unconfirmedTerm uint64
}

// A MonitorOption changes a Monitor.
type MonitorOption func(*Monitor)

// WithPublish sets the function that publishes the daemon's own suspicions to the
// other daemons. It must not block.
func WithPublish(publish func(Suspicion)) MonitorOption {
	return func(m *Monitor) { m.publish = publish }
}

// WithReport sets the function that is called with the outcome of every promotion
// that the monitor started.
func WithReport(report func(Promotion, error)) MonitorOption {
	return func(m *Monitor) { m.report = report }
}

// NewMonitor returns a Monitor for the detector's group.
func NewMonitor(detector *Detector, coordinator *Coordinator, options ...MonitorOption) *Monitor {
	m := &Monitor{
		group:       detector.group,
		self:        detector.self,
		tracker:     coordinator.tracker,
		detector:    detector,
		coordinator: coordinator,
		endpoints:   coordinator.endpoints,
		clock:       coordinator.clock,
		publish:     func(Suspicion) {},
		report:      func(Promotion, error) {},
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Run probes the endpoints every ProbeInterval and starts failovers, until ctx
// ends. It returns when all probes and promotions that it started have ended.
func (m *Monitor) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		m.tick(ctx, &calls)
		select {
		case <-m.clock.After(ProbeInterval):
		case <-ctx.Done():
		}
	}
}

func (m *Monitor) tick(ctx context.Context, calls *sync.WaitGroup) {
	view := m.tracker.View(m.group)
	m.detector.SetTerm(view.Term)
	if view.Primary == "" {
		m.detector.ObserveProbe(view.Term, false)
	}
	for _, endpoint := range m.endpointsToProbe(view) {
		calls.Go(func() {
			m.probe(ctx, view, endpoint)
			m.decide(ctx, calls)
		})
	}
	m.decide(ctx, calls)
}

// endpointsToProbe returns the endpoints to probe now: the primary, or all of them
// every replicaInterval and while the primary is unknown or suspected.
func (m *Monitor) endpointsToProbe(view rattanmodel.GroupView) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	all := view.Primary == "" || m.detector.Suspects() || now.Sub(m.lastReplicaProbe) >= replicaInterval
	if !all {
		return []string{view.Primary}
	}
	m.lastReplicaProbe = now
	var names []string
	for _, endpoint := range view.Endpoints {
		names = append(names, endpoint.Name)
	}
	return names
}

func (m *Monitor) probe(ctx context.Context, view rattanmodel.GroupView, endpoint string) {
	ctx, cancel := withTimeout(ctx, m.clock, CallTimeout)
	defer cancel()
	status, err := m.endpoints(endpoint).Status(ctx)
	if err != nil {
		m.tracker.ObserveFailure(endpoint)
	} else {
		m.tracker.Observe(endpoint, status)
		m.detector.SetTerm(m.tracker.View(m.group).Term)
	}
	if endpoint == view.Primary {
		m.detector.ObserveProbe(view.Term, err == nil && m.canAcknowledge(status, view.Term))
	}
}

// canAcknowledge reports whether the status is that of a primary that can
// acknowledge writes in the term. The age in a primary's status is the time since
// a majority last followed it.
func (m *Monitor) canAcknowledge(status *rattanv1.EndpointStatus, term uint64) bool {
	if status.GetRole() != rattanv1.EndpointRole_ENDPOINT_ROLE_PRIMARY || status.GetTerm() != term {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	switch {
	case status.GetAgeKnown():
		m.unconfirmed = time.Time{}
		return time.Duration(status.GetAgeMs())*time.Millisecond <= maxPrimaryAge
	case m.unconfirmed.IsZero() || m.unconfirmedTerm != term:
		m.unconfirmed, m.unconfirmedTerm = now, term
	}
	return now.Sub(m.unconfirmed) <= maxPrimaryAge
}

// decide publishes the daemon's own suspicion and starts a failover, or a
// promotion of the current primary to a new term, when one is needed. At most one
// runs at a time.
func (m *Monitor) decide(ctx context.Context, calls *sync.WaitGroup) {
	if own, news := m.detector.OwnSuspicion(); news {
		m.publish(own)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.promoting || ctx.Err() != nil {
		return
	}
	// Both conditions are evaluated only while no promotion runs: a result from
	// before the end of a promotion would start a second one.
	decision := m.detector.Decide()
	primary := m.tracker.View(m.group).Primary
	readmit := primary != "" && m.detector.ranksFirst() && m.tracker.HigherPromiseDuration(m.group) > higherPromiseTimeout
	if !decision.Failover && !readmit {
		return
	}
	m.promoting = true
	calls.Go(func() {
		if decision.Failover {
			m.report(m.coordinator.Failover(ctx, m.group, decision.Term))
		} else {
			m.report(m.coordinator.Promote(ctx, m.group, primary))
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.promoting = false
	})
}
