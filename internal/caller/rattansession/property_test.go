package rattansession

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// TestEncodeAnyText guards against names that are read back differently, or as other
// fields, because they hold separators, line breaks or bytes that are not UTF-8.
func TestEncodeAnyText(t *testing.T) {
	text := rapid.OneOf(
		rapid.String(),
		rapid.Map(rapid.SliceOf(rapid.Byte()), func(data []byte) string { return string(data) }),
		rapid.SampledFrom([]string{"", "a/b", "a", "a/", "/", "\x00", "a\nb", "a\r\n", " a ", "a,b", "\u2028", "\x01a"}),
	)
	position := rapid.Custom(func(t *rapid.T) rattanmodel.Position {
		return rattanmodel.Position{Term: rapid.Uint64().Draw(t, "term"), Index: rapid.Uint64().Draw(t, "index")}
	})
	rapid.Check(t, func(t *rapid.T) {
		token := Token{
			ClientAccount: text.Draw(t, "account"),
			Issued:        time.UnixMilli(rapid.Int64Range(0, 1<<50).Draw(t, "issued")),
			Positions:     rapid.MapOf(text, position).Draw(t, "positions"),
		}
		got, err := decode(encode(token))
		isSame := got.ClientAccount == token.ClientAccount && got.Issued.Equal(token.Issued) && maps.Equal(got.Positions, token.Positions)
		if err != nil || !isSame {
			t.Fatalf("got %+v, error %v, want %+v", got, err, token)
		}
	})
}
