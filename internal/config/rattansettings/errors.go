package rattansettings

import (
	"fmt"
	"strings"
)

// A ValidationError is one thing that is wrong with a settings text.
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
func (f ValidationError) Path() string { return f.path }

// Section returns the section's name, empty when the fault is outside every section.
func (f ValidationError) Section() string { return f.section }

// Key returns the key's name, empty when the fault concerns a whole section or line.
func (f ValidationError) Key() string { return f.key }

// Line returns the line number, counted from 1, or 0 when no single line is at fault.
func (f ValidationError) Line() int { return f.line }

// Value returns the value found. The second result is false when there is none
// or when it may be a secret.
func (f ValidationError) Value() (string, bool) { return f.value, f.hasValue }

// Problem says what is wrong.
func (f ValidationError) Problem() string { return f.problem }

// Accepted says what would be valid.
func (f ValidationError) Accepted() string { return f.accepted }

// Error implements the error interface. Names and values may repeat what was
// pasted in a wrong place, so it hides everything that looks like a secret.
func (f ValidationError) Error() string {
	var b strings.Builder
	b.WriteString(f.path)
	if f.line > 0 {
		fmt.Fprintf(&b, ":%d", f.line)
	}
	b.WriteString(": ")
	if f.section != "" {
		fmt.Fprintf(&b, "[%s] ", f.section)
	}
	if f.key != "" {
		b.WriteString(f.key)
		if f.hasValue {
			fmt.Fprintf(&b, " = %q", f.value)
		}
		b.WriteString(": ")
	}
	b.WriteString(f.problem)
	if f.accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", f.accepted)
	}
	return Redact(b.String())
}

// A ValidationErrors lists every fault of a settings text: lines first, then sections.
type ValidationErrors struct {
	faults []ValidationError
}

// NewValidationErrors returns ValidationErrors, or nil when faults is empty.
func NewValidationErrors(faults []ValidationError) error {
	if len(faults) == 0 {
		return nil
	}
	return &ValidationErrors{faults: faults}
}

// Errors returns the faults. The caller must not change the slice.
func (e *ValidationErrors) Errors() []ValidationError { return e.faults }

// Error implements the error interface; each fault has a line of its own.
func (e *ValidationErrors) Error() string {
	lines := make([]string, len(e.faults))
	for i, fault := range e.faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
