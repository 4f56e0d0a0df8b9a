package rattansql

import (
	"strings"
	"unicode/utf8"
)

type tokenKind int

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenNumber
	tokenText
	tokenSymbol
)

type token struct {
	kind   tokenKind
	text   string
	offset int
}

func (t token) describe() string {
	if t.kind == tokenEnd {
		return "the end"
	}
	return `"` + t.text + `"`
}

// lex splits text into tokens; the last one is tokenEnd.
func lex(text string) ([]token, error) {
	var tokens []token
	for at := 0; at < len(text); {
		c := text[at]
		if strings.IndexByte(" \t\r\n", c) >= 0 {
			at++
			continue
		}
		next, err := lexOne(text, at)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, next.token)
		at = next.end
	}
	return append(tokens, token{kind: tokenEnd, offset: len(text)}), nil
}

type lexed struct {
	token token
	end   int
}

func lexOne(text string, at int) (lexed, error) {
	c := text[at]
	switch {
	case isLetter(c):
		end := scan(text, at, func(c byte) bool { return isLetter(c) || isDigit(c) })
		return lexed{token{tokenWord, text[at:end], at}, end}, nil
	case isDigit(c):
		end := scan(text, at, func(c byte) bool { return isDigit(c) || c == '.' })
		return lexed{token{tokenNumber, text[at:end], at}, end}, nil
	case c == '\'':
		return lexText(text, at)
	}
	for _, symbol := range []string{"<=", ">=", "!=", "<>", "=", "<", ">", "(", ")", ",", "*", "+", "-", "?", ";"} {
		if strings.HasPrefix(text[at:], symbol) {
			return lexed{token{tokenSymbol, symbol, at}, at + len(symbol)}, nil
		}
	}
	_, size := utf8.DecodeRuneInString(text[at:])
	return lexed{}, &SyntaxError{Offset: at, Found: `"` + text[at:at+size] + `"`, Wanted: "a word, number, text or operator"}
}

// lexText reads a text literal; ” inside it is one quote.
func lexText(text string, start int) (lexed, error) {
	var literal strings.Builder
	for at := start + 1; at < len(text); at++ {
		if text[at] != '\'' {
			literal.WriteByte(text[at])
			continue
		}
		if at+1 == len(text) || text[at+1] != '\'' {
			return lexed{token{tokenText, literal.String(), start}, at + 1}, nil
		}
		literal.WriteByte('\'')
		at++
	}
	return lexed{}, &SyntaxError{Offset: start, Found: "an open text literal", Wanted: "a closing '"}
}

func scan(text string, at int, accept func(byte) bool) int {
	for at < len(text) && accept(text[at]) {
		at++
	}
	return at
}

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
