package rattancmd

import (
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	keyPattern   = regexp.MustCompile(`rsk_[0-9a-z-]+_[0-9a-f]{64}`)
	keyIDPattern = regexp.MustCompile(`rsk_[0-9a-z-]+`)
)

func matches(ts *testscript.TestScript, pattern, text string) bool {
	compiled, err := regexp.Compile("(?m)" + pattern)
	ts.Check(err)
	return compiled.MatchString(text)
}

// cmdSave sets a variable to the first match of a pattern in the last output.
func cmdSave(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: save VARIABLE REGEXP")
	}
	compiled, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	found := compiled.FindStringSubmatch(ts.ReadFile("stdout"))
	if found == nil {
		ts.Fatalf("last output has no match for %s", args[1])
	}
	ts.Setenv(args[0], found[len(found)-1])
}

// cmdShows checks that files contain, or with "!" do not contain, a text. The
// files "stdout" and "stderr" are the last output.
func cmdShows(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 || args[0] == "" {
		ts.Fatalf("usage: [!] shows TEXT FILE...")
	}
	for _, file := range args[1:] {
		if strings.Contains(ts.ReadFile(file), args[0]) == neg {
			ts.Fatalf("%s: text was found: %t", file, neg)
		}
	}
}
