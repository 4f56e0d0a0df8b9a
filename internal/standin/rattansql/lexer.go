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
		return "the end of the text"
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
		next, err := lexToken(text, at)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, next.token)
		at = next.end
	}
	return append(tokens, token{kind: tokenEnd, offset: len(text)}), nil
}

type lexResult struct {
	token token
	// end is the offset after the token.
	end int
}

// lexToken reads the token at an offset.
func lexToken(text string, at int) (lexResult, error) {
	c := text[at]
	switch {
	case isLetter(c):
		end := scan(text, at, func(c byte) bool { return isLetter(c) || isDigit(c) })
		return lexResult{token{tokenWord, text[at:end], at}, end}, nil
	case isDigit(c):
		end := scan(text, at, func(c byte) bool { return isDigit(c) || c == '.' })
		return lexResult{token{tokenNumber, text[at:end], at}, end}, nil
	case c == '\'':
		return lexText(text, at)
	}
	for _, symbol := range []string{"<=", ">=", "!=", "<>", "=", "<", ">", "(", ")", ",", "*", "+", "-", "?", ";"} {
		if strings.HasPrefix(text[at:], symbol) {
			return lexResult{token{tokenSymbol, symbol, at}, at + len(symbol)}, nil
		}
	}
	_, size := utf8.DecodeRuneInString(text[at:])
	return lexResult{}, &SyntaxError{Offset: at, Found: `"` + text[at:at+size] + `"`, Wanted: "a word, number, text or operator"}
}

// lexText reads a text literal. Two single quotes inside it stand for one.
func lexText(text string, start int) (lexResult, error) {
	var literal strings.Builder
	for at := start + 1; at < len(text); at++ {
		if text[at] != '\'' {
			literal.WriteByte(text[at])
			continue
		}
		if at+1 == len(text) || text[at+1] != '\'' {
			return lexResult{token{tokenText, literal.String(), start}, at + 1}, nil
		}
		literal.WriteByte('\'')
		at++
	}
	return lexResult{}, &SyntaxError{Offset: start, Found: "an unterminated text literal", Wanted: "a closing '"}
}

// scan returns the offset of the first byte from at on that accept refuses.
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
