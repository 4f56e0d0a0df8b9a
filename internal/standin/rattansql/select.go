package rattansql

import "slices"

func (t *Transaction) selectRows(statement *Select, arguments []Value) (Result, error) {
	from, err := t.table(statement.Table)
	if err != nil {
		return Result{}, err
	}
	ids, rows, err := t.rows(statement.Table, statement.Where, arguments)
	if err != nil {
		return Result{}, err
	}
	if err := sortRows(from, ids, rows, statement.Order); err != nil {
		return Result{}, err
	}
	if ids, err = limitRows(statement.Limit, ids, arguments); err != nil {
		return Result{}, err
	}
	if t.lockReads {
		if err := t.lockRows(statement.Table, ids, false); err != nil {
			return Result{}, err
		}
	}
	matched := make([][]Value, 0, len(ids))
	for _, id := range ids {
		matched = append(matched, rows[id])
	}
	return project(from, statement.Items, matched)
}

func sortRows(from *table, ids []uint64, rows map[uint64][]Value, orders []Order) error {
	indexes := make([]int, len(orders))
	for i, order := range orders {
		var err error
		if indexes[i], err = from.column(order.Column); err != nil {
			return err
		}
	}
	slices.SortStableFunc(ids, func(a, b uint64) int {
		for i, at := range indexes {
			order := sortValues(rows[a][at], rows[b][at])
			if orders[i].Descending {
				order = -order
			}
			if order != 0 {
				return order
			}
		}
		return 0
	})
	return nil
}

func limitRows(limit *Operand, ids []uint64, arguments []Value) ([]uint64, error) {
	if limit == nil {
		return ids, nil
	}
	value, err := operand(nil, nil, *limit, arguments)
	if err != nil {
		return nil, err
	}
	count, ok := value.(int64)
	if !ok || count < 0 {
		return nil, statementErrorf("LIMIT is %v, want an integer of at least 0", value)
	}
	return ids[:min(int64(len(ids)), count)], nil
}

// project returns the selected columns of rows, or the one row of COUNT and SUM.
func project(from *table, items []Item, rows [][]Value) (Result, error) {
	var result Result
	aggregates := 0
	indexes := make([]int, len(items))
	for i, item := range items {
		if item.Function != "" {
			aggregates++
		}
		if item.Function == "COUNT" {
			result.Columns = append(result.Columns, "count")
			continue
		}
		at, err := from.column(item.Column)
		if err != nil {
			return Result{}, err
		}
		indexes[i] = at
		result.Columns = append(result.Columns, item.Column)
	}
	switch {
	case len(items) == 0:
		for _, column := range from.columns {
			result.Columns = append(result.Columns, column.Name)
		}
		result.Rows = rows
		return result, nil
	case aggregates == 0:
		for _, row := range rows {
			result.Rows = append(result.Rows, pickColumns(row, indexes))
		}
		return result, nil
	case aggregates < len(items):
		return Result{}, statementErrorf("columns cannot be selected together with COUNT or SUM")
	}
	row, err := aggregate(items, indexes, rows)
	result.Rows = [][]Value{row}
	return result, err
}

func pickColumns(row []Value, indexes []int) []Value {
	picked := make([]Value, len(indexes))
	for i, at := range indexes {
		picked[i] = row[at]
	}
	return picked
}

// aggregate returns the one row of COUNT and SUM. SUM skips NULL values and is
// NULL when there is nothing to add.
func aggregate(items []Item, indexes []int, rows [][]Value) ([]Value, error) {
	values := make([]Value, len(items))
	for i, item := range items {
		if item.Function == "COUNT" {
			values[i] = int64(len(rows))
			continue
		}
		for _, row := range rows {
			value := row[indexes[i]]
			if value == nil {
				continue
			}
			if values[i] == nil {
				values[i] = zeroLike(value)
			}
			var err error
			if values[i], err = add(values[i], value, false); err != nil {
				return nil, err
			}
		}
	}
	return values, nil
}
