package rattansettings

import (
	"fmt"
	"slices"
)

// CheckChange reports changes that a new document must not make. A withdrawn key
// has to stay in the document and stay withdrawn, because a daemon that restarts
// reads withdrawals from the documents alone. A change of a group adds or removes
// at most one endpoint. isWithdrawn reports whether the withdrawal of a key, by
// full name, is known from another source than the documents; it may be nil.
// before is nil for the first document. The error is a *ValidationErrors.
func CheckChange(before, after *Document, isWithdrawn func(keyName string) bool) error {
	var errs []ValidationError
	keysAfter := make(map[string]Key, len(after.keys))
	for _, key := range after.keys {
		keysAfter[key.id] = key
		if !key.withdrawn && isWithdrawn != nil && isWithdrawn(key.Name()) {
			errs = append(errs, withdrawalError(after, key.id))
		}
	}
	if before == nil {
		return NewValidationErrors(errs)
	}
	for _, key := range before.keys {
		if current, found := keysAfter[key.id]; key.withdrawn && (!found || !current.withdrawn) {
			if found && isWithdrawn != nil && isWithdrawn(key.Name()) {
				continue
			}
			errs = append(errs, withdrawalError(after, key.id))
		}
	}
	return NewValidationErrors(append(errs, membershipErrors(before, after)...))
}

// membershipErrors reports groups to which after adds, or from which it removes,
// more than one endpoint in total. Majorities before and after such a change need
// not have an endpoint in common, so two primaries could have their writes
// acknowledged.
func membershipErrors(before, after *Document) []ValidationError {
	var errs []ValidationError
	for _, group := range after.groups {
		i := slices.IndexFunc(before.groups, func(old Group) bool { return old.name == group.name })
		if i < 0 || countDifferences(before.groups[i].endpoints, group.endpoints) <= 1 {
			continue
		}
		errs = append(errs, ValidationError{
			path: DocumentPath(after.team), section: "group." + localName(group.name), key: "endpoints",
			problem:  "more than one endpoint is added or removed at once",
			accepted: "a change of one endpoint; wait until it is in force everywhere before the next",
		})
	}
	return errs
}

// countDifferences returns the number of names that are in only one of the lists.
func countDifferences(a, b []string) int {
	count := 0
	for _, name := range a {
		if !slices.Contains(b, name) {
			count++
		}
	}
	for _, name := range b {
		if !slices.Contains(a, name) {
			count++
		}
	}
	return count
}

func withdrawalError(document *Document, id string) ValidationError {
	return ValidationError{
		path: DocumentPath(document.team), section: "key." + id, key: "withdrawn",
		problem:  "the key is withdrawn, and a withdrawal cannot be undone",
		accepted: "the section with withdrawn = true",
	}
}

// CheckReferences reports the reference errors of after that before does not have,
// so that a change is not rejected for errors that exist already. The error is a
// *ValidationErrors.
func CheckReferences(before, after *Snapshot) error {
	known := make(map[string]bool, len(before.referenceErrs))
	for _, validationErr := range before.referenceErrs {
		known[validationErr.Error()] = true
	}
	var errs []ValidationError
	for _, validationErr := range after.referenceErrs {
		if !known[validationErr.Error()] {
			errs = append(errs, validationErr)
		}
	}
	return NewValidationErrors(errs)
}

// SectionText returns the lines of a section. If key is not empty, it returns only
// the section line and the key's line. It returns false when there is no such
// section or key.
func SectionText(text, section, key string) (string, bool) {
	editor := textEditor{lines: splitLines(text)}
	start, end, found := editor.section(section)
	if !found || section == "" {
		return "", false
	}
	if key == "" {
		return joinLines(editor.lines[start:end]), true
	}
	for i := start + 1; i < end; i++ {
		if editor.lines[i].keyName() == key {
			return joinLines([]textLine{editor.lines[start], editor.lines[i]}), true
		}
	}
	return "", false
}

// AddKeyEdits returns the edits that add a key to a document.
func AddKeyEdits(id, clientAccount string, hash Hash) []Edit {
	section := "key." + id
	return []Edit{
		{Section: section, Key: "client_account", Value: clientAccount},
		{Section: section, Key: "secret_sha256", Value: hash.Hex()},
		{Section: section, Key: "withdrawn", Value: fmt.Sprint(false)},
	}
}

// WithdrawKeyEdit returns the edit that withdraws a key.
func WithdrawKeyEdit(id string) Edit {
	return Edit{Section: "key." + id, Key: "withdrawn", Value: fmt.Sprint(true)}
}
