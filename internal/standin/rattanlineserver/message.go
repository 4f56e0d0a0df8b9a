package rattanlineserver

import (
	"bufio"
	"bytes"
)

// LineEnd ends a message. A line feed or carriage return alone is data.
const LineEnd = "\r\n"

// ReadMessage reads a message and returns it without its end.
func ReadMessage(reader *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := reader.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		message = append(message, part...)
		if text, ok := bytes.CutSuffix(message, []byte(LineEnd)); ok {
			return string(text), nil
		}
	}
}
