// Package rattanlog writes log lines in the background, so that a slow reader of the
// log never blocks the code that logs.
package rattanlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the total length of the lines that wait to be written.
	maxPendingBytes = 256 << 10
	// flushInterval is how long lines are collected before they are written.
	flushInterval = 50 * time.Millisecond
	// maxLinesPerSecond is how many lines are accepted in one second. Further
	// lines are dropped and counted.
	maxLinesPerSecond = 400
	// reservedLinesPerSecond is the part of maxLinesPerSecond that is reserved for
	// warnings and errors.
	reservedLinesPerSecond = 100
)

// A Writer accepts whole lines and writes them in the background. When the reader of
// its target is slow, or too many lines are logged, it drops lines and writes a
// log_lines_dropped line with their number. It is safe for concurrent use.
type Writer struct {
	target io.Writer
	now    func() time.Time

	mu      sync.Mutex
	pending bytes.Buffer
	dropped uint64
	// second is the Unix time of the last line, lines the number of lines that
	// were accepted in that second.
	second int64
	lines  int
}

// NewWriter returns a Writer to target. The lines are written by Run.
func NewWriter(target io.Writer, now func() time.Time) *Writer {
	return &Writer{target: target, now: now}
}

// Write accepts or drops one line. It never waits for the target and never returns
// an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.accepts(line) {
		w.pending.Write(line)
	} else {
		w.dropped++
	}
	return len(line), nil
}

// accepts reports whether line is within the limits and counts it if it is.
func (w *Writer) accepts(line []byte) bool {
	if second := w.now().Unix(); second != w.second {
		w.second, w.lines = second, 0
	}
	limit := maxLinesPerSecond
	if !isUrgent(line) {
		limit -= reservedLinesPerSecond
	}
	if w.lines >= limit || w.pending.Len()+len(line) > maxPendingBytes {
		return false
	}
	w.lines++
	return true
}

// isUrgent reports whether a JSON line has the level warn or error.
func isUrgent(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"warn"`)) || bytes.Contains(line, []byte(`"level":"error"`))
}

// Dropped returns the number of lines that were dropped since the start.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes the accepted lines until ctx ends, and then the remaining ones. Lines of
// a failed write are lost. Run returns the error of the last write only.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return w.flush(&reported)
		case <-ticker.C:
			// A failed write is not retried. Its lines are lost, but the next write
			// may succeed.
			_ = w.flush(&reported)
		}
	}
}

// flush writes the pending lines, and a line with the number of dropped lines when
// that has grown since it was reported.
func (w *Writer) flush(reported *uint64) error {
	w.mu.Lock()
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	dropped := w.dropped
	w.mu.Unlock()
	if dropped != *reported {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"warn","msg":"log_lines_dropped","count":%d}`+"\n",
			w.now().UTC().Format(time.RFC3339Nano), dropped-*reported)
		*reported = dropped
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := w.target.Write(lines)
	return err
}
