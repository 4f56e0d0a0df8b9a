package rattansettings

import (
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxTextBytes limits the length of a settings text. The platform stores at most
// 1 MiB per value; the other half is left for the change list and JSON escapes,
// which are stored with the text.
const maxTextBytes = 512 << 10

// sectionPattern and keyPattern match the accepted section and key lines. They
// exclude syntax that the INI library gives a special meaning: quoted names,
// automatic numbers and names with spaces.
var (
	sectionPattern = regexp.MustCompile(`^\[([a-z0-9_.-]+)\]\s*([#;].*)?$`)
	keyPattern     = regexp.MustCompile(`^([a-z0-9_]+)(\s*=\s*)(.*)$`)
)

// loadOptions make the INI library read values literally, and keep repeated sections
// and keys so that they can be reported.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00",
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

type rawKey struct {
	name  string
	value string
}

type rawSection struct {
	name string
	keys []rawKey
}

// readSections splits a settings text into sections. Invalid lines are reported and
// skipped, so that errors in the rest of the text are found as well.
func readSections(path, text string) ([]rawSection, []ValidationError) {
	if validationErr, ok := checkText(path, text); !ok {
		return nil, []ValidationError{validationErr}
	}
	clean, errs := blankInvalidLines(path, text)
	file, err := ini.LoadSources(loadOptions, []byte(clean))
	if err != nil {
		validationErr := ValidationError{path: path, problem: "not readable as INI", accepted: `lines of the form "[section]" and "key = value"`}
		return nil, append(errs, validationErr)
	}
	seen := make(map[string]bool)
	var sections []rawSection
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			continue
		}
		if seen[section.Name()] {
			errs = append(errs, ValidationError{
				path: path, section: messageText(section.Name()),
				problem: "the section occurs twice", accepted: "one section of each name",
			})
			continue
		}
		seen[section.Name()] = true
		raw, repeated := readKeys(path, section)
		sections = append(sections, raw)
		errs = append(errs, repeated...)
	}
	return sections, errs
}

func readKeys(path string, section *ini.Section) (rawSection, []ValidationError) {
	raw := rawSection{name: section.Name()}
	var errs []ValidationError
	for _, key := range section.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			errs = append(errs, ValidationError{
				path: path, section: messageText(section.Name()), key: messageText(key.Name()),
				problem: "the key occurs twice", accepted: "one key of each name in a section",
			})
		}
		raw.keys = append(raw.keys, rawKey{name: key.Name(), value: key.Value()})
	}
	return raw, errs
}

func checkText(path, text string) (ValidationError, bool) {
	switch {
	case len(text) > maxTextBytes:
		return ValidationError{path: path, problem: "the text is too long", accepted: "at most 524288 bytes"}, false
	case !utf8.ValidString(text):
		return ValidationError{path: path, problem: "the text is not UTF-8", accepted: "UTF-8 text"}, false
	default:
		return ValidationError{}, true
	}
}

// blankInvalidLines empties the lines that are not valid in the format and keeps
// their line endings. After an invalid section line it empties all key lines of that
// section, which would otherwise be read as keys of the section before.
func blankInvalidLines(path, text string) (string, []ValidationError) {
	var errs []ValidationError
	lines := splitLines(text)
	inSection, skipping := false, false
	for i, line := range lines {
		kind, problem := line.classify()
		switch {
		case problem != "":
		case kind == lineSection:
			inSection, skipping = true, false
		case kind == lineKey && skipping:
			lines[i].content = ""
		case kind == lineKey && !inSection:
			problem = "the key is outside every section"
		}
		if problem == "" {
			continue
		}
		if kind == lineSection {
			skipping = true
		}
		lines[i].content = ""
		errs = append(errs, ValidationError{
			path: path, line: i + 1, problem: problem,
			accepted: `"[section]", "key = value" with lower case names, "# comment", or an empty line`,
		})
	}
	return joinLines(lines), errs
}

type lineKind int

const (
	lineBlank lineKind = iota
	lineComment
	lineSection
	lineKey
	lineOther
)

// A textLine is the content of a line and its line ending, so that edits preserve
// both.
type textLine struct {
	content string
	ending  string
}

func splitLines(text string) []textLine {
	var lines []textLine
	for len(text) > 0 {
		content, rest, found := strings.Cut(text, "\n")
		ending := ""
		if found {
			ending = "\n"
		}
		if trimmed, ok := strings.CutSuffix(content, "\r"); ok {
			content, ending = trimmed, "\r"+ending
		}
		lines = append(lines, textLine{content: content, ending: ending})
		text = rest
	}
	return lines
}

func joinLines(lines []textLine) string {
	var b strings.Builder
	for _, line := range lines {
		b.WriteString(line.content)
		b.WriteString(line.ending)
	}
	return b.String()
}

// classify returns the kind of the line, and why the line is invalid or an empty
// string when it is valid.
func (l textLine) classify() (lineKind, string) {
	content := strings.TrimSpace(l.content)
	kind := lineOther
	switch {
	case content == "":
		kind = lineBlank
	case content[0] == '#' || content[0] == ';':
		kind = lineComment
	case content[0] == '[':
		kind = lineSection
	case strings.Contains(content, "="):
		kind = lineKey
	}
	switch {
	case strings.ContainsFunc(l.content, isForbidden):
		return kind, "the line contains a control character"
	case kind == lineSection && !sectionPattern.MatchString(content):
		return kind, "not a section line"
	case kind == lineKey && !keyPattern.MatchString(content):
		return kind, "not a key line"
	case kind == lineKey && strings.HasPrefix(keyPattern.FindStringSubmatch(content)[3], "`"):
		return kind, "the value begins with a quotation mark"
	case kind == lineKey && strings.HasPrefix(keyPattern.FindStringSubmatch(content)[3], `"`):
		return kind, "the value begins with a quotation mark"
	case kind == lineOther:
		return kind, "neither a section, a key nor a comment"
	}
	return kind, ""
}

func isForbidden(r rune) bool {
	return r != '\t' && (unicode.IsControl(r) || r == '\uFEFF' || r == '\u2028' || r == '\u2029')
}

// sectionName returns the name in a section line, or an empty string for other lines.
func (l textLine) sectionName() string {
	match := sectionPattern.FindStringSubmatch(strings.TrimSpace(l.content))
	if match == nil {
		return ""
	}
	return match[1]
}

// keyName returns the name in a key line, or an empty string for other lines.
func (l textLine) keyName() string {
	match := keyPattern.FindStringSubmatch(strings.TrimSpace(l.content))
	if match == nil {
		return ""
	}
	return match[1]
}

// inlineComment returns the index in value where a comment begins: at a space
// that is followed by "#" or ";". It returns -1 when there is none.
func inlineComment(value string) int {
	for i := 1; i < len(value); i++ {
		if (value[i] == '#' || value[i] == ';') && value[i-1] == ' ' {
			return i - 1
		}
	}
	return -1
}
