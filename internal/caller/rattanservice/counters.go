package rattanservice

import (
	"sync/atomic"

	"github.com/rattanstream/rattanstream/internal/base/rattanerr"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// reasonCount is one more than the highest rattanv1.Reason, so that each reason is
// an index of Counters.refused.
const reasonCount = int(rattanv1.Reason_REASON_ENDPOINT_FAILED) + 1

// Counters count the requests since the start of the daemon. They are safe for
// concurrent use.
type Counters struct {
	served       atomic.Uint64
	replicaReads atomic.Uint64
	primaryReads atomic.Uint64
	refused      [reasonCount]atomic.Uint64
}

// Served returns the number of requests that were answered without a refusal.
func (c *Counters) Served() uint64 { return c.served.Load() }

// ReplicaReads returns the number of reads that replicas served.
func (c *Counters) ReplicaReads() uint64 { return c.replicaReads.Load() }

// PrimaryReads returns the number of reads that primaries served.
func (c *Counters) PrimaryReads() uint64 { return c.primaryReads.Load() }

// Refused returns the number of refusals by the snake case name of their reason.
// Reasons without refusals are left out.
func (c *Counters) Refused() map[string]uint64 {
	refused := make(map[string]uint64)
	for reason := range c.refused {
		if count := c.refused[reason].Load(); count > 0 {
			refused[rattanerr.ReasonName(rattanv1.Reason(reason))] = count
		}
	}
	return refused
}

func (c *Counters) countRefusal(err error) {
	reason := rattanv1.Reason_REASON_UNSPECIFIED
	if refusal, ok := rattanerr.AsRefusal(err); ok {
		reason = refusal.Reason
	}
	if int(reason) < len(c.refused) {
		c.refused[reason].Add(1)
	}
}
