package rattanendpoint

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/standin/rattansql"
	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

// An entry carries the effects of a transaction on rows, not its text: two
// transactions that do not lock the same rows may commit in an order in which
// their texts would have other effects. Each effect is a Statement with one of
// these texts, followed by the table's name.
const (
	effectCreate = "create "
	effectPut    = "put "
	effectRemove = "remove "
)

// append writes an entry of the own term to the log and makes its effects
// visible. The caller holds mu.
func (i *Instance) append(entry *rattanv1.LogEntry) {
	_, index := i.state.last()
	entry.Position = &rattanv1.Position{Term: i.state.Term, Index: index + 1}
	i.accept(entry)
}

// accept adds an entry at the end of the log. The caller holds mu.
func (i *Instance) accept(entry *rattanv1.LogEntry) {
	i.state.Log = append(i.state.Log, entry)
	i.apply(entry)
	i.notify()
}

func (i *Instance) apply(entry *rattanv1.LogEntry) {
	// The entry was produced by an instance of this type, so the effects fit.
	_ = i.database.Apply(decodeEffects(entry.GetStatements()))
	i.keepRecord(entry)
}

// truncate cuts the log after index and computes rows and records anew. The
// caller holds mu.
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

// rebuild computes rows and request records from the log.
func (i *Instance) rebuild() {
	i.database = rattansql.NewDatabase()
	i.records = map[recordKey]record{}
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
		// Only text that is not UTF-8 fails, and the transport has refused it.
		return nil
	}
	return encoded
}
