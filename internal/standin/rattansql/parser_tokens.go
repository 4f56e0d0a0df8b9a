package rattansql

import (
	"slices"
	"strings"
)

// reserved words cannot name a table or column.
var reserved = []string{
	"AND", "ASC", "BY", "CREATE", "DELETE", "DESC", "FALSE", "FROM", "INSERT", "INTO", "LIMIT",
	"NULL", "ORDER", "PRIMARY", "SELECT", "SET", "TABLE", "TRUE", "UPDATE", "VALUES", "WHERE",
}

func (p *parser) peek() token { return p.tokens[0] }

// next returns the next token and moves past it, except past tokenEnd.
func (p *parser) next() token {
	next := p.tokens[0]
	if next.kind != tokenEnd {
		p.tokens = p.tokens[1:]
	}
	return next
}

// is reports whether the next token is the symbol or keyword.
func (p *parser) is(text string) bool {
	next := p.peek()
	return next.kind == tokenSymbol && next.text == text ||
		next.kind == tokenWord && strings.EqualFold(next.text, text)
}

// accept moves past the next token and returns true if it is the symbol or keyword.
func (p *parser) accept(text string) bool {
	if !p.is(text) {
		return false
	}
	p.next()
	return true
}

// expect moves past the given symbols or keywords and fails at the first that is
// missing.
func (p *parser) expect(texts ...string) error {
	for _, text := range texts {
		if !p.accept(text) {
			return p.unexpected(text)
		}
	}
	return nil
}

// name reads the name of a table or column and returns it in lower case.
func (p *parser) name() (string, error) {
	next := p.peek()
	if next.kind != tokenWord || slices.Contains(reserved, strings.ToUpper(next.text)) {
		return "", p.unexpected("the name of a table or column")
	}
	return strings.ToLower(p.next().text), nil
}

func (p *parser) unexpected(wanted string) error {
	next := p.peek()
	return &SyntaxError{Offset: next.offset, Found: next.describe(), Wanted: wanted}
}

// list reads one or more elements in parentheses, separated by commas.
func list[T any](p *parser, element func() (T, error)) ([]T, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	elements, err := series(p, element)
	if err != nil {
		return nil, err
	}
	return elements, p.expect(")")
}

// series reads one or more elements separated by commas.
func series[T any](p *parser, element func() (T, error)) ([]T, error) {
	var elements []T
	for {
		next, err := element()
		if err != nil {
			return nil, err
		}
		elements = append(elements, next)
		if !p.accept(",") {
			return elements, nil
		}
	}
}
