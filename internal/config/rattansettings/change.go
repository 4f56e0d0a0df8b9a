package rattansettings

import (
	"fmt"
	"slices"
)

// CheckChange reports what a new document may not change: a withdrawn key stays
// in the document and stays withdrawn, because a daemon that starts anew learns
// of withdrawals from the documents alone. isWithdrawn tells of keys, by full
// name, whose withdrawal is known from elsewhere; it may be nil. before is nil
// for the first document. The error is a *ValidationErrors.
func CheckChange(before, after *Document, isWithdrawn func(keyName string) bool) error {
	var faults []ValidationError
	now := make(map[string]Key, len(after.keys))
	for _, key := range after.keys {
		now[key.id] = key
		if !key.withdrawn && isWithdrawn != nil && isWithdrawn(key.Name()) {
			faults = append(faults, withdrawalFault(after, key.id))
		}
	}
	if before == nil {
		return NewValidationErrors(faults)
	}
	for _, key := range before.keys {
		if current, found := now[key.id]; key.withdrawn && (!found || !current.withdrawn) {
			if found && isWithdrawn != nil && isWithdrawn(key.Name()) {
				continue
			}
			faults = append(faults, withdrawalFault(after, key.id))
		}
	}
	return NewValidationErrors(append(faults, membershipFaults(before, after)...))
}

// membershipFaults reports groups of which more than one endpoint is added or
// removed at once. Majorities before and after such a change need not have an
// endpoint in common, so two primaries could have their writes acknowledged.
func membershipFaults(before, after *Document) []ValidationError {
	var faults []ValidationError
	for _, group := range after.groups {
		at := slices.IndexFunc(before.groups, func(old Group) bool { return old.name == group.name })
		if at < 0 || differences(before.groups[at].endpoints, group.endpoints) <= 1 {
			continue
		}
		faults = append(faults, ValidationError{
			path: DocumentPath(after.team), section: "group." + localName(group.name), key: "endpoints",
			problem:  "more than one endpoint is added or removed at once",
			accepted: "a change of one endpoint; wait until it is in force everywhere before the next",
		})
	}
	return faults
}

// differences returns how many names are in one list only.
func differences(a, b []string) int {
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

func withdrawalFault(document *Document, id string) ValidationError {
	return ValidationError{
		path: DocumentPath(document.team), section: "key." + id, key: "withdrawn",
		problem:  "the key was withdrawn, which cannot be taken back",
		accepted: "the section with withdrawn = true",
	}
}

// CheckReferences reports the references between documents that hold with before
// but not with after. The error is a *ValidationErrors.
func CheckReferences(before, after *Snapshot) error {
	known := make(map[string]bool, len(before.faults))
	for _, fault := range before.faults {
		known[fault.Error()] = true
	}
	var faults []ValidationError
	for _, fault := range after.faults {
		if !known[fault.Error()] {
			faults = append(faults, fault)
		}
	}
	return NewValidationErrors(faults)
}

// SectionText returns the lines of a section, or with a key its section line and
// the key's line. It returns false when there is no such section or key.
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
