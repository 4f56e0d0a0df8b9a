package rattansql

import (
	"slices"
	"strconv"
	"strings"
)

func (p *parser) where() ([]Comparison, error) {
	if !p.accept("WHERE") {
		return nil, nil
	}
	var comparisons []Comparison
	for {
		comparison, err := p.comparison()
		if err != nil {
			return nil, err
		}
		comparisons = append(comparisons, comparison)
		if !p.accept("AND") {
			return comparisons, nil
		}
	}
}

func (p *parser) comparison() (Comparison, error) {
	column, err := p.name()
	if err != nil {
		return Comparison{}, err
	}
	operator := p.peek().text
	if operator == "<>" {
		operator = "!="
	}
	if p.peek().kind != tokenSymbol || !slices.Contains([]string{"=", "!=", "<", "<=", ">", ">="}, operator) {
		return Comparison{}, p.unexpected("a comparison operator")
	}
	p.next()
	value, err := p.expression()
	return Comparison{Column: column, Operator: operator, Value: value}, err
}

func (p *parser) expression() (Expression, error) {
	var expression Expression
	negative := p.accept("-")
	for {
		operand, err := p.operand()
		if err != nil {
			return nil, err
		}
		expression = append(expression, Term{Operand: operand, Negative: negative})
		switch {
		case p.accept("+"):
			negative = false
		case p.accept("-"):
			negative = true
		default:
			return expression, nil
		}
	}
}

func (p *parser) operand() (Operand, error) {
	switch next := p.peek(); {
	case p.accept("?"):
		p.arguments++
		return Operand{Argument: p.arguments}, nil
	case p.accept("NULL"):
		return Operand{}, nil
	case p.accept("TRUE"):
		return Operand{Literal: true}, nil
	case p.accept("FALSE"):
		return Operand{Literal: false}, nil
	case next.kind == tokenText:
		return Operand{Literal: p.next().text}, nil
	case next.kind == tokenNumber:
		return p.number()
	case next.kind == tokenWord:
		return Operand{Column: strings.ToLower(p.next().text)}, nil
	}
	return Operand{}, p.unexpected("a column, ? or a literal")
}

func (p *parser) number() (Operand, error) {
	text := p.peek().text
	if integer, err := strconv.ParseInt(text, 10, 64); err == nil {
		p.next()
		return Operand{Literal: integer}, nil
	}
	if number, err := strconv.ParseFloat(text, 64); err == nil && strings.Contains(text, ".") {
		p.next()
		return Operand{Literal: number}, nil
	}
	return Operand{}, p.unexpected("a 64-bit integer or a decimal number")
}
