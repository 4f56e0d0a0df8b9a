package rattansettings

import (
	"fmt"
	"strings"
)

// A ValidationError describes one error in a settings text.
type ValidationError struct {
	path     string
	section  string
	key      string
	line     int
	value    string
	hasValue bool
	problem  string
	accepted string
}

// Path returns the file name, or "settings/<team>" for a document.
func (e ValidationError) Path() string { return e.path }

// Section returns the section's name. It is empty when the error is not tied to a
// section.
func (e ValidationError) Section() string { return e.section }

// Key returns the key's name. It is empty when the error is not tied to a key.
func (e ValidationError) Key() string { return e.key }

// Line returns the line number, counted from 1, or 0 when the error is not tied to
// a single line.
func (e ValidationError) Line() int { return e.line }

// Value returns the invalid value. The second result is false when there is none or
// when it may be a secret.
func (e ValidationError) Value() (string, bool) { return e.value, e.hasValue }

// Problem describes what is wrong.
func (e ValidationError) Problem() string { return e.problem }

// Accepted describes what would be valid.
func (e ValidationError) Accepted() string { return e.accepted }

// Error implements the error interface. Names and values may contain a secret that
// was pasted in the wrong place, so the message is redacted.
func (e ValidationError) Error() string {
	var b strings.Builder
	b.WriteString(e.path)
	if e.line > 0 {
		fmt.Fprintf(&b, ":%d", e.line)
	}
	b.WriteString(": ")
	if e.section != "" {
		fmt.Fprintf(&b, "[%s] ", e.section)
	}
	if e.key != "" {
		b.WriteString(e.key)
		if e.hasValue {
			fmt.Fprintf(&b, " = %q", e.value)
		}
		b.WriteString(": ")
	}
	b.WriteString(e.problem)
	if e.accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", e.accepted)
	}
	return Redact(b.String())
}

// ValidationErrors lists all validation errors of a settings text: first those of
// lines, then those of sections.
type ValidationErrors struct {
	errs []ValidationError
}

// NewValidationErrors returns a *ValidationErrors, or nil when errs is empty.
func NewValidationErrors(errs []ValidationError) error {
	if len(errs) == 0 {
		return nil
	}
	return &ValidationErrors{errs: errs}
}

// Errors returns the individual errors. The caller must not change the slice.
func (e *ValidationErrors) Errors() []ValidationError { return e.errs }

// Error implements the error interface. Each validation error is on a separate line.
func (e *ValidationErrors) Error() string {
	lines := make([]string, len(e.errs))
	for i, validationErr := range e.errs {
		lines[i] = validationErr.Error()
	}
	return strings.Join(lines, "\n")
}
