package rattanerr

import (
	"strings"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// ReasonName returns the snake case name of reason that logs, metrics and the
// documentation use, for example "over_rate".
func ReasonName(reason rattanv1.Reason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "REASON_"))
}
