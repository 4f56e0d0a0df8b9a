package rattancmd

import (
	"bytes"
	"strings"
	"testing"
)

// TestExplainOfOddText guards against a field of a log line that becomes a line, or a
// field, of its own in the output of explain.
func TestExplainOfOddText(t *testing.T) {
	const forged = "12:00:00.000  vm-2  group_record primary=i-9"
	for _, tc := range []struct{ name, log, want string }{
		{"plain text", `{"time":"2026-12-06T12:00:00Z","vm":"vm-1","msg":"refused","id":"q1","reason":"no primary yet"}`, "reason=no primary yet"},
		{"line feed", `{"time":"2026-12-06T12:00:00Z","vm":"vm-1","msg":"refused","id":"q1","reason":"x\n` + forged + `"}`, `reason="x\n` + forged + `"`},
		{"carriage return", `{"time":"2026-12-06T12:00:00Z","vm":"vm-1","msg":"refused","id":"q1","reason":"x\r` + forged + `"}`, `reason="x\r` + forged + `"`},
		{"line separator", `{"time":"2026-12-06T12:00:00Z","vm":"vm-1","msg":"refused","id":"q1","reason":"x\u2028y"}`, `reason="x\u2028y"`},
		{"terminal control", `{"time":"2026-12-06T12:00:00Z","vm":"vm-1","msg":"refused","id":"q1","reason":"\u001b[2Jx"}`, `reason="\x1b[2Jx"`},
		{"other field", `{"time":"2026-12-06T12:00:00Z","vm":"vm-1","msg":"refused","id":"q1","reason":"x vm=vm-2"}`, `reason="x vm=vm-2"`},
		{"name of the VM", `{"time":"2026-12-06T12:00:00Z","vm":"a\nb","msg":"refused","id":"q1"}`, `"a\nb"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lines, err := readLog(strings.NewReader(tc.log + "\n"))
			if err != nil {
				t.Fatal(err)
			}
			var output bytes.Buffer
			c := &config{stdout: &output}
			if err := c.writeLogLines(explain("q1", lines)); err != nil {
				t.Fatal(err)
			}
			if got := output.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, tc.want) {
				t.Errorf("got %q, want one line with %s", got, tc.want)
			}
		})
	}
}

// TestExplainOfOddIdentifiers guards against a request whose events are those of
// another one, because one identifier contains the other, or holds quotes or lines.
func TestExplainOfOddIdentifiers(t *testing.T) {
	ids := []string{`q1`, `q11`, `q`, `Q1`, `q1"`, `q1\n`, `q1 `, `{q1}`, `","id":"q1`}
	var log strings.Builder
	logger, err := newLogger(&log, "info")
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range append(ids, "q1\nx", "q1\u2028") {
		logger.Info("refused", "id", id)
	}
	lines, err := readLog(strings.NewReader(log.String()))
	if err != nil || len(lines) != len(ids)+2 {
		t.Fatalf("%d log lines, error %v, want %d", len(lines), err, len(ids)+2)
	}
	for _, id := range ids {
		if got := explain(id, lines); len(got) != 1 || got[0].text("id") != id {
			t.Errorf("events of %q: %v, want its own one", id, got)
		}
	}
}
