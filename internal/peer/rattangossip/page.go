package rattangossip

import (
	"cmp"
	"strings"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// firstPage returns the first of records, up to pageBytes but at least one.
func firstPage(records []Record) []Record {
	size := 0
	for i, record := range records {
		size += record.wireBytes()
		if size > pageBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

func appendWire(wire []*rattanv1.Record, records []Record) []*rattanv1.Record {
	for _, record := range records {
		wire = append(wire, record.Wire())
	}
	return wire
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), strings.Compare(a.name, b.name))
}
