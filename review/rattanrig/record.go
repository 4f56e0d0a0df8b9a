// Package rattanrig has the parts of the review's scripts: stand-ins of databases, the
// platform, clients, and the daemons as processes.
package rattanrig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// maxLine is after how many bytes a line of a record is cut.
const maxLine = 300

// A Record is the file in which a script writes what was sent, answered and run. It is
// safe for concurrent use.
type Record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// Line writes a line with the time since the start of the script.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	if len(line) > maxLine {
		line = line[:maxLine] + "..."
	}
	// An error of the writer is reported by Close.
	_, _ = fmt.Fprintf(r.writer, "%8.3f %s\n", time.Since(r.start).Seconds(), line)
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes the rest and closes the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
