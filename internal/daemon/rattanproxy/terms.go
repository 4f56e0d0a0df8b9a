package rattanproxy

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/config/rattancache"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattangrant"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanswitchover"
)

const (
	// silentEndpointTimeout is for how long a daemon asks an endpoint for its term before it
	// uses a record that a restored store may have lost a successor of. The entry of an
	// endpoint that does not run has expired by then.
	silentEndpointTimeout = 4 * time.Second
	// termCheckInterval is the least time between two status queries of a group whose record
	// is in doubt.
	termCheckInterval = 500 * time.Millisecond
)

// A termObserver asks the endpoints for their terms before the records of a restored store
// are used. The endpoints know of switchovers that the store has lost.
type termObserver struct {
	proxy *Proxy
	// firstAsked is when the endpoints were asked first, zero when none are being asked. Only
	// the initial sync uses it.
	firstAsked time.Time
}

// observe asks the endpoints of all groups for their terms at once. It returns true when all
// have answered but the recorded primaries, which know no newer term than that of their
// record, or have been asked for silentEndpointTimeout.
func (o *termObserver) observe() bool {
	if o.proxy.cache.SyncedAt().IsZero() {
		// The endpoints are not known yet.
		return false
	}
	now := o.proxy.boot.Now()
	if o.firstAsked.IsZero() {
		o.firstAsked = now
	}
	snapshot, isComplete := o.proxy.cache.Snapshot(), true
	var pending sync.WaitGroup
	var mu sync.Mutex
	for group, known := range o.proxy.grants.Records() {
		endpoints := othersOf(snapshot, group, known.Primary)
		pending.Go(func() {
			statuses := rattanswitchover.Query(o.proxy.clock, &endpointControl{proxy: o.proxy}, endpoints, nil)
			mu.Lock()
			defer mu.Unlock()
			isComplete = isComplete && len(statuses) == len(endpoints)
		})
	}
	pending.Wait()
	if !isComplete && now.Sub(o.firstAsked) < silentEndpointTimeout {
		return false
	}
	o.firstAsked = time.Time{}
	return true
}

// othersOf returns the registered endpoints of a group but one.
func othersOf(snapshot *rattancache.Snapshot, group, except string) []rattancatalog.Endpoint {
	var endpoints []rattancatalog.Endpoint
	for id, endpoint := range snapshot.Endpoints {
		if endpoint.Group == group && id != except {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// observeNewerTerms records the newer terms that another daemon knows.
func (p *Proxy) observeNewerTerms(terms map[string]uint64) {
	for group, term := range terms {
		p.grants.ObserveTerm(group, term)
	}
}

// A termCheck is the last status query of a group whose record is in doubt.
type termCheck struct {
	startedAt time.Time
	// deposedVersion is the version of the record whose primary did not lead the group, 0 if
	// it did.
	deposedVersion int64
}

// isDoubted reports whether the roles that the endpoints of a group report since its record
// was written contradict the record.
func isDoubted(snapshot *rattancache.Snapshot, group string, state rattanswitchover.GroupState) bool {
	written := snapshot.Groups[group].Revision
	reports := make([]rattansuccessor.Report, 0, len(state.Endpoints))
	for _, endpoint := range state.Endpoints {
		reports = append(reports, rattansuccessor.Report{
			Endpoint: endpoint.ID, Role: endpoint.Role, IsNewer: snapshot.EndpointRevisions[endpoint.ID] > written,
		})
	}
	return rattansuccessor.IsDoubted(state.Record.Primary, reports)
}

// startTermCheck asks the endpoints of a group in the background whether the recorded
// primary leads it.
func (r *switchoverRunner) startTermCheck(request rattanswitchover.Request) {
	now := r.proxy.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.termChecks[request.Group].startedAt) < termCheckInterval {
		return
	}
	r.termChecks[request.Group] = termCheck{startedAt: now}
	go func() {
		if !r.coordinator.View(request).IsDeposed(request.Record.Primary) {
			return
		}
		r.mu.Lock()
		r.termChecks[request.Group] = termCheck{startedAt: now, deposedVersion: request.Record.Version}
		r.mu.Unlock()
		r.proxy.logger.Warn("primary_deposed", "group", request.Group, "primary", request.Record.Primary, "number", request.Record.Version)
	}()
}

// isFoundDeposed reports whether the primary of a record did not lead its group.
func (r *switchoverRunner) isFoundDeposed(group string, record rattangrant.PrimaryRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.termChecks[group].deposedVersion
	return version != 0 && version == record.Version
}
