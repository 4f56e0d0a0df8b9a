package rattansettings

import (
	"regexp"
	"strings"
	"unicode/utf8"
)

// Hidden replaces a secret in texts for people.
const Hidden = "(hidden)"

// shownRunes limits how much of a value an error message repeats.
const shownRunes = 80

// secretPattern matches keys, team credentials and long hexadecimal digits,
// which are hashes or seal keys. It also covers secrets pasted in a wrong place.
var secretPattern = regexp.MustCompile(`(?i)\brs[kt]_[0-9a-z_-]*|[0-9a-f]{32,}`)

// Redact returns text with everything that looks like a secret replaced.
func Redact(text string) string {
	return secretPattern.ReplaceAllString(text, Hidden)
}

// shown returns text without secrets and cut to a length that fits in a message.
func shown(text string) string {
	text = Redact(strings.ToValidUTF8(text, "\uFFFD"))
	if utf8.RuneCountInString(text) <= shownRunes {
		return text
	}
	return string([]rune(text)[:shownRunes]) + "..."
}
