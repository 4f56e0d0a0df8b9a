package rattansettings

import (
	"strings"

	"github.com/rogpeppe/go-internal/diff"
)

// Diff returns the removed and added lines in the order of the text, each prefixed
// with "-" or "+". Secrets and hashes are replaced by Hidden.
func Diff(before, after string) []string {
	output := diff.Diff("before", withFinalNewline(before), "after", withFinalNewline(after))
	var lines []string
	inHunk := false
	for line := range strings.Lines(string(output)) {
		line = strings.TrimRight(line, "\r\n")
		if strings.HasPrefix(line, "@@") {
			inHunk = true
			continue
		}
		if inHunk && (strings.HasPrefix(line, "-") || strings.HasPrefix(line, "+")) {
			lines = append(lines, Redact(line))
		}
	}
	return lines
}

// withFinalNewline ends the last line with a newline, so that the diff contains no
// note about a missing one.
func withFinalNewline(text string) []byte {
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return []byte(text)
}
