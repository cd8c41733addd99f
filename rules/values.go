package rules

import (
	"strconv"
	"strings"
	"time"
	"unicode"
)

// maxDuration bounds the durations in rules. Thirty days is far beyond any retention
// of the journal and keeps deadline arithmetic within range.
const maxDuration = 30 * 24 * time.Hour

// wholeNumber parses a decimal number without sign.
func wholeNumber(s string) (int, bool) {
	n, err := strconv.ParseUint(s, 10, 31)
	return int(n), err == nil
}

// percent parses a number followed by a percent sign.
func percent(s string) (float64, bool) {
	digits, ok := strings.CutSuffix(s, "%")
	if !ok || strings.Trim(digits, "0123456789.") != "" {
		return 0, false
	}
	p, err := strconv.ParseFloat(digits, 64)
	return p, err == nil
}

// formatDuration formats a duration without zero parts: 6h rather than 6h0m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// maxSegments bounds the segments of a path pattern, and so the cost of matching.
const maxSegments = 32

// pathError returns a message if a path pattern is invalid, or "".
func pathError(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "a path starts with `/`"
	}
	if strings.ContainsAny(path, "?;%") {
		return "a path has no query, no `;` and no escapes"
	}
	if path == "/" {
		return ""
	}
	segments := strings.Split(path[1:], "/")
	if len(segments) > maxSegments {
		return "a path has at most " + strconv.Itoa(maxSegments) + " segments"
	}
	for i, s := range segments {
		if problem := segmentError(s, i == len(segments)-1); problem != "" {
			return problem
		}
	}
	return ""
}

func segmentError(s string, last bool) string {
	switch {
	case s == "":
		return "a path has no empty segment and does not end in `/`"
	case s == "." || s == "..":
		return "a path has no `.` or `..` segment"
	case s == "**" && !last:
		return "`**` is allowed only at the end of a path"
	case s != "*" && s != "**" && strings.Contains(s, "*"):
		return "`*` must be a whole segment"
	}
	return ""
}

// hasLetter reports whether a comment contains a letter. Without one it can't name the
// person who asked for the rule.
func hasLetter(s string) bool {
	return strings.ContainsFunc(s, unicode.IsLetter)
}
