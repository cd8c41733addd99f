package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// arguments are the words of a command. A word of the form name=value is an
// option, every other one is positional.
type arguments struct {
	words   []string
	options map[string]string
	used    map[string]bool
	err     error
}

func parseArguments(words []string) *arguments {
	a := &arguments{options: make(map[string]string), used: make(map[string]bool)}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if ok && isName(name) {
			a.options[name] = value
		} else {
			a.words = append(a.words, w)
		}
	}
	return a
}

// isName reports whether s can name an option; this keeps comparisons such as
// >=3 and paths positional.
func isName(s string) bool {
	return s != "" && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz-") == ""
}

// next removes and returns the next positional word.
func (a *arguments) next(what string) string {
	if len(a.words) == 0 {
		a.fail("missing: %s", what)
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

// keyword requires the next positional word to be the given one.
func (a *arguments) keyword(word string) {
	if got := a.next("the word " + word); a.err == nil && got != word {
		a.fail("expected the word %s, found %q", word, got)
	}
}

// flag removes a positional word wherever it stands and reports whether it was
// there.
func (a *arguments) flag(word string) bool {
	for i, w := range a.words {
		if w == word {
			a.words = append(a.words[:i:i], a.words[i+1:]...)
			return true
		}
	}
	return false
}

func (a *arguments) text(name, otherwise string) string {
	a.used[name] = true
	if v, ok := a.options[name]; ok {
		return v
	}
	return otherwise
}

func (a *arguments) number(name string, otherwise float64) float64 {
	v, err := strconv.ParseFloat(a.text(name, strconv.FormatFloat(otherwise, 'g', -1, 64)), 64)
	if err != nil {
		a.fail("%s: %v", name, err)
	}
	return v
}

func (a *arguments) duration(name string, otherwise time.Duration) time.Duration {
	v, err := time.ParseDuration(a.text(name, otherwise.String()))
	if err != nil {
		a.fail("%s: %v", name, err)
	}
	return v
}

func (a *arguments) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// end returns the first error; words and options that nothing has used are one.
func (a *arguments) end() error {
	if len(a.words) > 0 {
		a.fail("unexpected: %s", strings.Join(a.words, " "))
	}
	for name := range a.options {
		if !a.used[name] {
			a.fail("unknown option %s", name)
		}
	}
	return a.err
}

// bound is a condition on a count: all, some, none, 3, >=3 or <=3.
type bound struct {
	word     string
	min, max int
}

// parseBound reads a bound; all stands for the given total.
func parseBound(word string, total int) (bound, bool) {
	b := bound{word: word}
	switch word {
	case "all":
		b.min, b.max = total, total
		return b, true
	case "some":
		b.min, b.max = 1, int(^uint(0)>>1)
		return b, true
	case "none":
		return b, true
	}
	digits, atLeast := strings.CutPrefix(word, ">=")
	atMost := false
	if !atLeast {
		digits, atMost = strings.CutPrefix(word, "<=")
	}
	n, err := strconv.Atoi(digits)
	if err != nil {
		return b, false
	}
	b.min, b.max = n, n
	if atLeast {
		b.max = int(^uint(0) >> 1)
	}
	if atMost {
		b.min = 0
	}
	return b, true
}

func (b bound) holds(n int) bool { return n >= b.min && n <= b.max }
