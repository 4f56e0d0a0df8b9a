package rattandispatch

import (
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/endpoint/rattanoutlier"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanplacement"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattanupstream"
)

// outliers are the endpoints that are slow or fail beside their peers.
type outliers struct {
	mu       sync.Mutex
	detector *rattanoutlier.Detector
	onChange func(rattanoutlier.Change)
}

// weigh sets the weights of the candidates of a group, in the order of its upstreams.
func (o *outliers) weigh(upstreams []*rattanupstream.Upstream, candidates []rattanplacement.Candidate, now time.Time) {
	peers := make([]rattanoutlier.Peer, 0, len(candidates))
	for i, c := range candidates {
		peers = append(peers, rattanoutlier.Peer{
			ID: c.ID, StartedUnixMS: upstreams[i].Endpoint().StartedUnixMS, IsPrimary: c.IsPrimary,
			Service: c.Service, FailureShare: c.FailureShare,
		})
	}
	o.mu.Lock()
	changes := o.detector.Judge(peers, now)
	for i := range candidates {
		candidates[i].Weight = o.detector.Weight(candidates[i].ID)
	}
	o.mu.Unlock()
	for _, change := range changes {
		o.onChange(change)
	}
}
