package drain

import (
	"errors"
	"net/http"
	"testing"
	"time"
)

// Guards against a form of Retry-After that HTTP allows and that is not understood, and against
// a broken value that closes a target.
func TestParseRetryAfter(t *testing.T) {
	date := func(d time.Duration) string { return start.Add(d).Format(http.TimeFormat) }
	for _, c := range []struct {
		value string
		want  time.Duration
		err   error
	}{
		{"5", 5 * time.Second, nil},
		{" 0.25 ", 250 * time.Millisecond, nil},
		{"0", 0, nil},
		{"3600", time.Hour, nil},
		{date(7 * time.Second), 7 * time.Second, nil},
		{start.Add(7 * time.Second).Format(time.RFC850), 7 * time.Second, nil},
		{start.Add(7 * time.Second).Format(time.ANSIC), 7 * time.Second, nil},
		{date(-time.Second), 0, ErrRetryAfterNegative},
		{date(2 * time.Hour), 0, ErrRetryAfterTooLong},
		{"-1", 0, ErrRetryAfterNegative},
		{"-1e9", 0, ErrRetryAfterUnreadable},
		{"3601", 0, ErrRetryAfterTooLong},
		{"99999999999999999999999999", 0, ErrRetryAfterTooLong},
		{"", 0, ErrRetryAfterUnreadable},
		{"soon", 0, ErrRetryAfterUnreadable},
		{"NaN", 0, ErrRetryAfterUnreadable},
		{"Inf", 0, ErrRetryAfterUnreadable},
		{"0x10", 0, ErrRetryAfterUnreadable},
		{"1_0", 0, ErrRetryAfterUnreadable},
		{"1e2", 0, ErrRetryAfterUnreadable},
		{"+5", 0, ErrRetryAfterUnreadable},
		{"5, 6", 0, ErrRetryAfterUnreadable},
		{"1.2.3", 0, ErrRetryAfterUnreadable},
		{".5", 0, ErrRetryAfterUnreadable},
	} {
		got, err := ParseRetryAfter(c.value, start)
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%q: %s, %v, want %s, %v", c.value, got, err, c.want, c.err)
		}
	}
}
