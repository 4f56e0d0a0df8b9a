package rattansession

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
)

// encode returns token as bytes: the client account, the issue time in Unix
// milliseconds, the number of groups, then the name, term and index of each group.
// Each string is preceded by its length; numbers are unsigned varints.
func encode(token Token) []byte {
	data := appendString(nil, token.ClientAccount)
	data = binary.AppendUvarint(data, uint64(max(token.Issued.UnixMilli(), 0)))
	data = binary.AppendUvarint(data, uint64(len(token.Positions)))
	for _, group := range slices.Sorted(maps.Keys(token.Positions)) {
		position := token.Positions[group]
		data = appendString(data, group)
		data = binary.AppendUvarint(data, position.Term)
		data = binary.AppendUvarint(data, position.Index)
	}
	return data
}

func appendString(data []byte, s string) []byte {
	data = binary.AppendUvarint(data, uint64(len(s)))
	return append(data, s...)
}

// decode is the inverse of encode. The result is a *MalformedError when data is
// not the encoding of a token.
func decode(data []byte) (Token, error) {
	d := decoder{data: data}
	token := Token{ClientAccount: d.string(), Issued: time.UnixMilli(d.milliseconds())}
	// minGroupLength is the length in bytes of the shortest group: one byte each
	// for the name's length, the term and the index. It bounds the size of the
	// map by the length of the data.
	const minGroupLength = 3
	groups := d.number()
	if groups > uint64(len(d.data)/minGroupLength) {
		return Token{}, &MalformedError{Problem: "the number of groups exceeds the length of the content"}
	}
	token.Positions = make(map[string]rattanmodel.Position, groups)
	for range groups {
		group := d.string()
		position := rattanmodel.Position{Term: d.number(), Index: d.number()}
		token.Positions[group] = token.Positions[group].Max(position)
	}
	if d.failed || len(d.data) > 0 {
		return Token{}, &MalformedError{Problem: "the sealed content is not the encoding of a session"}
	}
	return token, nil
}

// A decoder reads values from the front of data and removes them from it. It sets
// failed, and returns a zero value, when data does not begin with such a value.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) number() uint64 {
	value, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.data = nil
		d.failed = true
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) milliseconds() int64 {
	value := d.number()
	if value > math.MaxInt64 {
		d.failed = true
		return 0
	}
	return int64(value)
}

func (d *decoder) string() string {
	length := d.number()
	if length > uint64(len(d.data)) {
		d.data = nil
		d.failed = true
		return ""
	}
	s := string(d.data[:length])
	d.data = d.data[length:]
	return s
}
