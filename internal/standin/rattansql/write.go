package rattansql

import (
	"fmt"
	"slices"
)

func (t *Transaction) createTable(statement *CreateTable) (Result, error) {
	if _, err := t.table(statement.Table); err == nil {
		if statement.IfNotExists {
			return Result{}, nil
		}
		return Result{}, statementErrorf("table %s already exists", statement.Table)
	}
	keys := 0
	for i, column := range statement.Columns {
		if slices.ContainsFunc(statement.Columns[:i], func(c Column) bool { return c.Name == column.Name }) {
			return Result{}, statementErrorf("column %s is declared twice", column.Name)
		}
		keys += boolToInt(column.PrimaryKey)
	}
	if keys > 1 {
		return Result{}, statementErrorf("table %s has %d primary keys, want at most 1", statement.Table, keys)
	}
	if err := t.acquire("table "+statement.Table, true); err != nil {
		return Result{}, err
	}
	t.created[statement.Table] = newTable(statement.Columns)
	return Result{}, nil
}

func (t *Transaction) insert(statement *Insert, arguments []Value) (Result, error) {
	into, err := t.table(statement.Table)
	if err != nil {
		return Result{}, err
	}
	indexes, err := insertIndexes(into, statement.Columns)
	if err != nil {
		return Result{}, err
	}
	rows := map[uint64][]Value{}
	id := into.lastID
	for _, expressions := range statement.Rows {
		if len(expressions) != len(indexes) {
			return Result{}, statementErrorf("inserted row has %d values, want %d", len(expressions), len(indexes))
		}
		row := make([]Value, len(into.columns))
		for i, expression := range expressions {
			if row[indexes[i]], err = evaluate(into, nil, expression, arguments); err != nil {
				return Result{}, err
			}
		}
		id++
		rows[id] = row
	}
	if err := t.checkWrite(into, statement.Table, rows); err != nil {
		return Result{}, err
	}
	// The row IDs are not reused even if the transaction rolls back, so that two
	// open transactions never write new rows under the same ID.
	into.lastID = id
	t.write(statement.Table, rows)
	return Result{Affected: int64(len(rows))}, nil
}

// insertIndexes returns the index of each column that an INSERT gives values for:
// the named ones, or all columns of the table when columns is nil.
func insertIndexes(into *table, columns []string) ([]int, error) {
	var indexes []int
	for _, column := range columns {
		at, err := into.column(column)
		if err != nil {
			return nil, err
		}
		if slices.Contains(indexes, at) {
			return nil, statementErrorf("column %s is named twice", column)
		}
		indexes = append(indexes, at)
	}
	if columns == nil {
		for at := range into.columns {
			indexes = append(indexes, at)
		}
	}
	return indexes, nil
}

func (t *Transaction) update(statement *Update, arguments []Value) (Result, error) {
	ids, rows, err := t.rows(statement.Table, statement.Where, arguments)
	if err != nil {
		return Result{}, err
	}
	into, err := t.table(statement.Table)
	if err != nil {
		return Result{}, err
	}
	changed := map[uint64][]Value{}
	for _, assignment := range statement.Assignments {
		if _, err := into.column(assignment.Column); err != nil {
			return Result{}, err
		}
	}
	for _, id := range ids {
		row := slices.Clone(rows[id])
		for _, assignment := range statement.Assignments {
			at, _ := into.column(assignment.Column)
			if row[at], err = evaluate(into, rows[id], assignment.Value, arguments); err != nil {
				return Result{}, err
			}
		}
		changed[id] = row
	}
	if err := t.lockRows(statement.Table, ids, true); err != nil {
		return Result{}, err
	}
	if err := t.checkWrite(into, statement.Table, changed); err != nil {
		return Result{}, err
	}
	t.write(statement.Table, changed)
	return Result{Affected: int64(len(ids))}, nil
}

func (t *Transaction) delete(statement *Delete, arguments []Value) (Result, error) {
	ids, rows, err := t.rows(statement.Table, statement.Where, arguments)
	if err != nil {
		return Result{}, err
	}
	if err := t.lockRows(statement.Table, ids, true); err != nil {
		return Result{}, err
	}
	into, err := t.table(statement.Table)
	if err != nil {
		return Result{}, err
	}
	if into.keyIndex >= 0 {
		for _, id := range ids {
			if err := t.lockKey(statement.Table, rows[id][into.keyIndex]); err != nil {
				return Result{}, err
			}
		}
	}
	for id := range rows {
		rows[id] = nil
	}
	t.write(statement.Table, rows)
	return Result{Affected: int64(len(ids))}, nil
}

// lockKey locks a primary key, whether or not a row has it.
func (t *Transaction) lockKey(table string, key Value) error {
	return t.acquire(fmt.Sprintf("%s key %s", table, keyString(key)), true)
}

// checkWrite checks that the values of rows have the column types and that their
// primary keys are unique, and locks the keys that are new or change.
func (t *Transaction) checkWrite(into *table, name string, rows map[uint64][]Value) error {
	seen := map[string]bool{}
	for id, row := range rows {
		for i, column := range into.columns {
			if !column.Type.fits(row[i]) {
				return statementErrorf("column %s has type %s and does not accept %T", column.Name, column.Type, row[i])
			}
		}
		if into.keyIndex < 0 {
			continue
		}
		key := row[into.keyIndex]
		if key == nil {
			return statementErrorf("primary key %s is NULL", into.columns[into.keyIndex].Name)
		}
		if seen[keyString(key)] {
			return statementErrorf("duplicate primary key %v in table %s", key, name)
		}
		seen[keyString(key)] = true
		if err := t.checkKey(into, name, id, key); err != nil {
			return err
		}
	}
	return nil
}

// checkKey returns an error if another row has the primary key. When the row is
// new or its key changes, it locks the old and the new key first.
func (t *Transaction) checkKey(into *table, name string, id uint64, key Value) error {
	old, exists := into.rows[id]
	if written, ok := t.written[name][id]; ok {
		old, exists = written, written != nil
	}
	if exists && keyString(old[into.keyIndex]) == keyString(key) {
		return nil
	}
	if exists {
		if err := t.lockKey(name, old[into.keyIndex]); err != nil {
			return err
		}
	}
	if err := t.lockKey(name, key); err != nil {
		return err
	}
	for other, row := range t.written[name] {
		if other != id && row != nil && keyString(row[into.keyIndex]) == keyString(key) {
			return statementErrorf("duplicate primary key %v in table %s", key, name)
		}
	}
	other, taken := into.keys[keyString(key)]
	if _, rewritten := t.written[name][other]; taken && other != id && !rewritten {
		return statementErrorf("duplicate primary key %v in table %s", key, name)
	}
	return nil
}
