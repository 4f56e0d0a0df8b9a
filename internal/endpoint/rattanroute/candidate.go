package rattanroute

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// A Candidate is an endpoint that a read may go to, with what the read must ask
// of it. The endpoint checks both, so an outdated view costs time only.
type Candidate struct {
	Endpoint rattanmodel.EndpointView
	// Primary is true when the endpoint is the group's primary.
	Primary bool
	// MinPosition is the position that the endpoint must have reached; zero means any.
	MinPosition rattanmodel.Position
	// MaxWait is how long the endpoint may wait to reach MinPosition; 0 means not at all.
	MaxWait time.Duration
	// MaxAge is the largest accepted age of the data; 0 means that age does not matter.
	MaxAge time.Duration
}
