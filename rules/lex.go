package rules

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// token is one word or comma of a line. column counts characters from 1.
type token struct {
	text   string
	column int
}

// lexed is one line, split into tokens and its comment.
type lexed struct {
	tokens        []token
	comment       string // without the leading # and surrounding space
	hasComment    bool   // the line has a #
	endColumn     int    // column after the last character before the comment
	invalidColumn int    // column of the first character that is not valid text, or 0
}

// lexLine splits a line at spaces and commas. A # starts the comment wherever
// it stands.
func lexLine(line string) lexed {
	l := lexed{tokens: make([]token, 0, 16)} // most lines have fewer words
	code, comment, hash := strings.Cut(line, "#")
	l.comment, l.hasComment = strings.TrimSpace(comment), hash
	l.invalidColumn = firstInvalid(line)
	start, column := -1, 0
	startColumn := 0
	flush := func(at int) {
		if start >= 0 {
			l.tokens = append(l.tokens, token{code[start:at], startColumn})
			start = -1
		}
	}
	l.endColumn = 1
	for i, r := range code {
		column++
		switch {
		case r == ',':
			flush(i)
			l.tokens = append(l.tokens, token{",", column})
		case unicode.IsSpace(r):
			flush(i)
			continue
		case start < 0:
			start, startColumn = i, column
		}
		l.endColumn = column + 1
	}
	flush(len(code))
	return l
}

// firstInvalid returns the column of the first character that is neither
// printable nor a tab, or 0.
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

// splitLines returns the lines of text without their line ends. A final line
// end starts no further line.
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
