package rattancmd

import "strings"

// cutOverride splits "SECTION.KEY=VALUE".
func cutOverride(text string) (section, key, value string, ok bool) {
	path, value, ok := strings.Cut(text, "=")
	if !ok {
		return "", "", "", false
	}
	section, key, ok = strings.Cut(path, ".")
	return section, key, value, ok && section != "" && key != ""
}
