package rattancmd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const (
	// explainBefore and explainAfter are the times before and after a request within
	// which state events are shown, because they may have caused its outcome.
	explainBefore = 5 * time.Second
	explainAfter  = 500 * time.Millisecond
)

// stateEvents are the log events that record a change of a daemon's own state or of
// its view of the fleet, the groups and the shared store.
var stateEvents = []string{
	"configuration_in_force", "daemon_start", "duty_taken", "endpoint_found", "endpoint_gone", "endpoint_leaving",
	"endpoints_unreachable", "grants_extended", "group_record", "holder_silent", "isolation", "keeper_silent",
	"knowledge_relayed", "lease_ended", "log_lines_dropped", "record_restored", "reload", "stop_begin", "store_lost",
	"store_regained", "store_restored", "switch_begin", "switch_blocked", "switch_end", "switch_failed",
	"switch_possible", "vm_expelled",
}

// A logLine is one event of a daemon's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

func (l logLine) text(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

func newExplainCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID LOG...",
		Short:   "Show the log events of one request, and those around it that may be its cause",
		Example: "  rattanstream explain 5c0e7a21d94b36f8 vm-*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			selected := explain(args[0], lines)
			if len(selected) == 0 {
				return errors.Errorf("no line of the logs has the id %s; requests that were answered in time are not logged", args[0])
			}
			return c.writeLogLines(selected)
		},
	}
}

// readLogs reads the JSON lines of log files, ordered by time. Text in front of the
// JSON, such as a log collector's timestamp, and lines without JSON are skipped.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log file")
		}
		read, err := readLog(file)
		// The file is only read, so closing it loses nothing.
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
		lines = append(lines, read...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	return lines, nil
}

func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	// A line may be longer than any limit of a scanner: ids are up to 1 MiB, and each of their
	// bytes may be escaped.
	reader := bufio.NewReader(r)
	for {
		text, err := reader.ReadString('\n')
		if line, ok := parseLogLine(text); ok {
			lines = append(lines, line)
		}
		switch {
		case errors.Is(err, io.EOF):
			return lines, nil
		case err != nil:
			return lines, err
		}
	}
}

// parseLogLine returns false for a line without an event.
func parseLogLine(text string) (logLine, bool) {
	_, text, ok := strings.Cut(text, "{")
	if !ok {
		return logLine{}, false
	}
	line := logLine{}
	decoder := json.NewDecoder(strings.NewReader("{" + text))
	// Numbers such as leases have more digits than a float64 prints.
	decoder.UseNumber()
	if decoder.Decode(&line.fields) != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	line.at = at
	return line, err == nil
}

// explain returns the log lines of a request and the state events of all daemons
// around it.
func explain(id string, lines []logLine) []logLine {
	first := slices.IndexFunc(lines, func(l logLine) bool { return l.text("id") == id })
	if first < 0 {
		return nil
	}
	last := first
	for i, line := range lines {
		if line.text("id") == id {
			last = i
		}
	}
	from, to := lines[first].at.Add(-explainBefore), lines[last].at.Add(explainAfter)
	var selected []logLine
	for _, line := range lines {
		isNear := line.at.After(from) && line.at.Before(to) && slices.Contains(stateEvents, line.text("msg"))
		if line.text("id") == id || isNear {
			selected = append(selected, line)
		}
	}
	return selected
}

func (c *config) writeLogLines(lines []logLine) error {
	for _, line := range lines {
		if c.output == outputJSON {
			if err := json.NewEncoder(c.stdout).Encode(line.fields); err != nil {
				return err
			}
			continue
		}
		if _, err := fmt.Fprintf(c.stdout, "%s  %-20s %-22s %s\n", line.at.Format("15:04:05.000"), quoteOdd(line.text("vm")), quoteOdd(line.text("msg")), line.otherFields()); err != nil {
			return err
		}
	}
	return nil
}

// otherFields returns the fields that have no column of their own, except the level,
// in the order of their names.
func (l logLine) otherFields() string {
	var names []string
	for name := range l.fields {
		if name != "time" && name != "vm" && name != "msg" && name != "level" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var parts []string
	for _, name := range names {
		parts = append(parts, quoteOdd(name)+"="+quoteOdd(fmt.Sprint(l.fields[name])))
	}
	return strings.Join(parts, " ")
}

// quoteOdd returns text in quotes if it could be taken for several fields or lines.
func quoteOdd(text string) string {
	isOdd := func(r rune) bool { return r == '=' || r == '"' || !strconv.IsPrint(r) }
	if strings.ContainsFunc(text, isOdd) {
		return strconv.Quote(text)
	}
	return text
}
