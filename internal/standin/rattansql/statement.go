package rattansql

// A Statement is one parsed statement.
type Statement interface {
	// ReadOnly reports whether the statement changes nothing.
	ReadOnly() bool
	// Arguments returns the number of ? placeholders in the statement.
	Arguments() int
}

// A ColumnType is the type of a column.
type ColumnType string

// The column types.
const (
	Text    ColumnType = "TEXT"
	Integer ColumnType = "INTEGER"
	Real    ColumnType = "REAL"
	Boolean ColumnType = "BOOLEAN"
	Blob    ColumnType = "BLOB"
)

// A Column is one column of a table.
type Column struct {
	Name       string
	Type       ColumnType
	PrimaryKey bool
}

// CreateTable is CREATE TABLE [IF NOT EXISTS].
type CreateTable struct {
	base
	Table       string
	Columns     []Column
	IfNotExists bool
}

// Insert is INSERT INTO ... VALUES.
type Insert struct {
	base
	Table string
	// Columns is nil when the statement names none.
	Columns []string
	Rows    [][]Expression
}

// Update is UPDATE ... SET ... [WHERE].
type Update struct {
	base
	Table       string
	Assignments []Assignment
	Where       []Comparison
}

// Delete is DELETE FROM ... [WHERE].
type Delete struct {
	base
	Table string
	Where []Comparison
}

// Select is SELECT ... FROM ... [WHERE] [ORDER BY] [LIMIT].
type Select struct {
	base
	Table string
	// Items is empty for SELECT *.
	Items []Item
	Where []Comparison
	Order []Order
	// Limit is nil when the statement has none.
	Limit *Operand
}

// ReadOnly implements Statement.
func (*Select) ReadOnly() bool { return true }

type base struct{ arguments int }

func (base) ReadOnly() bool { return false }

func (b base) Arguments() int { return b.arguments }

// An Assignment is one column of SET.
type Assignment struct {
	Column string
	Value  Expression
}

// An Expression is the sum of its terms.
type Expression []Term

// A Term is an operand with its sign.
type Term struct {
	Operand
	Negative bool
}

// An Operand is a column, an argument or a literal. NULL is the literal nil.
type Operand struct {
	// Column is the column's name, empty for the other kinds.
	Column string
	// Argument is the number of the argument, counted from 1; 0 for the other kinds.
	Argument int
	Literal  Value
}

// A Comparison is one condition of WHERE. Operator is one of = != < <= > >=.
type Comparison struct {
	Column   string
	Operator string
	Value    Expression
}

// An Item is one item of SELECT: a column, COUNT(*) or SUM(column).
type Item struct {
	Function string
	Column   string
}

// An Order is one column of ORDER BY.
type Order struct {
	Column     string
	Descending bool
}
