package rattanroute

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// A Candidate is an endpoint that may serve a read, with the conditions that the read
// must send to it. The endpoint checks them, so an outdated view only costs time.
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
