package rattansql

import (
	"maps"
	"slices"
)

// A Database holds the committed rows of all tables and the row locks of open
// transactions. It is not safe for concurrent use.
type Database struct {
	tables map[string]*table
	locks  map[string]*lock
}

type table struct {
	columns []Column
	// keyIndex is the index of the primary key's column, -1 without one.
	keyIndex int
	// rows maps a row ID to the committed row.
	rows map[uint64][]Value
	// keys maps the keyString of a primary key to the row ID.
	keys map[string]uint64
	// lastID is the last row ID handed out, also to a transaction that is open or
	// has rolled back.
	lastID uint64
}

// A Change is one effect of a transaction: a new table (Columns set), a new or
// changed row (Row set), or a deleted row (neither set).
type Change struct {
	Table   string
	Columns []Column
	ID      uint64
	Row     []Value
}

// NewDatabase returns an empty Database.
func NewDatabase() *Database {
	return &Database{tables: map[string]*table{}, locks: map[string]*lock{}}
}

// Apply makes the changes of a committed transaction visible. The error is a
// *StatementError when a change does not fit the tables.
func (d *Database) Apply(changes []Change) error {
	for _, change := range changes {
		if len(change.Columns) > 0 {
			d.tables[change.Table] = newTable(change.Columns)
			continue
		}
		into, ok := d.tables[change.Table]
		if !ok {
			return statementErrorf("change refers to unknown table %s", change.Table)
		}
		if change.Row != nil && len(change.Row) != len(into.columns) {
			return statementErrorf("change of table %s has %d values, want %d", change.Table, len(change.Row), len(into.columns))
		}
		into.apply(change)
	}
	return nil
}

func newTable(columns []Column) *table {
	return &table{
		columns:  columns,
		keyIndex: slices.IndexFunc(columns, func(c Column) bool { return c.PrimaryKey }),
		rows:     map[uint64][]Value{},
		keys:     map[string]uint64{},
	}
}

func (t *table) apply(change Change) {
	if old, ok := t.rows[change.ID]; ok && t.keyIndex >= 0 && t.keys[keyString(old[t.keyIndex])] == change.ID {
		delete(t.keys, keyString(old[t.keyIndex]))
	}
	delete(t.rows, change.ID)
	t.lastID = max(t.lastID, change.ID)
	if change.Row == nil {
		return
	}
	t.rows[change.ID] = change.Row
	if t.keyIndex >= 0 {
		t.keys[keyString(change.Row[t.keyIndex])] = change.ID
	}
}

func (t *table) column(name string) (int, error) {
	at := slices.IndexFunc(t.columns, func(c Column) bool { return c.Name == name })
	if at < 0 {
		return 0, statementErrorf("unknown column %s", name)
	}
	return at, nil
}

// ids returns the IDs of the committed rows in ascending order.
func (t *table) ids() []uint64 { return slices.Sorted(maps.Keys(t.rows)) }
