package rattanchecker

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

func readFile(t *testing.T, path string) []Event {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	events, err := ReadTrace(file)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// TestCheck guards against a checker that rejects a valid trace or misses a
// violation. File names begin with <guarantee>_accept or <guarantee>_reject, and
// every guarantee has at least one file of each.
func TestCheck(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	covered := make(map[string]bool)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".jsonl")
		parts := strings.SplitN(name, "_", 3)
		guarantee, verdict := strings.ToUpper(parts[0]), parts[1]
		covered[guarantee+" "+verdict] = true
		t.Run(name, func(t *testing.T) {
			violations := Check(readFile(t, path))
			if verdict == "accept" && len(violations) > 0 {
				t.Errorf("valid trace was rejected: %v", violations)
			}
			if verdict == "reject" && len(violations) == 0 {
				t.Error("violation in the trace was not found")
			}
			for _, v := range violations {
				if v.Guarantee != guarantee || len(v.Lines) == 0 || slices.Contains(v.Lines, 0) || v.Why == "" {
					t.Errorf("got %v, want a violation of %s with trace lines and a description", v, guarantee)
				}
			}
		})
	}
	if len(covered) != 2*14 {
		t.Errorf("%d of 28 pairs of guarantee and verdict have a trace", len(covered))
	}
}

// TestWriter guards against event fields that are lost or changed when a trace is
// written and read back.
func TestWriter(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		events := readFile(t, path)
		var buffer bytes.Buffer
		writer := NewWriter(&buffer)
		for _, event := range events {
			if err := writer.Write(event); err != nil {
				t.Fatal(err)
			}
		}
		if err := writer.Flush(); err != nil {
			t.Fatal(err)
		}
		again, err := ReadTrace(&buffer)
		if err != nil || !reflect.DeepEqual(events, again) {
			t.Errorf("%s: events differ after writing and reading: %v, %v", path, again, err)
		}
	}
}

// TestReadTrace guards against a reader that silently skips an invalid line of a
// trace.
func TestReadTrace(t *testing.T) {
	for name, line := range map[string]string{
		"not JSON":          "{",
		"unknown type":      `{"type":"rumour"}`,
		"unknown field":     `{"type":"request","colour":"red"}`,
		"unknown run state": `{"type":"response","run_state":"perhaps"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadTrace(strings.NewReader("\n" + line + "\n"))
			if err == nil || !strings.Contains(err.Error(), "line 2") {
				t.Errorf("got %v, want an error that names line 2", err)
			}
		})
	}
}

// FuzzReadTrace guards against panics of the reader or a check on arbitrary input.
func FuzzReadTrace(f *testing.F) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		events, err := ReadTrace(bytes.NewReader(data))
		if err == nil && len(events) < 50 {
			Check(events)
		}
	})
}
