package rules

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// token is one word or comma of a line. The column counts characters from 1.
type token struct {
	text   string
	column int
}

// lexed is one line split into tokens and comment.
type lexed struct {
	tokens        []token
	comment       string // without the leading # and surrounding space
	hasComment    bool   // the line contains a #
	endColumn     int    // column after the last character before the comment
	invalidColumn int    // column of the first invalid character, or 0
}

// lexLine splits a line at spaces and commas. A # starts the comment, also within a
// word.
func lexLine(line string) lexed {
	l := lexed{tokens: make([]token, 0, 16)} // most lines have fewer tokens
	code, comment, hasComment := strings.Cut(line, "#")
	l.comment, l.hasComment = strings.TrimSpace(comment), hasComment
	l.invalidColumn = firstInvalid(line)
	tokenStart, column := -1, 0
	tokenColumn := 0
	endToken := func(at int) {
		if tokenStart >= 0 {
			l.tokens = append(l.tokens, token{code[tokenStart:at], tokenColumn})
			tokenStart = -1
		}
	}
	l.endColumn = 1
	for i, r := range code {
		column++
		switch {
		case r == ',':
			endToken(i)
			l.tokens = append(l.tokens, token{",", column})
		case unicode.IsSpace(r):
			endToken(i)
			continue
		case tokenStart < 0:
			tokenStart, tokenColumn = i, column
		}
		l.endColumn = column + 1
	}
	endToken(len(code))
	return l
}

// firstInvalid returns the column of the first character that is not valid UTF-8 or is
// a control character other than tab, or 0.
func firstInvalid(line string) int {
	column := 0
	for i, r := range line {
		column++
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
				return column
			}
		}
		if r != '\t' && unicode.IsControl(r) {
			return column
		}
	}
	return 0
}

// splitLines returns the lines of text without their line ends. A line end at the end of
// the text does not start another line.
func splitLines(text []byte) []string {
	s := strings.TrimSuffix(string(text), "\n")
	if s == "" {
		return nil
	}
	lines := strings.Split(s, "\n")
	for i, l := range lines {
		lines[i] = strings.TrimRight(l, "\r")
	}
	return lines
}
