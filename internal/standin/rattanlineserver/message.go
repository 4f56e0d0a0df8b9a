package rattanlineserver

import (
	"bufio"
	"strings"
)

// lineEnd ends a message. A line feed or carriage return alone is data.
const lineEnd = "\r\n"

// readMessage reads a message and returns it without its end.
func readMessage(reader *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := reader.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		message = append(message, part...)
		if text, ok := strings.CutSuffix(string(message), lineEnd); ok {
			return text, nil
		}
	}
}
