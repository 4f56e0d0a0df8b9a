package rattanproxy

import (
	"testing"
	"time"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// TestCommitOfOlderDaemon guards against a commit that ran and is told as in doubt, because
// the daemon that forwards it knows no field is_commit.
func TestCommitOfOlderDaemon(t *testing.T) {
	request := &rattanv1.WorkRequest{Kind: rattanv1.WorkKind_WORK_KIND_COMMIT, StatementId: "1", Text: "COMMIT"}
	if statement := decodeWorkRequest(request, time.Now()); !statement.IsCommit {
		t.Errorf("got %+v, want a commit", statement)
	}
}
