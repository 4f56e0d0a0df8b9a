package rattanproxy

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanadmission"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// queueLogInterval is the least time between two log events on the queue of an endpoint.
const queueLogInterval = time.Second

// A queueReport passes what the queues of the endpoints decide on to metrics and log. It
// is used by one goroutine.
type queueReport struct {
	proxy *Proxy
	// counted are the totals that the metrics include, logged those of the last log
	// event, by endpoint.
	counted, logged map[string]rattanadmission.Counts
	loggedAt        map[string]time.Time
}

func newQueueReport(p *Proxy) *queueReport {
	return &queueReport{
		proxy: p, counted: make(map[string]rattanadmission.Counts), logged: make(map[string]rattanadmission.Counts),
		loggedAt: make(map[string]time.Time),
	}
}

// update reports what has changed since the last update.
func (r *queueReport) update(upstreams map[string]*rattanupstream.Upstream) {
	for id, upstream := range upstreams {
		counts := upstream.Decisions()
		r.count(counts.Since(r.counted[id]))
		r.counted[id] = counts
		r.log(id, upstream, counts)
	}
	for id := range r.counted {
		if _, ok := upstreams[id]; !ok {
			delete(r.counted, id)
			delete(r.logged, id)
			delete(r.loggedAt, id)
		}
	}
}

func (r *queueReport) count(counts rattanadmission.Counts) {
	counters := &r.proxy.metrics.counters
	counters.Add("refused_no_room", int64(counts.RefusedNoRoom))
	counters.Add("refused_displaced", int64(counts.RefusedDisplaced))
	counters.Add("refused_transaction", int64(counts.RefusedTransaction))
	counters.Add("started_lowest", int64(counts.StartedLowest))
}

// log logs that an endpoint has too little room, at most once in queueLogInterval.
func (r *queueReport) log(id string, upstream *rattanupstream.Upstream, counts rattanadmission.Counts) {
	now := r.proxy.clock.Now()
	since := counts.Since(r.logged[id])
	if since.Refused() == 0 || now.Sub(r.loggedAt[id]) < queueLogInterval {
		return
	}
	r.logged[id], r.loggedAt[id] = counts, now
	state := upstream.State()
	r.proxy.logger.Info("room_short", "endpoint", id, "refused_no_room", since.RefusedNoRoom, "refused_displaced", since.RefusedDisplaced,
		"refused_transaction", since.RefusedTransaction, "started_lowest", since.StartedLowest, "busy", state.Busy,
		"waiting", state.Waiting, "waiting_accounts", state.WaitingAccounts, "service_ms", state.ServiceMS)
}
