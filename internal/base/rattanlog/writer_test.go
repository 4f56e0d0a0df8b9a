package rattanlog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// A blockedTarget blocks each write until release is closed.
type blockedTarget struct{ release chan struct{} }

func (b blockedTarget) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func fixedTime() time.Time { return time.Unix(1000, 0) }

// TestWriteDoesNotBlock guards against requests that wait because the reader of the
// log is slow.
func TestWriteDoesNotBlock(t *testing.T) {
	target := blockedTarget{release: make(chan struct{})}
	w := NewWriter(target, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	for range 100_000 {
		if _, err := w.Write([]byte("{\"level\":\"info\"}\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped although the target is blocked")
	}
	close(target.release)
	cancel()
	<-done
}

// TestReservedLinesKeepWarnings guards against warnings that are dropped because lines
// of lower levels have used up the limit per second.
func TestReservedLinesKeepWarnings(t *testing.T) {
	var target bytes.Buffer
	w := NewWriter(&target, fixedTime)
	for range maxLinesPerSecond {
		_, _ = w.Write([]byte("{\"level\":\"info\"}\n"))
	}
	_, _ = w.Write([]byte("{\"level\":\"warn\",\"msg\":\"kept\"}\n"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	for _, expected := range []string{`"kept"`, `"log_lines_dropped","count":100`} {
		if !strings.Contains(target.String(), expected) {
			t.Errorf("log does not contain %s", expected)
		}
	}
}
