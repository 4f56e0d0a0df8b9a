package rattansettings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"
)

// An Edit sets a key of a section or, with Remove, removes it. With Remove and an
// empty Key it removes the whole section.
type Edit struct {
	Section string
	Key     string
	Value   string
	Remove  bool
}

// An EditError reports an edit that cannot be made and what is accepted instead. It
// does not contain the edit's value, which may be a secret.
type EditError struct {
	Section  string
	Key      string
	Problem  string
	Accepted string
}

// Error implements the error interface.
func (e *EditError) Error() string {
	return fmt.Sprintf("edit of [%s] %s: %s; accepted: %s", e.Section, e.Key, e.Problem, e.Accepted)
}

// EditText applies the edits in order and keeps everything else in the text:
// comments, order, empty lines and line endings. A new key is added at the end of
// its section and a new section at the end of the text. The error is an *EditError,
// or a *ValidationErrors when the text itself cannot be parsed. EditText checks only
// the syntax of the result; ParseDocument checks the settings.
func EditText(text string, edits ...Edit) (string, error) {
	expected, err := readModel(text)
	if err != nil {
		return "", err
	}
	editor := textEditor{lines: splitLines(text)}
	for _, edit := range edits {
		if err := checkEdit(edit); err != nil {
			return "", err
		}
		if err := expected.apply(edit); err != nil {
			return "", err
		}
		editor.apply(edit)
	}
	edited := joinLines(editor.lines)
	actual, err := readModel(edited)
	if err != nil {
		return "", err
	}
	if !maps.EqualFunc(expected, actual, maps.Equal[map[string]string]) {
		return "", &EditError{Problem: "the edited text does not parse to the values of the edits", Accepted: "edits of plain values"}
	}
	return edited, nil
}

// A textModel contains the values of a text by section and key. EditText applies
// each edit both to the text and to the model of the original text. It returns the
// edited text only if that parses to the edited model, so that an edit never changes
// more than requested.
type textModel map[string]map[string]string

func readModel(text string) (textModel, error) {
	sections, errs := readSections("document", text)
	if err := NewValidationErrors(errs); err != nil {
		return nil, err
	}
	model := make(textModel, len(sections))
	for _, section := range sections {
		values := make(map[string]string, len(section.keys))
		for _, key := range section.keys {
			values[key.name] = key.value
		}
		model[section.name] = values
	}
	return model, nil
}

func (m textModel) apply(edit Edit) error {
	section, hasSection := m[edit.Section]
	_, hasKey := section[edit.Key]
	switch {
	case edit.Remove && !hasSection:
		return newEditError(edit, "there is no such section", "a section of the document")
	case edit.Remove && edit.Key == "":
		delete(m, edit.Section)
	case edit.Remove && !hasKey:
		return newEditError(edit, "there is no such key", "a key of the section")
	case edit.Remove:
		delete(section, edit.Key)
	case !hasSection:
		m[edit.Section] = map[string]string{edit.Key: edit.Value}
	default:
		section[edit.Key] = edit.Value
	}
	return nil
}

func newEditError(edit Edit, problem, accepted string) error {
	return &EditError{Section: messageText(edit.Section), Key: messageText(edit.Key), Problem: problem, Accepted: accepted}
}

// checkEdit returns an error for an edit that the format cannot represent on one
// line.
func checkEdit(edit Edit) error {
	header := textLine{content: "[" + edit.Section + "]"}
	if kind, problem := header.classify(); kind != lineSection || problem != "" || header.sectionName() != edit.Section {
		return newEditError(edit, "not a section name", "lower case letters, digits and dots, such as client_account.dealer-1")
	}
	if edit.Remove && edit.Key == "" {
		return nil
	}
	line := textLine{content: edit.Key + " = " + edit.Value}
	if kind, problem := line.classify(); kind != lineKey || problem != "" || line.keyName() != edit.Key {
		return newEditError(edit, "not a key and value", "a lower case key and a value on one line")
	}
	if !utf8.ValidString(edit.Value) {
		return newEditError(edit, "the value is not UTF-8", "UTF-8 text")
	}
	if strings.TrimSpace(edit.Value) != edit.Value || inlineComment(edit.Value) >= 0 {
		return newEditError(edit, "the value has a comment, or spaces around it", "a plain value")
	}
	return nil
}

// A textEditor applies edits to the lines of a text. The caller checks each edit
// with checkEdit and applies it to a textModel first.
type textEditor struct {
	lines []textLine
}

func (e *textEditor) apply(edit Edit) {
	start, end, found := e.section(edit.Section)
	if !found {
		e.addSection(edit)
		return
	}
	if edit.Remove && edit.Key == "" {
		e.lines = slices.Delete(e.lines, start, end)
		return
	}
	for i := start + 1; i < end; i++ {
		if e.lines[i].keyName() != edit.Key {
			continue
		}
		if edit.Remove {
			e.lines = slices.Delete(e.lines, i, i+1)
			return
		}
		e.lines[i].content = replaceValue(e.lines[i].content, edit.Value)
		return
	}
	e.addKey(start, end, edit)
}

// section returns the range of a section's lines, from start up to but not including
// end. Comments and empty lines directly before the next section line belong to that
// next section.
func (e *textEditor) section(name string) (start, end int, found bool) {
	start = slices.IndexFunc(e.lines, func(l textLine) bool { return l.sectionName() == name })
	if start < 0 {
		return 0, 0, false
	}
	end = start + 1
	for i := start + 1; i < len(e.lines); i++ {
		switch kind, _ := e.lines[i].classify(); kind {
		case lineSection:
			return start, end, true
		case lineKey:
			end = i + 1
		}
	}
	return start, end, true
}

func (e *textEditor) addKey(start, end int, edit Edit) {
	e.terminateLine(end - 1)
	line := textLine{content: edit.Key + " = " + edit.Value, ending: e.lines[start].ending}
	e.lines = slices.Insert(e.lines, end, line)
}

func (e *textEditor) addSection(edit Edit) {
	ending := "\n"
	if last := len(e.lines) - 1; last >= 0 {
		e.terminateLine(last)
		ending = e.lines[last].ending
		if kind, _ := e.lines[last].classify(); kind != lineBlank {
			e.lines = append(e.lines, textLine{ending: ending})
		}
	}
	e.lines = append(e.lines,
		textLine{content: "[" + edit.Section + "]", ending: ending},
		textLine{content: edit.Key + " = " + edit.Value, ending: ending})
}

// terminateLine adds a newline to the line when it has none, which is only possible
// for the last line.
func (e *textEditor) terminateLine(i int) {
	if !strings.HasSuffix(e.lines[i].ending, "\n") {
		e.lines[i].ending += "\n"
	}
}

// replaceValue replaces the value in a key line and keeps the indentation, the
// spaces around the equals sign and the comment after the value.
func replaceValue(content, value string) string {
	trimmed := strings.TrimLeft(content, " \t")
	indent := content[:len(content)-len(trimmed)]
	match := keyPattern.FindStringSubmatch(strings.TrimSpace(trimmed))
	comment := ""
	if i := inlineComment(match[3]); i >= 0 {
		comment = match[3][i:]
	}
	separator := match[2]
	if !strings.HasSuffix(separator, " ") && strings.HasPrefix(separator, " ") {
		separator += " "
	}
	return indent + match[1] + separator + value + comment
}
