package rattansettings

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEditAnyValue guards against a value that is stored and read back as another
// value, or as a key or section of its own.
func TestEditAnyValue(t *testing.T) {
	value := rapid.OneOf(
		rapid.String(),
		rapid.Map(rapid.SliceOf(rapid.SampledFrom([]string{
			"a", " ", "\t", "\n", "\r", "\x00", "\u2028", "\u0085", "\uFEFF", "\u00a0", "#", ";", "`", `"`, "'", "=", ":", "[", "]", `\`, "%", "$", "{", "}", ",",
		})), func(parts []string) string { return strings.Join(parts, "") }),
	)
	rapid.Check(t, func(t *rapid.T) {
		edit := Edit{Section: "a", Key: "x", Value: value.Draw(t, "value")}
		edited, err := EditText(editText, edit)
		if err != nil {
			return // a value that one line cannot hold is refused
		}
		sections, errs := readSections("document", edited)
		if len(errs) > 0 || len(sections) != 2 || len(sections[0].keys) != 2 || len(sections[1].keys) != 1 {
			t.Fatalf("%q reads as %+v, errors %v", edited, sections, errs)
		}
		want := []rawKey{{name: "x", value: edit.Value}, {name: "y", value: "2"}, {name: "z", value: "3"}}
		for i, key := range append(sections[0].keys, sections[1].keys...) {
			if key != want[i] {
				t.Fatalf("%q: key %+v, want %+v", edited, key, want[i])
			}
		}
	})
}
