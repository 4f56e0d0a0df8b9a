package rattandaemon

import (
	"context"
	"sync"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	// loadTimeout bounds the question to one daemon.
	loadTimeout = 500 * time.Millisecond
	// loadAge is how long the answers of all daemons are kept, so that one
	// operator's request asks the fleet once.
	loadAge = 200 * time.Millisecond
)

// A load is the work on the endpoints of one failure domain.
type load struct{ running, started uint32 }

// A fleetLoad asks all live daemons for their work on endpoints.
type fleetLoad struct {
	clock rattanclock.Clock
	ask   func() []*rattanv1.DomainLoad

	mutex   sync.Mutex
	asked   time.Time
	domains map[string]load
}

// domain returns the work of all live daemons on the endpoints of a failure domain.
func (f *fleetLoad) domain(name string) load {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.domains == nil || f.clock.Now().Sub(f.asked) > loadAge {
		f.domains = make(map[string]load)
		for _, part := range f.ask() {
			sum := f.domains[part.GetFailureDomain()]
			sum.running += part.GetRunning()
			sum.started += part.GetStarted()
			f.domains[part.GetFailureDomain()] = sum
		}
		f.asked = f.clock.Now()
	}
	return f.domains[name]
}

// ownLoad returns this daemon's work on endpoints.
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

// askLoads returns the work of all live daemons. A daemon that does not answer
// in time is left out; GetFleet shows it as silent.
func (d *Daemon) askLoads() []*rattanv1.DomainLoad {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	var asking sync.WaitGroup
	var mutex sync.Mutex
	loads := d.ownLoad()
	for _, peer := range d.members.LivePeers() {
		asking.Go(func() {
			frame := &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_LoadRequest{LoadRequest: &rattanv1.LoadRequest{}}}
			answer, err := d.peers.client.Call(ctx, peer.Address, frame)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			loads = append(loads, answer.GetLoadResponse().GetDomains()...)
		})
	}
	asking.Wait()
	return loads
}

func (d *Daemon) handleLoad(context.Context, *rattanv1.PeerFrame) (*rattanv1.PeerFrame, error) {
	response := &rattanv1.LoadResponse{Domains: d.ownLoad()}
	return &rattanv1.PeerFrame{Body: &rattanv1.PeerFrame_LoadResponse{LoadResponse: response}}, nil
}
