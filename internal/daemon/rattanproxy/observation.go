package rattanproxy

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// attachObservation adds the newest known position of a group's primary to an
// answer, so that daemons that rarely ask the primary know a floor for reads.
func (p *Proxy) attachObservation(response *rattanv1.WorkResponse, group string) {
	primary, ok := p.grants.Primary(group)
	if !ok {
		return
	}
	position, asked, ok := p.endpoints.History(group).Newest()
	if !ok {
		return
	}
	response.Primary = primary
	response.PrimaryPosition = position.Wire()
	response.PrimaryAgeMs = uint32(max(p.boot.Now().Sub(asked), 0).Milliseconds()) + 1
}

// noteObservation takes the observation of an answer in. It counts from before
// the question was sent, which is earlier than the owner asked the primary.
func (p *Proxy) noteObservation(response *rattanv1.WorkResponse, group string, sent time.Time) {
	if response.GetPrimary() == "" {
		return
	}
	primary, ok := p.grants.Primary(group)
	if !ok || primary != response.GetPrimary() {
		return
	}
	asked := sent.Add(-time.Duration(response.GetPrimaryAgeMs()) * time.Millisecond)
	p.endpoints.History(group).Observe(rattanmodel.PositionFromWire(response.GetPrimaryPosition()), asked)
}
