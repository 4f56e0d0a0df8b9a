package rattanswitchover

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
	"github.com/rattanstream/rattanstream/internal/endpoint/rattansuccessor"
)

const (
	// statusTimeout limits one status query or step-down request to an endpoint.
	statusTimeout = 400 * time.Millisecond
	// unreachableGracePeriod is how long a status query of all endpoints waits for a
	// primary that counts as unreachable after the others have answered.
	unreachableGracePeriod = 60 * time.Millisecond
)

// EndpointControl sends status queries and step-down requests to an endpoint.
type EndpointControl interface {
	Status(endpoint rattancatalog.Endpoint, timeout time.Duration) (rattansuccessor.Status, error)
	StepDown(endpoint rattancatalog.Endpoint, term uint64, timeout time.Duration) error
}

// Query sends a status query to all endpoints at once and returns the responses. For
// the endpoint that counts as unreachable, if there is one, it waits only
// unreachableGracePeriod after the others have answered.
func Query(clock rattanclock.Clock, control EndpointControl, endpoints []rattancatalog.Endpoint, unreachable string) []rattansuccessor.Status {
	responses := make(chan *rattansuccessor.Status, len(endpoints))
	awaited := 0
	for _, endpoint := range endpoints {
		if endpoint.ID != unreachable {
			awaited++
		}
		go func() {
			status, err := control.Status(endpoint, statusTimeout)
			if err != nil {
				responses <- nil
				return
			}
			responses <- &status
		}()
	}
	var statuses []rattansuccessor.Status
	var grace <-chan time.Time
	for received := range endpoints {
		if received >= awaited && grace == nil {
			grace = clock.After(unreachableGracePeriod)
		}
		select {
		case response := <-responses:
			if response != nil {
				statuses = append(statuses, *response)
			}
		case <-grace:
			return statuses
		}
	}
	return statuses
}
