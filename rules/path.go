package rules

import (
	"net/url"
	"strings"
)

// normalizePath returns the path that is matched against patterns: without query
// and with escapes decoded. It returns false for paths that targets may interpret in
// different ways, with which a caller could apply the rule of one path to another:
// dot segments, an escaped slash or backslash, an escaped percent sign, which could be
// decoded twice, and invalid escapes. It allocates only if there are escapes.
func normalizePath(path string) (string, bool) {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if strings.IndexByte(path, '%') >= 0 {
		if hasEscape(path, "2f") || hasEscape(path, "25") || hasEscape(path, "5c") {
			return "", false
		}
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return "", false
		}
		path = decoded
	}
	return path, !hasDotSegment(path)
}

// hasEscape reports whether the path contains the escape with the given digits
// in either case.
func hasEscape(path, digits string) bool {
	for i := 0; i+2 < len(path); i++ {
		if path[i] == '%' && strings.EqualFold(path[i+1:i+3], digits) {
			return true
		}
	}
	return false
}

func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for {
		segment, tail, ok := nextSegment(path)
		if !ok {
			return false
		}
		if segment == "." || segment == ".." {
			return true
		}
		path = tail
	}
}
