package drain

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter is the longest accepted back-off. A target with a broken clock or unit would
// otherwise be lost to the host until its restart.
const MaxRetryAfter = time.Hour

// Errors of ParseRetryAfter.
var (
	ErrRetryAfterUnreadable = errors.New("value is neither seconds nor a date")
	ErrRetryAfterNegative   = errors.New("value is negative or a past date")
	ErrRetryAfterTooLong    = errors.New("value is longer than an hour")
)

// ParseRetryAfter returns the delay that a Retry-After value asks for: seconds, also with a
// fraction, or an HTTP date, which is compared with now.
func ParseRetryAfter(value string, now time.Time) (time.Duration, error) {
	value = strings.TrimSpace(value)
	digits, negative := strings.CutPrefix(value, "-")
	if isDecimal(digits) {
		seconds, err := strconv.ParseFloat(digits, 64)
		switch {
		case err != nil || seconds > MaxRetryAfter.Seconds():
			return 0, tooLong(negative)
		case negative && seconds > 0:
			return 0, ErrRetryAfterNegative
		}
		return time.Duration(seconds * float64(time.Second)), nil
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, ErrRetryAfterUnreadable
	}
	d := at.Sub(now)
	switch {
	case d < 0:
		return 0, ErrRetryAfterNegative
	case d > MaxRetryAfter:
		return 0, ErrRetryAfterTooLong
	}
	return d, nil
}

func tooLong(negative bool) error {
	if negative {
		return ErrRetryAfterNegative
	}
	return ErrRetryAfterTooLong
}

// isDecimal reports whether s consists of digits with at most one decimal point among them.
func isDecimal(s string) bool {
	whole, fraction, point := strings.Cut(s, ".")
	return isDigits(whole) && (!point || isDigits(fraction))
}

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}
