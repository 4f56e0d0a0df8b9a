// Package rattansql implements the SQL subset of the endpoint stand-in: a parser
// and typed in-memory tables with row locks.
//
// Statements: CREATE TABLE, INSERT, UPDATE, DELETE and SELECT over one table.
// Conditions are comparisons joined by AND. Arguments are positional, written as ?.
package rattansql

import (
	"bytes"
	"cmp"
	"fmt"
	"strings"
)

// A Value is nil (NULL) or a string, int64, float64, bool or []byte.
type Value any

// compareValues returns the order of a and b. The second result is false when they
// cannot be compared: one is NULL, or their types differ and are not both numbers.
func compareValues(a, b Value) (int, bool) {
	switch a := a.(type) {
	case string:
		if b, ok := b.(string); ok {
			return strings.Compare(a, b), true
		}
	case int64:
		switch b := b.(type) {
		case int64:
			return cmp.Compare(a, b), true
		case float64:
			return cmp.Compare(float64(a), b), true
		}
	case float64:
		switch b := b.(type) {
		case int64:
			return cmp.Compare(a, float64(b)), true
		case float64:
			return cmp.Compare(a, b), true
		}
	case bool:
		if b, ok := b.(bool); ok {
			return cmp.Compare(boolToInt(a), boolToInt(b)), true
		}
	case []byte:
		if b, ok := b.([]byte); ok {
			return bytes.Compare(a, b), true
		}
	}
	return 0, false
}

// sortValues orders a and b for ORDER BY: NULL first, then by value.
func sortValues(a, b Value) int {
	if a == nil || b == nil {
		return cmp.Compare(boolToInt(a != nil), boolToInt(b != nil))
	}
	order, _ := compareValues(a, b)
	return order
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fits reports whether v can be stored in a column of type t.
func (t ColumnType) fits(v Value) bool {
	switch v.(type) {
	case nil:
		return true
	case string:
		return t == Text
	case int64:
		return t == Integer
	case float64:
		return t == Real
	case bool:
		return t == Boolean
	case []byte:
		return t == Blob
	}
	return false
}

// keyString returns a map key for a value. Values of different types have
// different keys.
func keyString(v Value) string {
	return fmt.Sprintf("%T:%v", v, v)
}
