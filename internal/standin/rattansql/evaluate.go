package rattansql

// evaluate computes an expression. row is nil where a column is not allowed.
func evaluate(from *table, row []Value, expression Expression, arguments []Value) (Value, error) {
	var sum Value
	for i, term := range expression {
		value, err := operand(from, row, term.Operand, arguments)
		if err != nil {
			return nil, err
		}
		if i == 0 && !term.Negative {
			sum = value
			continue
		}
		if i == 0 {
			sum = zeroLike(value)
		}
		if sum, err = add(sum, value, term.Negative); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

func zeroLike(v Value) Value {
	if _, ok := v.(float64); ok {
		return float64(0)
	}
	return int64(0)
}

// operand returns the value of an argument, a literal or a column of row.
func operand(from *table, row []Value, o Operand, arguments []Value) (Value, error) {
	switch {
	case o.Argument > 0:
		return arguments[o.Argument-1], nil
	case o.Column == "":
		return o.Literal, nil
	case row == nil:
		return nil, statementErrorf("column %s is not allowed here", o.Column)
	}
	at, err := from.column(o.Column)
	if err != nil {
		return nil, err
	}
	return row[at], nil
}

// add returns a+b or a-b. NULL makes the result NULL.
func add(a, b Value, negative bool) (Value, error) {
	if a == nil || b == nil {
		return nil, nil
	}
	switch a := a.(type) {
	case int64:
		if b, ok := b.(int64); ok {
			return addIntegers(a, b, negative)
		}
	case float64:
		if b, ok := b.(float64); ok && negative {
			return a - b, nil
		} else if ok {
			return a + b, nil
		}
	}
	return nil, statementErrorf("cannot add %T and %T, want two integers or two reals", a, b)
}

func addIntegers(a, b int64, negative bool) (Value, error) {
	sum := a + b
	overflow := (sum > a) != (b > 0) && b != 0
	if negative {
		sum = a - b
		overflow = (sum < a) != (b > 0) && b != 0
	}
	if overflow {
		return nil, statementErrorf("integer overflow when adding or subtracting %d and %d", a, b)
	}
	return sum, nil
}

// matches reports whether a row meets all conditions. A comparison with NULL or
// between types that cannot be compared is not met.
func matches(from *table, row []Value, where []Comparison, arguments []Value) (bool, error) {
	for _, c := range where {
		at, err := from.column(c.Column)
		if err != nil {
			return false, err
		}
		value, err := evaluate(from, row, c.Value, arguments)
		if err != nil {
			return false, err
		}
		order, comparable := compareValues(row[at], value)
		if !comparable || !satisfies(order, c.Operator) {
			return false, nil
		}
	}
	return true, nil
}

func satisfies(order int, operator string) bool {
	switch operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

// checkColumns returns an error if where names an unknown column. matches finds
// that only when there is a row to compare.
func checkColumns(from *table, where []Comparison) error {
	for _, c := range where {
		if _, err := from.column(c.Column); err != nil {
			return err
		}
	}
	return nil
}
