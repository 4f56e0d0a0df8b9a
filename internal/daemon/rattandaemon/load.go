package rattandaemon

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// loadTimeout bounds the load requests to all live daemons, which run at the
	// same time.
	loadTimeout = 500 * time.Millisecond
	// loadMaxAge is how long the loads of all daemons are cached, so that one
	// operator's request queries the fleet once.
	loadMaxAge = 200 * time.Millisecond
)

// A load counts the requests that run on the endpoints of one failure domain, and
// those started there in the last second.
type load struct{ running, started uint32 }

// A fleetLoad sums up the loads of all live daemons by failure domain.
type fleetLoad struct {
	clock rattanclock.Clock
	query func() []*rattanv1.DomainLoad

	mutex   sync.Mutex
	queried time.Time
	domains map[string]load
}

// domain returns the load of all live daemons on the endpoints of a failure domain.
func (f *fleetLoad) domain(name string) load {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.domains == nil || f.clock.Now().Sub(f.queried) > loadMaxAge {
		f.domains = make(map[string]load)
		for _, part := range f.query() {
			sum := f.domains[part.GetFailureDomain()]
			sum.running += part.GetRunning()
			sum.started += part.GetStarted()
			f.domains[part.GetFailureDomain()] = sum
		}
		f.queried = f.clock.Now()
	}
	return f.domains[name]
}

// ownLoad returns this daemon's load, with one entry for each endpoint.
func (d *Daemon) ownLoad() []*rattanv1.DomainLoad {
	var loads []*rattanv1.DomainLoad
	for _, endpoint := range d.endpoints.All() {
		loads = append(loads, &rattanv1.DomainLoad{
			FailureDomain: endpoint.Settings().FailureDomain(),
			Running:       uint32(endpoint.Running()),
			Started:       uint32(endpoint.StartRate()),
		})
	}
	return loads
}

// queryLoads returns the loads of all live daemons, this one included. A daemon
// that does not answer in time is left out; GetFleet shows an unresponsive daemon
// as silent.
func (d *Daemon) queryLoads() []*rattanv1.DomainLoad {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mutex sync.Mutex
	loads := d.ownLoad()
	for _, peer := range d.members.LivePeers() {
		calls.Go(func() {
			frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_LoadRequest{LoadRequest: &rattanv1.LoadRequest{}}}
			response, err := d.peers.client.Call(ctx, peer.Address, frame)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			loads = append(loads, response.GetLoadResponse().GetDomains()...)
		})
	}
	calls.Wait()
	return loads
}

func (d *Daemon) handleLoad(context.Context, *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	response := &rattanv1.LoadResponse{Domains: d.ownLoad()}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_LoadResponse{LoadResponse: response}}, nil
}
