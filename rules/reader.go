package rules

import (
	"slices"
	"strings"
	"time"
	"unicode"
)

// reader parses the tokens of one line. After a failure the remaining reads return zero
// values and report nothing.
type reader struct {
	findings  *findings
	line      int
	tokens    []token
	endColumn int // column after the last token
	failed    bool
}

func (r *reader) peek() (token, bool) {
	if r.failed || len(r.tokens) == 0 {
		return token{column: r.endColumn}, false
	}
	return r.tokens[0], true
}

func (r *reader) done() bool { return r.failed || len(r.tokens) == 0 }

func (r *reader) skip() { r.tokens = r.tokens[1:] }

// report adds a finding, unless parsing has failed before, and marks it as failed.
func (r *reader) report(column int, format string, args ...any) {
	if !r.failed {
		r.findings.add(r.line, column, format, args...)
	}
	r.failed = true
}

// nextText returns the next token as quoted in messages.
func (r *reader) nextText() string {
	t, ok := r.peek()
	if !ok {
		return "the end of the line"
	}
	return "`" + t.text + "`"
}

// accept consumes the next token if it is word.
func (r *reader) accept(word string) bool {
	t, ok := r.peek()
	if !ok || t.text != word {
		return false
	}
	r.skip()
	return true
}

// keyword reads one of the given words and returns it with its column. A misspelt word
// is reported and replaced by the closest one, so that the rest of the line is checked
// too.
func (r *reader) keyword(words ...string) (string, int) {
	t, ok := r.peek()
	if r.failed {
		return "", t.column
	}
	if ok && slices.Contains(words, t.text) {
		r.skip()
		return t.text, t.column
	}
	suggestion, hasSuggestion := closestWord(t.text, words)
	if !ok || !hasSuggestion {
		r.report(t.column, "expected %s, found %s", oneOf(words), r.nextText())
		return "", t.column
	}
	r.findings.add(r.line, t.column, "expected %s, found `%s`; did you mean `%s`?", oneOf(words), t.text, suggestion)
	r.skip()
	return suggestion, t.column
}

// keywords reads the given words in order.
func (r *reader) keywords(words ...string) {
	for _, w := range words {
		r.keyword(w)
	}
}

// word reads any token except a comma. The description is used in the message.
func (r *reader) word(description string) token {
	t, ok := r.peek()
	if r.failed {
		return t
	}
	if !ok || t.text == "," {
		r.report(t.column, "expected %s, found %s", description, r.nextText())
		return t
	}
	r.skip()
	return t
}

// separator reads the separator of two clauses: a comma, "and", or both.
func (r *reader) separator() {
	comma := r.accept(",")
	and := r.accept("and")
	if comma || and {
		return
	}
	t, _ := r.peek()
	r.report(t.column, "expected `,`, `and` or the end of the line, found %s", r.nextText())
}

// name reads the name of a pool or organisation.
func (r *reader) name(description string) token {
	t := r.word(description)
	if r.failed {
		return t
	}
	for _, c := range t.text {
		if !unicode.IsLetter(c) && !unicode.IsDigit(c) && !strings.ContainsRune("._-", c) {
			r.report(t.column, "%s has letters, digits, `.`, `_` and `-` only, found `%s`", description, t.text)
			return t
		}
	}
	return t
}

// number reads a whole number, reports one that is not between low and high, and returns
// it with its column.
func (r *reader) number(description string, low, high int) (int, int) {
	t := r.word(description)
	if r.failed {
		return 0, t.column
	}
	n, ok := wholeNumber(t.text)
	if !ok {
		r.report(t.column, "expected %s, found `%s`", description, t.text)
		return 0, t.column
	}
	if n < low || n > high {
		r.findings.add(r.line, t.column, "%s is out of range: %s is not from %d to %d", description, t.text, low, high)
	}
	return n, t.column
}

// duration reads a positive duration in Go syntax.
func (r *reader) duration() time.Duration {
	t := r.word("a time span such as `590ms`, `20s` or `6h`")
	if r.failed {
		return 0
	}
	d, err := time.ParseDuration(t.text)
	if err != nil {
		r.report(t.column, "expected a time span such as `590ms`, `20s` or `6h`, found `%s`", t.text)
		return 0
	}
	if d <= 0 || d > maxDuration {
		r.findings.add(r.line, t.column, "the time span %s is out of range: it must be more than 0 and at most %s", t.text, formatDuration(maxDuration))
	}
	return d
}

// instant reads a time in RFC 3339 and returns it with its column.
func (r *reader) instant() (time.Time, int) {
	t := r.word("a time such as `2027-01-05T06:00:00Z`")
	if r.failed {
		return time.Time{}, t.column
	}
	at, err := time.Parse(time.RFC3339, t.text)
	if err != nil {
		r.report(t.column, "expected a time such as `2027-01-05T06:00:00Z`, found `%s`", t.text)
	}
	return at, t.column
}
