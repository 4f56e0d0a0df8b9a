package rattancmd

import (
	stdlog "log"
	"strings"

	"github.com/charmbracelet/log"
)

// responseMark is what net/http writes in front of the bytes of an unexpected response,
// which may be callers' data.
const responseMark = " starting with "

// A libraryLog is the target of Go's standard logger. It logs each message of a library
// as one event, without the bytes of responses.
type libraryLog struct {
	logger *log.Logger
}

// captureLibraryLog makes logger log the messages of the standard logger. The function
// that it returns restores the target that the standard logger had.
func captureLibraryLog(logger *log.Logger) (restore func()) {
	target, flags := stdlog.Writer(), stdlog.Flags()
	stdlog.SetOutput(libraryLog{logger: logger})
	stdlog.SetFlags(0)
	return func() {
		stdlog.SetOutput(target)
		stdlog.SetFlags(flags)
	}
}

// Write implements io.Writer.
func (l libraryLog) Write(message []byte) (int, error) {
	text, _, _ := strings.Cut(strings.TrimRight(string(message), "\n"), responseMark)
	l.logger.Warn("library_message", "text", text)
	return len(message), nil
}
