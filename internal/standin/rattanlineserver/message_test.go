package rattanlineserver

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzReadMessage guards against messages that are not read as they were written.
func FuzzReadMessage(f *testing.F) {
	f.Add("a\nQUERY z9 WRITE stolen y", "\r")
	f.Add("", "\n\r \r")
	f.Add(strings.Repeat("x\n", 5000), "\x00\u2028")
	f.Fuzz(func(t *testing.T, first, second string) {
		if strings.Contains(first, LineEnd) || strings.Contains(second, LineEnd) {
			return // no message holds its end
		}
		text := first + LineEnd + second + LineEnd
		for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			reader := bufio.NewReaderSize(source, 16)
			for _, want := range []string{first, second} {
				if got, err := ReadMessage(reader); err != nil || got != want {
					t.Errorf("read %q, %v, want %q", got, err, want)
				}
			}
			if _, err := ReadMessage(reader); !errors.Is(err, io.EOF) {
				t.Errorf("after the last message: %v", err)
			}
		}
	})
}
