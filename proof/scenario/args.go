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
	positional []string
	options    map[string]string
	used       map[string]bool
	err        error
}

func parseArguments(words []string) *arguments {
	a := &arguments{options: make(map[string]string), used: make(map[string]bool)}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if ok && isOptionName(name) {
			a.options[name] = value
		} else {
			a.positional = append(a.positional, w)
		}
	}
	return a
}

// isName reports whether s can name an option; this keeps comparisons such as
// >=3 and paths positional.
func isOptionName(s string) bool {
	return s != "" && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz-") == ""
}

// next removes and returns the next positional word.
func (a *arguments) next(description string) string {
	if len(a.positional) == 0 {
		a.setError("missing: %s", description)
		return ""
	}
	w := a.positional[0]
	a.positional = a.positional[1:]
	return w
}

// keyword requires the next positional word to be the given one.
func (a *arguments) keyword(word string) {
	if got := a.next("the word " + word); a.err == nil && got != word {
		a.setError("expected the word %s, found %q", word, got)
	}
}

// flag removes a positional word wherever it stands and reports whether it was
// there.
func (a *arguments) flag(word string) bool {
	for i, w := range a.positional {
		if w == word {
			a.positional = append(a.positional[:i:i], a.positional[i+1:]...)
			return true
		}
	}
	return false
}

func (a *arguments) stringOption(name, fallback string) string {
	a.used[name] = true
	if v, ok := a.options[name]; ok {
		return v
	}
	return fallback
}

func (a *arguments) numberOption(name string, fallback float64) float64 {
	v, err := strconv.ParseFloat(a.stringOption(name, strconv.FormatFloat(fallback, 'g', -1, 64)), 64)
	if err != nil {
		a.setError("%s: %v", name, err)
	}
	return v
}

func (a *arguments) durationOption(name string, fallback time.Duration) time.Duration {
	v, err := time.ParseDuration(a.stringOption(name, fallback.String()))
	if err != nil {
		a.setError("%s: %v", name, err)
	}
	return v
}

func (a *arguments) setError(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// end returns the first error; words and options that nothing has used are one.
func (a *arguments) finish() error {
	if len(a.positional) > 0 {
		a.setError("unexpected: %s", strings.Join(a.positional, " "))
	}
	for name := range a.options {
		if !a.used[name] {
			a.setError("unknown option %s", name)
		}
	}
	return a.err
}

// bound is a condition on a count: all, some, none, 3, >=3 or <=3.
type countBound struct {
	text     string
	min, max int
}

// parseBound reads a bound; all stands for the given total.
func parseCountBound(word string, total int) (countBound, bool) {
	b := countBound{text: word}
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

func (b countBound) allows(n int) bool { return n >= b.min && n <= b.max }
