package rattanproxy

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// attachObservation adds the newest known position of a group's primary to a
// response, so that daemons that rarely query the primary know a minimum position
// for reads. A successful answer of the primary itself has a newer one.
func (p *Proxy) attachObservation(response *rattanv1.WorkResponse, endpoint rattancatalog.Endpoint) {
	primary, ok := p.grants.Primary(endpoint.Group)
	isSuccess := response.GetFailure() == rattanv1.WorkFailure_WORK_FAILURE_UNSPECIFIED && response.GetCode() == 0
	if !ok || primary == endpoint.ID && isSuccess {
		return
	}
	position, queriedAt, ok := p.endpoints.History(endpoint.Group).Newest()
	if !ok {
		return
	}
	response.Primary = primary
	response.PrimaryPosition = position.Wire()
	response.PrimaryAgeMs = uint32(max(p.boot.Now().Sub(queriedAt), 0).Milliseconds()) + 1
}

// applyObservation records the primary position in a response. Its time is
// computed from when the request was sent, which is earlier than when the owner
// queried the primary.
func (p *Proxy) applyObservation(response *rattanv1.WorkResponse, group string, requestSentAt time.Time) {
	if response.GetPrimary() == "" {
		return
	}
	primary, ok := p.grants.Primary(group)
	if !ok || primary != response.GetPrimary() {
		return
	}
	queriedAt := requestSentAt.Add(-time.Duration(response.GetPrimaryAgeMs()) * time.Millisecond)
	p.endpoints.History(group).Observe(rattanmodel.PositionFromWire(response.GetPrimaryPosition()), queriedAt)
}
