package rattansuccessor

import (
	"slices"

	"github.com/rattanstream/rattanstream/internal/config/rattancatalog"
)

// A Report is the role that an endpoint reports in its entry in the store.
type Report struct {
	Endpoint string
	Role     rattancatalog.Role
	// IsNewer is true when the entry was written after the record of the group.
	IsNewer bool
}

// IsDoubted reports whether reports contradict the recorded primary, so that the endpoints
// have to be asked for their status. An old primary may report its role for a while, so the
// reports alone decide nothing.
func IsDoubted(recorded string, reports []Report) bool {
	return slices.ContainsFunc(reports, func(r Report) bool {
		return r.IsNewer && (r.Endpoint == recorded) == (r.Role == rattancatalog.ReplicaRole)
	})
}
