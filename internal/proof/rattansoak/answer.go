package rattansoak

import (
	"bufio"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/standin/rattanlineserver"
)

// errNotWhole says that what a caller received is no whole answer.
var errNotWhole = errors.New("not a whole answer")

// readyMessage matches the message that ends an answer.
var readyMessage = regexp.MustCompile(`\AREADY ([ITE]) (?:-|\d+\.\d+)\z`)

// An answer is a whole answer to a statement.
type answer struct {
	// rows are the ROW messages, as received.
	rows []string
	// signature is that of a success, failure the code and text of an error.
	signature, failure string
	// state is that of the session in the protocol.
	state string
}

// isSuccess reports whether the statement has succeeded.
func (a answer) isSuccess() bool { return a.signature != "" }

// code returns the error code, empty for a success.
func (a answer) code() string {
	code, _, _ := strings.Cut(a.failure, " ")
	return code
}

// isRefused reports whether the answer promises that nothing is kept.
func (a answer) isRefused() bool { return slices.Contains(notRunCodes, a.code()) }

// readGreeting reads the answer to START.
func readGreeting(reader *bufio.Reader) error {
	message, err := rattanlineserver.ReadMessage(reader)
	if err != nil {
		return err
	}
	if strings.HasPrefix(message, "ERROR ") {
		return errors.New(message)
	}
	if ready := readyMessage.FindStringSubmatch(message); ready == nil || ready[1] != "I" {
		return errors.Wrapf(errNotWhole, "greeting %q", message)
	}
	return nil
}

// readAnswer reads the answer to a statement: rows, one COMPLETE or ERROR, and READY. The
// error is errNotWhole after any other message.
func readAnswer(reader *bufio.Reader) (answer, error) {
	var a answer
	for {
		message, err := rattanlineserver.ReadMessage(reader)
		if err != nil {
			return answer{}, err
		}
		kind, rest, _ := strings.Cut(message, " ")
		ready := readyMessage.FindStringSubmatch(message)
		isEnded := a.signature != "" || a.failure != ""
		switch {
		case kind == "ROW" && !isEnded:
			a.rows = append(a.rows, message)
		case kind == "COMPLETE" && !isEnded && rest != "":
			a.signature = rest
		case kind == "ERROR" && !isEnded && rest != "":
			a.failure = rest
		case ready != nil && isEnded:
			a.state = ready[1]
			return a, nil
		default:
			return answer{}, errors.Wrapf(errNotWhole, "%q after %+v", message, a)
		}
	}
}
