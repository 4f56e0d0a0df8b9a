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
		return Result{}, statementErrorf("table %s exists", statement.Table)
	}
	keys := 0
	for i, column := range statement.Columns {
		if slices.ContainsFunc(statement.Columns[:i], func(c Column) bool { return c.Name == column.Name }) {
			return Result{}, statementErrorf("column %s is declared twice", column.Name)
		}
		keys += boolRank(column.PrimaryKey)
	}
	if keys > 1 {
		return Result{}, statementErrorf("table %s has %d primary keys, at most 1 is accepted", statement.Table, keys)
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
	places, err := insertPlaces(into, statement.Columns)
	if err != nil {
		return Result{}, err
	}
	rows := map[uint64][]Value{}
	id := into.lastID
	for _, expressions := range statement.Rows {
		if len(expressions) != len(places) {
			return Result{}, statementErrorf("%d values, want %d", len(expressions), len(places))
		}
		row := make([]Value, len(into.columns))
		for i, expression := range expressions {
			if row[places[i]], err = evaluate(into, nil, expression, arguments); err != nil {
				return Result{}, err
			}
		}
		id++
		rows[id] = row
	}
	if err := t.checkWrite(into, statement.Table, rows); err != nil {
		return Result{}, err
	}
	// The numbers are used up even when the transaction rolls back, so that two
	// open transactions never write the same new row.
	into.lastID = id
	t.write(statement.Table, rows)
	return Result{Affected: int64(len(rows))}, nil
}

func insertPlaces(into *table, columns []string) ([]int, error) {
	var places []int
	for _, column := range columns {
		at, err := into.column(column)
		if err != nil {
			return nil, err
		}
		if slices.Contains(places, at) {
			return nil, statementErrorf("column %s is named twice", column)
		}
		places = append(places, at)
	}
	if columns == nil {
		for at := range into.columns {
			places = append(places, at)
		}
	}
	return places, nil
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
	if into.key >= 0 {
		for _, id := range ids {
			if err := t.lockKey(statement.Table, rows[id][into.key]); err != nil {
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

func (t *Transaction) lockKey(table string, key Value) error {
	return t.acquire(fmt.Sprintf("%s key %s", table, keyText(key)), true)
}

// checkWrite checks the types of rows and that their primary keys are unique,
// and locks the keys.
func (t *Transaction) checkWrite(into *table, name string, rows map[uint64][]Value) error {
	seen := map[string]bool{}
	for id, row := range rows {
		for i, column := range into.columns {
			if !column.Type.fits(row[i]) {
				return statementErrorf("column %s is %s and does not accept %T", column.Name, column.Type, row[i])
			}
		}
		if into.key < 0 {
			continue
		}
		key := row[into.key]
		if key == nil {
			return statementErrorf("primary key %s is NULL", into.columns[into.key].Name)
		}
		if seen[keyText(key)] {
			return statementErrorf("duplicate primary key %v in table %s", key, name)
		}
		seen[keyText(key)] = true
		if err := t.checkKey(into, name, id, key); err != nil {
			return err
		}
	}
	return nil
}

func (t *Transaction) checkKey(into *table, name string, id uint64, key Value) error {
	old, exists := into.rows[id]
	if written, ok := t.written[name][id]; ok {
		old, exists = written, written != nil
	}
	if exists && keyText(old[into.key]) == keyText(key) {
		return nil
	}
	if exists {
		if err := t.lockKey(name, old[into.key]); err != nil {
			return err
		}
	}
	if err := t.lockKey(name, key); err != nil {
		return err
	}
	for other, row := range t.written[name] {
		if other != id && row != nil && keyText(row[into.key]) == keyText(key) {
			return statementErrorf("duplicate primary key %v in table %s", key, name)
		}
	}
	other, taken := into.keys[keyText(key)]
	if _, rewritten := t.written[name][other]; taken && other != id && !rewritten {
		return statementErrorf("duplicate primary key %v in table %s", key, name)
	}
	return nil
}
