package rattansettings

import (
	"regexp"
	"strings"
	"unicode/utf8"
)

// Hidden replaces secrets in messages, diffs and logs.
const Hidden = "(hidden)"

// maxMessageRunes limits how much of a name or value an error message repeats.
const maxMessageRunes = 80

// secretPattern matches keys, team credentials and long runs of hexadecimal digits,
// which are hashes or seal keys. It is applied to whole texts, so that a secret that
// was pasted in the wrong place is also found.
var secretPattern = regexp.MustCompile(`(?i)\brs[kt]_[0-9a-z_-]*|[0-9a-f]{32,}`)

// Redact returns text with everything that looks like a secret replaced by Hidden.
func Redact(text string) string {
	return secretPattern.ReplaceAllString(text, Hidden)
}

// messageText returns text for use in an error message: redacted, as valid UTF-8 and
// truncated.
func messageText(text string) string {
	text = Redact(strings.ToValidUTF8(text, "\uFFFD"))
	if utf8.RuneCountInString(text) <= maxMessageRunes {
		return text
	}
	return string([]rune(text)[:maxMessageRunes]) + "..."
}
