package rattanendpoint

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/standin/rattansql"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// A log entry carries the changes of a transaction to rows, not the text of its
// statements: two transactions that do not lock the same rows may commit in an
// order in which their statements would have other effects. Each change is encoded
// as a Statement whose text is one of these prefixes and the name of the table.
const (
	effectCreate = "create "
	effectPut    = "put "
	effectRemove = "remove "
)

// append appends an entry of the instance's term to the log and makes its changes
// visible. The caller holds mu.
func (i *Instance) append(entry *rattanv1.LogEntry) {
	_, index := i.state.last()
	entry.Position = &rattanv1.Position{Term: i.state.Term, Index: index + 1}
	i.accept(entry)
}

// accept appends an entry, which already has its position, to the log and makes
// its changes visible. The caller holds mu.
func (i *Instance) accept(entry *rattanv1.LogEntry) {
	i.state.Log = append(i.state.Log, entry)
	i.apply(entry)
	i.notify()
}

func (i *Instance) apply(entry *rattanv1.LogEntry) {
	// This cannot fail: the changes come from a transaction that an instance has
	// run on the same tables.
	_ = i.database.Apply(decodeEffects(entry.GetStatements()))
	i.storeRecord(entry)
}

// truncate removes the log entries after index, rolls back open transactions and
// rebuilds the rows and request records. The caller holds mu.
func (i *Instance) truncate(index uint64) {
	if index >= uint64(len(i.state.Log)) {
		return
	}
	i.state.Log = slices.Clone(i.state.Log[:index])
	for _, connection := range i.connections {
		connection.rollBack()
	}
	i.rebuild()
	i.notify()
}

// rebuild computes the rows and request records from the log.
func (i *Instance) rebuild() {
	i.database = rattansql.NewDatabase()
	i.records = map[requestKey]requestRecord{}
	for _, entry := range i.state.Log {
		i.apply(entry)
	}
}

func encodeEffects(changes []rattansql.Change) []*rattanv1.Statement {
	var effects []*rattanv1.Statement
	for _, change := range changes {
		switch {
		case len(change.Columns) > 0:
			effects = append(effects, &rattanv1.Statement{Text: effectCreate + change.Table, Arguments: encodeColumns(change.Columns)})
		case change.Row != nil:
			arguments := append([]*rattanv1.Value{encodeValue(int64(change.ID))}, encodeRow(change.Row).GetValues()...)
			effects = append(effects, &rattanv1.Statement{Text: effectPut + change.Table, Arguments: arguments})
		default:
			effects = append(effects, &rattanv1.Statement{Text: effectRemove + change.Table, Arguments: []*rattanv1.Value{encodeValue(int64(change.ID))}})
		}
	}
	return effects
}

func decodeEffects(effects []*rattanv1.Statement) []rattansql.Change {
	var changes []rattansql.Change
	for _, effect := range effects {
		kind, table, _ := strings.Cut(effect.GetText(), " ")
		change := rattansql.Change{Table: table}
		if kind+" " == effectCreate {
			change.Columns = decodeColumns(effect.GetArguments())
		} else if values := decodeValues(effect.GetArguments()); len(values) > 0 {
			id, _ := values[0].(int64)
			change.ID = uint64(id)
			if kind+" " == effectPut {
				change.Row = values[1:]
			}
		}
		changes = append(changes, change)
	}
	return changes
}

func encodeColumns(columns []rattansql.Column) []*rattanv1.Value {
	var values []*rattanv1.Value
	for _, column := range columns {
		values = append(values, encodeValue(column.Name), encodeValue(string(column.Type)), encodeValue(column.PrimaryKey))
	}
	return values
}

func decodeColumns(values []*rattanv1.Value) []rattansql.Column {
	var columns []rattansql.Column
	for group := range slices.Chunk(values, 3) {
		if len(group) == 3 {
			columns = append(columns, rattansql.Column{
				Name:       group[0].GetText(),
				Type:       rattansql.ColumnType(group[1].GetText()),
				PrimaryKey: group[2].GetBoolean(),
			})
		}
	}
	return columns
}

func marshal(message proto.Message) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Encoding fails only for strings that are not valid UTF-8, and the
		// transport does not accept messages with those.
		return nil
	}
	return encoded
}
