package rattancmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// oddTexts are ids and names that hold what separates fields and lines elsewhere.
var oddTexts = map[string]string{
	"quotes":          `a"b'c`,
	"line break":      "a\r\nb",
	"forged line":     "x\n{\"time\":\"2026-12-06T00:00:00Z\",\"msg\":\"statement_failed\",\"id\":\"victim\"}",
	"line separator":  "a\u2028b\u2029c",
	"NUL":             "a\x00b",
	"braces":          `}{"id":"victim"}`,
	"level":           `","level":"error`,
	"markup":          "<a&b>",
	"escape sequence": "a\x1b[2Jb",
	"blanks":          "  a\tb  ",
	"long":            strings.Repeat("x", 1<<20),
	"long escaped":    strings.Repeat("\x01", 300_000),
}

// writeLog writes one line of a failed statement for each id and returns the path.
func writeLog(t *testing.T, ids ...string) string {
	t.Helper()
	var log bytes.Buffer
	logger, err := newLogger(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		logger.Info("statement_failed", "vm", "vm-1", "id", id, "account", id)
	}
	if lines := bytes.Count(log.Bytes(), []byte("\n")); lines != len(ids) {
		t.Errorf("%d lines of log for %d events", lines, len(ids))
	}
	path := filepath.Join(t.TempDir(), "vm-1.log")
	if err := os.WriteFile(path, log.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// explainID returns what explain prints.
func explainID(t *testing.T, output, id, path string) (string, error) {
	t.Helper()
	var stdout bytes.Buffer
	cmd := newExplainCmd(&config{output: output, stdout: &stdout})
	cmd.SetArgs([]string{id, path})
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	err := cmd.Execute()
	return stdout.String(), err
}

// TestOddIDsAreExplained guards against an id that ends or splits a line of the log, that
// hides other requests, or that explain does not find.
func TestOddIDsAreExplained(t *testing.T) {
	for name, id := range oddTexts {
		t.Run(name, func(t *testing.T) {
			path := writeLog(t, "before", id, id+"x", "after")
			printed, err := explainID(t, outputJSON, id, path)
			if err != nil {
				t.Fatal(err)
			}
			var fields map[string]any
			if err := json.Unmarshal([]byte(printed), &fields); err != nil {
				t.Fatalf("explain prints no single JSON line: %v", err)
			}
			if fields["id"] != id || fields["account"] != id {
				t.Error("the id does not read back as it was")
			}
			if _, err := explainID(t, outputJSON, "after", path); err != nil {
				t.Errorf("another id is not found beside it: %v", err)
			}
			if _, err := explainID(t, outputJSON, "victim", path); err == nil {
				t.Error("an id is found that no request had")
			}
		})
	}
}

// TestOddIDsStayOnTheirLine guards against a field that looks like an event of its own in the
// text that explain prints.
func TestOddIDsStayOnTheirLine(t *testing.T) {
	for name, id := range oddTexts {
		t.Run(name, func(t *testing.T) {
			printed, err := explainID(t, outputTable, id, writeLog(t, id))
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(printed, "\n") != 1 || strings.ContainsAny(printed, "\r\x00\x1b\u2028\u2029") {
				t.Errorf("explain prints control characters or more than one line: %.200q", printed)
			}
		})
	}
}
