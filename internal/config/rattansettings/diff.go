package rattansettings

import (
	"strings"

	"github.com/rogpeppe/go-internal/diff"
)

// Diff returns the lines removed and added, each with "-" or "+" in front, in
// the order of the text. Secrets and hashes are hidden.
func Diff(before, after string) []string {
	output := diff.Diff("before", endText(before), "after", endText(after))
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

// endText gives the last line an ending, so that the diff has no remark about a
// missing one.
func endText(text string) []byte {
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return []byte(text)
}
