package rattancmd

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// TestSyncWriter guards against lines of the demo's script and of its load that are
// written at the same moment and lost or mixed.
func TestSyncWriter(t *testing.T) {
	var buffer bytes.Buffer
	writer := &syncWriter{w: &buffer}
	var writing sync.WaitGroup
	for range 8 {
		writing.Go(func() {
			for range 100 {
				fmt.Fprintln(writer, "a whole line")
			}
		})
	}
	writing.Wait()
	if got := strings.Count(buffer.String(), "a whole line\n"); got != 800 {
		t.Errorf("%d whole lines, want 800", got)
	}
}
