package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// arguments holds the arguments of a command. An argument of the form name=value is
// an option, every other one is positional. Methods that find a wrong or missing
// argument keep the first error, which finish returns.
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

// isOptionName reports whether s can name an option. Arguments such as >=3 and paths
// that contain "=" stay positional.
func isOptionName(s string) bool {
	return s != "" && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz-") == ""
}

// next removes and returns the next positional argument. description names it in the
// error if there is none.
func (a *arguments) next(description string) string {
	if len(a.positional) == 0 {
		a.setError("missing: %s", description)
		return ""
	}
	w := a.positional[0]
	a.positional = a.positional[1:]
	return w
}

// keyword requires the next positional argument to be the given word.
func (a *arguments) keyword(word string) {
	if got := a.next("the word " + word); a.err == nil && got != word {
		a.setError("expected the word %s, found %q", word, got)
	}
}

// flag reports whether the word is among the positional arguments, and removes its
// first occurrence.
func (a *arguments) flag(word string) bool {
	for i, w := range a.positional {
		if w == word {
			a.positional = append(a.positional[:i:i], a.positional[i+1:]...)
			return true
		}
	}
	return false
}

// stringOption returns the value of an option, or fallback if it is not set.
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

// finish returns the first error. Arguments that the command did not use are an error.
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

// countBound is a condition on a count: all, some, none, 3, >=3 or <=3.
type countBound struct {
	text     string
	min, max int
}

// parseCountBound parses a bound, in which all means the given total, and reports
// whether it is valid.
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
