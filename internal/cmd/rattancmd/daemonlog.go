package rattancmd

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rattanstream/rattanstream/internal/base/rattanlog"
)

// lastLinesTimeout limits how long the exit of a daemon waits for a log that is not read.
const lastLinesTimeout = 300 * time.Millisecond

// startLog returns a logger whose lines are written to w in the background, and a function
// that writes the remaining lines. A reader that does not read the log delays neither the
// daemon nor, by more than lastLinesTimeout, its exit.
func startLog(w io.Writer, level string) (logger *log.Logger, closeLog func(), err error) {
	writer := rattanlog.NewWriter(w, time.Now)
	if logger, err = newLogger(writer, level); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = writer.Run(ctx) // lines that cannot be written are lost
	}()
	closeLog = func() {
		cancel()
		select {
		case <-written:
		case <-time.After(lastLinesTimeout):
		}
	}
	return logger, closeLog, nil
}

// newLogger returns a logger that writes JSON lines.
func newLogger(w io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, usageErrorf("log level %q: accepted are debug, info, warn and error", level)
	}
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.JSONFormatter,
		Level:           parsed,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	}), nil
}
