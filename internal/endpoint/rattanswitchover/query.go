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
	// doubtfulGracePeriod is how long a status query of all endpoints waits for those that
	// probably do not answer after the others have answered.
	doubtfulGracePeriod = 60 * time.Millisecond
)

// EndpointControl sends status queries and step-down requests to an endpoint.
type EndpointControl interface {
	Status(endpoint rattancatalog.Endpoint, timeout time.Duration) (rattansuccessor.Status, error)
	StepDown(endpoint rattancatalog.Endpoint, term uint64, timeout time.Duration) error
}

// Query sends a status query to all endpoints at once and returns the responses. For
// those that are doubtful it waits only doubtfulGracePeriod after the others have answered.
func Query(clock rattanclock.Clock, control EndpointControl, endpoints []rattancatalog.Endpoint, doubtful map[string]bool) []rattansuccessor.Status {
	responses := make(chan *rattansuccessor.Status, len(endpoints))
	awaited := 0
	for _, endpoint := range endpoints {
		if !doubtful[endpoint.ID] {
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
			grace = clock.After(doubtfulGracePeriod)
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
