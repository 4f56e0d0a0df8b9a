package rattansettings

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

const editText = "; head\n[a]\nx = 1 # one\ny=2\n\n# about b\n[b]\nz = 3"

// TestEditText guards against edits that lose comments, change the order or change
// another section.
func TestEditText(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		edit       Edit
	}{
		{"set", "; head\n[a]\nx = 5 # one\ny=2\n\n# about b\n[b]\nz = 3", Edit{Section: "a", Key: "x", Value: "5"}},
		{"set without spaces", "; head\n[a]\nx = 1 # one\ny=5\n\n# about b\n[b]\nz = 3", Edit{Section: "a", Key: "y", Value: "5"}},
		{"add key", "; head\n[a]\nx = 1 # one\ny=2\nw = 5\n\n# about b\n[b]\nz = 3", Edit{Section: "a", Key: "w", Value: "5"}},
		{"add key at the end", "; head\n[a]\nx = 1 # one\ny=2\n\n# about b\n[b]\nz = 3\nw = 5\n", Edit{Section: "b", Key: "w", Value: "5"}},
		{"add section", editText + "\n\n[c]\nw = 5\n", Edit{Section: "c", Key: "w", Value: "5"}},
		{"remove key", "; head\n[a]\ny=2\n\n# about b\n[b]\nz = 3", Edit{Section: "a", Key: "x", Remove: true}},
		{"remove section", "; head\n\n# about b\n[b]\nz = 3", Edit{Section: "a", Remove: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := EditText(editText, tc.edit)
			if err != nil || got != tc.want {
				t.Errorf("got %q, %v\nwant %q", got, err, tc.want)
			}
		})
	}
}

// TestEditTextRefuses guards against an edit that injects additional lines, sections
// or comments, and against a removal that succeeds although nothing is removed.
func TestEditTextRefuses(t *testing.T) {
	for name, edit := range map[string]Edit{
		"value with a line":    {Section: "a", Key: "x", Value: "1\n[c]"},
		"value with a comment": {Section: "a", Key: "x", Value: "1 # c"},
		"quoted value":         {Section: "a", Key: "x", Value: "`1"},
		"key with a line":      {Section: "a", Key: "x\ny", Value: "1"},
		"section with a line":  {Section: "a]\n[b", Key: "x", Value: "1"},
		"section with comment": {Section: "a] # [b", Key: "x", Value: "1"},
		"no key":               {Section: "a", Value: "1"},
		"absent key":           {Section: "a", Key: "w", Remove: true},
		"absent section":       {Section: "c", Remove: true},
	} {
		t.Run(name, func(t *testing.T) {
			var editError *EditError
			if got, err := EditText(editText, edit); !errors.As(err, &editError) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// TestDiff guards against a diff that shows a hash, and against text that is mistaken
// for a diff header.
func TestDiff(t *testing.T) {
	before := "[key.k]\n-- x\nsecret_sha256 = " + hexA + "\n"
	after := "[key.k]\nsecret_sha256 = " + hexB + "\nwithdrawn = true"
	want := []string{"--- x", "-secret_sha256 = (hidden)", "+secret_sha256 = (hidden)", "+withdrawn = true"}
	if got := Diff(before, after); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := Diff(before, strings.TrimSpace(before)); len(got) != 0 {
		t.Errorf("a missing last line ending is reported: %q", got)
	}
}

// FuzzEditText guards against an edit whose result does not parse to the requested
// values.
func FuzzEditText(f *testing.F) {
	f.Add(editText, "a", "x", "5", false)
	f.Add("[a]\r\nx =1\r\n", "a", "y", "`", true)
	f.Fuzz(func(t *testing.T, text, section, key, value string, remove bool) {
		edited, err := EditText(text, Edit{Section: section, Key: key, Value: value, Remove: remove})
		var editError *EditError
		var validationErrs *ValidationErrors
		switch {
		case errors.As(err, &validationErrs):
			if _, err := readModel(text); err == nil {
				t.Fatalf("edit of a valid text gives an invalid one: %v", validationErrs)
			}
		case errors.As(err, &editError):
			if editError.Section == "" && editError.Problem != "" && section != "" {
				t.Fatalf("edited text differs from the requested edit: %v", err)
			}
		case err != nil:
			t.Fatalf("error is %T", err)
		case !remove:
			model, err := readModel(edited)
			if err != nil || model[section][key] != value {
				t.Fatalf("value is not set: %v", err)
			}
		}
	})
}
