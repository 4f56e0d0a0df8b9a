package rattansql

import (
	"fmt"
	"maps"
	"slices"
)

// A Transaction sees the committed rows and its own changes. It holds exclusive
// locks on the rows that it writes until Close and, with lockReads, shared locks
// on the rows that it selects. Ranges are not locked, so another transaction may
// add rows that match the condition of an earlier statement.
type Transaction struct {
	database *Database
	created  map[string]*table
	// written maps a table to its changed rows by row ID; nil marks a deleted row.
	written   map[string]map[uint64][]Value
	locks     map[string]*lock
	lockReads bool
}

// A Result is the outcome of one statement.
type Result struct {
	Columns  []string
	Rows     [][]Value
	Affected int64
}

// Begin starts a transaction. With lockReads it locks the rows that it selects.
func (d *Database) Begin(lockReads bool) *Transaction {
	return &Transaction{
		database:  d,
		created:   map[string]*table{},
		written:   map[string]map[uint64][]Value{},
		locks:     map[string]*lock{},
		lockReads: lockReads,
	}
}

// Close releases the locks. It discards the changes unless the caller has passed
// them to Database.Apply.
func (t *Transaction) Close() { t.release() }

// Changes returns the changes of the transaction in an order in which
// Database.Apply accepts them: new tables before rows.
func (t *Transaction) Changes() []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(t.created)) {
		changes = append(changes, Change{Table: name, Columns: t.created[name].columns})
	}
	for _, name := range slices.Sorted(maps.Keys(t.written)) {
		for _, id := range slices.Sorted(maps.Keys(t.written[name])) {
			changes = append(changes, Change{Table: name, ID: id, Row: t.written[name][id]})
		}
	}
	return changes
}

// Run runs one statement. A statement that returns an error changes nothing, but
// the locks that it has taken stay held until Close. The error is a
// *BlockedError, after which the statement may be run again, or a
// *StatementError.
func (t *Transaction) Run(statement Statement, arguments []Value) (Result, error) {
	if got := len(arguments); got != statement.Arguments() {
		return Result{}, statementErrorf("statement has %d arguments, want %d", got, statement.Arguments())
	}
	switch statement := statement.(type) {
	case *CreateTable:
		return t.createTable(statement)
	case *Insert:
		return t.insert(statement, arguments)
	case *Update:
		return t.update(statement, arguments)
	case *Delete:
		return t.delete(statement, arguments)
	case *Select:
		return t.selectRows(statement, arguments)
	}
	return Result{}, statementErrorf("unknown statement %T", statement)
}

func (t *Transaction) table(name string) (*table, error) {
	if created, ok := t.created[name]; ok {
		return created, nil
	}
	if committed, ok := t.database.tables[name]; ok {
		return committed, nil
	}
	return nil, statementErrorf("unknown table %s", name)
}

// rows returns the IDs of the rows that match where, in ascending order, and the
// rows by ID as the transaction sees them.
func (t *Transaction) rows(name string, where []Comparison, arguments []Value) ([]uint64, map[uint64][]Value, error) {
	from, err := t.table(name)
	if err != nil {
		return nil, nil, err
	}
	ids, rows := []uint64{}, map[uint64][]Value{}
	for _, id := range t.candidates(from, name, where, arguments) {
		row, written := t.written[name][id]
		if !written {
			row = from.rows[id]
		}
		if row == nil {
			continue
		}
		ok, err := matches(from, row, where, arguments)
		if err != nil {
			return nil, nil, err
		}
		if ok {
			ids = append(ids, id)
			rows[id] = row
		}
	}
	return ids, rows, checkColumns(from, where)
}

// candidates returns the IDs of the rows that may match, in ascending order: the
// row with the primary key if where compares that for equality, otherwise all
// committed rows; in both cases also all rows that the transaction has written.
func (t *Transaction) candidates(from *table, name string, where []Comparison, arguments []Value) []uint64 {
	ids := slices.Collect(maps.Keys(t.written[name]))
	for _, c := range where {
		if from.keyIndex < 0 || c.Operator != "=" || c.Column != from.columns[from.keyIndex].Name {
			continue
		}
		key, err := evaluate(from, nil, c.Value, arguments)
		if err != nil {
			break
		}
		if id, ok := from.keys[keyString(key)]; ok {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		return slices.Compact(ids)
	}
	ids = append(ids, from.ids()...)
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (t *Transaction) lockRows(name string, ids []uint64, exclusive bool) error {
	for _, id := range ids {
		if err := t.acquire(fmt.Sprintf("%s row %d", name, id), exclusive); err != nil {
			return err
		}
	}
	return nil
}

// write records changed rows. The caller has taken all locks and made all checks
// before, so that a statement that fails changes nothing.
func (t *Transaction) write(name string, rows map[uint64][]Value) {
	if t.written[name] == nil {
		t.written[name] = map[uint64][]Value{}
	}
	maps.Copy(t.written[name], rows)
}
