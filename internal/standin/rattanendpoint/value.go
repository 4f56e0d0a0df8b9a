package rattanendpoint

import (
	"time"

	"github.com/rattanstream/rattanstream/internal/standin/rattansql"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

func encodeValue(value rattansql.Value) *rattanv1.Value {
	switch value := value.(type) {
	case string:
		return &rattanv1.Value{Kind: &rattanv1.Value_Text{Text: value}}
	case int64:
		return &rattanv1.Value{Kind: &rattanv1.Value_Integer{Integer: value}}
	case float64:
		return &rattanv1.Value{Kind: &rattanv1.Value_Real{Real: value}}
	case bool:
		return &rattanv1.Value{Kind: &rattanv1.Value_Boolean{Boolean: value}}
	case []byte:
		return &rattanv1.Value{Kind: &rattanv1.Value_Blob{Blob: value}}
	}
	return &rattanv1.Value{}
}

func decodeValues(values []*rattanv1.Value) []rattansql.Value {
	decoded := make([]rattansql.Value, len(values))
	for i, value := range values {
		switch kind := value.GetKind().(type) {
		case *rattanv1.Value_Text:
			decoded[i] = kind.Text
		case *rattanv1.Value_Integer:
			decoded[i] = kind.Integer
		case *rattanv1.Value_Real:
			decoded[i] = kind.Real
		case *rattanv1.Value_Boolean:
			decoded[i] = kind.Boolean
		case *rattanv1.Value_Blob:
			decoded[i] = kind.Blob
		}
	}
	return decoded
}

func encodeRow(row []rattansql.Value) *rattanv1.Row {
	encoded := &rattanv1.Row{}
	for _, value := range row {
		encoded.Values = append(encoded.Values, encodeValue(value))
	}
	return encoded
}

func encodeResult(result rattansql.Result) *rattanv1.Result {
	encoded := &rattanv1.Result{Columns: result.Columns, Affected: result.Affected}
	for _, row := range result.Rows {
		encoded.Rows = append(encoded.Rows, encodeRow(row))
	}
	return encoded
}

// milliseconds rounds up, because the values are upper bounds.
func milliseconds(d time.Duration) uint64 {
	return uint64((d + time.Millisecond - 1) / time.Millisecond)
}

func fromMilliseconds(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
