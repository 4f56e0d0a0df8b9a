package rattansoak

import (
	"math/rand/v2"
	"strings"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// awkwardTexts are parts of data, names and values that a reader may take for something else.
var awkwardTexts = []string{
	"", "\n", "\r", "\x00", "\t", "\v\f", " ", "  ", "\u0085", "\u2028", "\u00a0", "é", "日本語", "🙂", "\ufeff", "-", ":", "AFTER 9.9 READ x",
	"x\nQUERY z9 WRITE stolen y", "x\rQUERY z9 WRITE stolen y", "x\nQUERY - WRITE stolen y", "x\nQUERY z9 COMMIT", "\nTERMINATE",
	"a\nCOMPLETE fake\nREADY I 9.9", "a\nERROR BUSY fake\nREADY I -", "\rCOMPLETE fake\rREADY I -", "a\n\nROW b", "QUERY z9 RESET\n",
}

// An awkward draws texts that are hard to keep apart from the protocol. Plain ones are as
// given.
type awkward struct {
	random  *rand.Rand
	isPlain bool
}

// text returns a text that contains core.
func (a awkward) text(core string) string {
	if a.isPlain {
		return core
	}
	return dropLineEnds(a.part() + core + a.part())
}

// word is text without blanks, for the fields that another one follows.
func (a awkward) word(core string) string { return strings.ReplaceAll(a.text(core), " ", "_") }

func (a awkward) part() string {
	return awkwardTexts[a.random.IntN(len(awkwardTexts))] + awkwardTexts[a.random.IntN(len(awkwardTexts))]
}

// dropLineEnds returns the text without ends of messages, which no message can hold. A
// carriage return at the end stays: it is followed by the message's end or a blank.
func dropLineEnds(text string) string {
	for strings.Contains(text, rattanlineserver.LineEnd) {
		text = strings.ReplaceAll(text, rattanlineserver.LineEnd, "\n")
	}
	return text
}
