package rattandaemon

import (
	"bytes"
	"testing"

	"github.com/rattanstream/rattanstream/internal/base/rattanclock"
	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattansession"
)

// TestSessionsMerge guards against a session that loses the position of one of two
// concurrent writes because one token replaces the other instead of being merged.
func TestSessionsMerge(t *testing.T) {
	sealer, err := rattansession.NewSealer(bytes.Repeat([]byte{1}, rattansession.KeyLength))
	if err != nil {
		t.Fatal(err)
	}
	s := &sessions{clock: rattanclock.System(), sealer: sealer}
	seal := func(group string, index uint64) string {
		opened, err := s.Open(nil, "shop/a")
		if err != nil {
			t.Fatal(err)
		}
		opened.Advance(group, rattanmodel.Position{Term: 1, Index: index})
		return opened.Seal()
	}
	merged, err := s.Open([]string{seal("g", 7), seal("h", 2), seal("g", 5)}, "shop/a")
	if err != nil {
		t.Fatal(err)
	}
	if g, h := merged.Position("g"), merged.Position("h"); g.Index != 7 || h.Index != 2 {
		t.Errorf("merged positions are %s and %s, want 1/7 and 1/2", g, h)
	}
	if _, err := s.Open([]string{seal("g", 1)}, "shop/b"); err == nil {
		t.Error("token of another client account was accepted")
	}
}
