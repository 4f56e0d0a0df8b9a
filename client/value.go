package client

import (
	"math"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A Statement is one statement with its positional arguments. An argument is nil,
// a string, a bool, an integer, a float, or a []byte.
type Statement struct {
	Text      string
	Arguments []any
}

// A Result is the whole outcome of one statement. The values of a row are in the
// order of Columns; each is nil, a string, a bool, an int64, a float64 or a []byte.
type Result struct {
	Columns []string
	Rows    [][]any
	// Affected is the number of rows that the statement inserted, changed or removed.
	Affected int64
}

func (s Statement) wire() (*rattanv1.Statement, error) {
	wire := &rattanv1.Statement{Text: s.Text}
	for i, argument := range s.Arguments {
		value, ok := toWire(argument)
		if !ok {
			return nil, badRequest("argument %d has type %T, want nil, string, bool, an integer up to 63 bits, a float or []byte", i+1, argument)
		}
		wire.Arguments = append(wire.Arguments, value)
	}
	return wire, nil
}

func wireStatements(statements []Statement) ([]*rattanv1.Statement, error) {
	wire := make([]*rattanv1.Statement, 0, len(statements))
	for _, statement := range statements {
		one, err := statement.wire()
		if err != nil {
			return nil, err
		}
		wire = append(wire, one)
	}
	return wire, nil
}

func toWire(argument any) (*rattanv1.Value, bool) {
	switch v := argument.(type) {
	case nil:
		return &rattanv1.Value{}, true
	case string:
		return &rattanv1.Value{Kind: &rattanv1.Value_Text{Text: v}}, true
	case bool:
		return &rattanv1.Value{Kind: &rattanv1.Value_Boolean{Boolean: v}}, true
	case []byte:
		return &rattanv1.Value{Kind: &rattanv1.Value_Blob{Blob: v}}, true
	case float64:
		return &rattanv1.Value{Kind: &rattanv1.Value_Real{Real: v}}, true
	case float32:
		return &rattanv1.Value{Kind: &rattanv1.Value_Real{Real: float64(v)}}, true
	}
	integer, ok := toInteger(argument)
	return &rattanv1.Value{Kind: &rattanv1.Value_Integer{Integer: integer}}, ok
}

func toInteger(argument any) (int64, bool) {
	switch v := argument.(type) {
	case int:
		return int64(v), true
	case int8:
		return int64(v), true
	case int16:
		return int64(v), true
	case int32:
		return int64(v), true
	case int64:
		return v, true
	case uint8:
		return int64(v), true
	case uint16:
		return int64(v), true
	case uint32:
		return int64(v), true
	case uint:
		return int64(v), uint64(v) <= math.MaxInt64
	case uint64:
		return int64(v), v <= math.MaxInt64
	default:
		return 0, false
	}
}

func fromWire(value *rattanv1.Value) any {
	switch kind := value.GetKind().(type) {
	case *rattanv1.Value_Text:
		return kind.Text
	case *rattanv1.Value_Integer:
		return kind.Integer
	case *rattanv1.Value_Real:
		return kind.Real
	case *rattanv1.Value_Boolean:
		return kind.Boolean
	case *rattanv1.Value_Blob:
		return kind.Blob
	default:
		return nil
	}
}

func resultFromWire(wire *rattanv1.Result) Result {
	result := Result{Columns: wire.GetColumns(), Affected: wire.GetAffected()}
	for _, wireRow := range wire.GetRows() {
		row := make([]any, len(wireRow.GetValues()))
		for i, value := range wireRow.GetValues() {
			row[i] = fromWire(value)
		}
		result.Rows = append(result.Rows, row)
	}
	return result
}

func resultsFromWire(wire []*rattanv1.Result) []Result {
	results := make([]Result, len(wire))
	for i, result := range wire {
		results[i] = resultFromWire(result)
	}
	return results
}
