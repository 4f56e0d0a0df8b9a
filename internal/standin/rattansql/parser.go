package rattansql

import (
	"slices"
	"strings"
)

type parser struct {
	// tokens are the tokens that are not yet read; the last one is tokenEnd.
	tokens []token
	// arguments is the number of ? read so far.
	arguments int
}

// Parse parses one statement; a semicolon at its end is allowed. Errors are
// *SyntaxError.
func Parse(text string) (Statement, error) {
	tokens, err := lex(text)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	statement, err := p.statement()
	if err != nil {
		return nil, err
	}
	p.accept(";")
	if p.peek().kind != tokenEnd {
		return nil, p.unexpected("the end of the statement")
	}
	return statement, nil
}

func (p *parser) statement() (Statement, error) {
	switch {
	case p.accept("CREATE"):
		return p.createTable()
	case p.accept("INSERT"):
		return p.insert()
	case p.accept("UPDATE"):
		return p.update()
	case p.accept("DELETE"):
		return p.delete()
	case p.accept("SELECT"):
		return p.selectRows()
	}
	return nil, p.unexpected("CREATE, INSERT, UPDATE, DELETE or SELECT")
}

func (p *parser) createTable() (Statement, error) {
	statement := &CreateTable{}
	if err := p.expect("TABLE"); err != nil {
		return nil, err
	}
	if p.accept("IF") {
		if err := p.expect("NOT", "EXISTS"); err != nil {
			return nil, err
		}
		statement.IfNotExists = true
	}
	var err error
	if statement.Table, err = p.name(); err != nil {
		return nil, err
	}
	statement.Columns, err = list(p, p.column)
	return statement, err
}

func (p *parser) column() (Column, error) {
	name, err := p.name()
	if err != nil {
		return Column{}, err
	}
	kind := ColumnType(strings.ToUpper(p.peek().text))
	if !slices.Contains([]ColumnType{Text, Integer, Real, Boolean, Blob}, kind) || p.peek().kind != tokenWord {
		return Column{}, p.unexpected("TEXT, INTEGER, REAL, BOOLEAN or BLOB")
	}
	p.next()
	column := Column{Name: name, Type: kind}
	if p.accept("PRIMARY") {
		column.PrimaryKey = true
		return column, p.expect("KEY")
	}
	return column, nil
}

func (p *parser) insert() (Statement, error) {
	statement := &Insert{}
	err := p.expect("INTO")
	if err != nil {
		return nil, err
	}
	if statement.Table, err = p.name(); err != nil {
		return nil, err
	}
	if p.is("(") {
		if statement.Columns, err = list(p, p.name); err != nil {
			return nil, err
		}
	}
	if err := p.expect("VALUES"); err != nil {
		return nil, err
	}
	for {
		row, err := list(p, p.expression)
		if err != nil {
			return nil, err
		}
		statement.Rows = append(statement.Rows, row)
		if !p.accept(",") {
			statement.arguments = p.arguments
			return statement, nil
		}
	}
}

func (p *parser) update() (Statement, error) {
	statement := &Update{}
	var err error
	if statement.Table, err = p.name(); err != nil {
		return nil, err
	}
	if err := p.expect("SET"); err != nil {
		return nil, err
	}
	if statement.Assignments, err = series(p, p.assignment); err != nil {
		return nil, err
	}
	statement.Where, err = p.where()
	statement.arguments = p.arguments
	return statement, err
}

func (p *parser) assignment() (Assignment, error) {
	column, err := p.name()
	if err != nil {
		return Assignment{}, err
	}
	if err := p.expect("="); err != nil {
		return Assignment{}, err
	}
	value, err := p.expression()
	return Assignment{Column: column, Value: value}, err
}

func (p *parser) delete() (Statement, error) {
	statement := &Delete{}
	err := p.expect("FROM")
	if err != nil {
		return nil, err
	}
	if statement.Table, err = p.name(); err != nil {
		return nil, err
	}
	statement.Where, err = p.where()
	statement.arguments = p.arguments
	return statement, err
}

func (p *parser) selectRows() (Statement, error) {
	statement := &Select{}
	var err error
	if !p.accept("*") {
		if statement.Items, err = series(p, p.item); err != nil {
			return nil, err
		}
	}
	if err := p.expect("FROM"); err != nil {
		return nil, err
	}
	if statement.Table, err = p.name(); err != nil {
		return nil, err
	}
	if statement.Where, err = p.where(); err != nil {
		return nil, err
	}
	if p.accept("ORDER") {
		if err := p.expect("BY"); err != nil {
			return nil, err
		}
		if statement.Order, err = series(p, p.order); err != nil {
			return nil, err
		}
	}
	if p.accept("LIMIT") {
		limit, err := p.operand()
		if err != nil {
			return nil, err
		}
		statement.Limit = &limit
	}
	statement.arguments = p.arguments
	return statement, nil
}

func (p *parser) item() (Item, error) {
	name, err := p.name()
	if err != nil || !p.accept("(") {
		return Item{Column: name}, err
	}
	item := Item{Function: strings.ToUpper(name)}
	switch item.Function {
	case "COUNT":
		return item, p.expect("*", ")")
	case "SUM":
		if item.Column, err = p.name(); err != nil {
			return item, err
		}
		return item, p.expect(")")
	}
	return item, p.unexpected("COUNT(*) or SUM(column)")
}

func (p *parser) order() (Order, error) {
	column, err := p.name()
	order := Order{Column: column}
	if p.accept("DESC") {
		order.Descending = true
	} else {
		p.accept("ASC")
	}
	return order, err
}
