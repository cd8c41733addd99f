// Package rules parses and checks the rules file and compiles it to a classifier of
// requests. The file is plain text with one rule per line; docs/rules.md describes the
// language.
//
// The package does no I/O and does not read the clock.
package rules

import (
	"time"

	"sardinefront.dev/core/request"
)

// MaxFileBytes is the size of the largest accepted rules file. The file is stored as one
// value in the store, whose values are limited to 1 MB.
const MaxFileBytes = 1_000_000

// DefaultResponseTimeout is the response timeout, by tier, of requests whose call line
// states none.
var DefaultResponseTimeout = [request.TierCount]time.Duration{
	request.Urgent:      30 * time.Second,
	request.Interactive: 30 * time.Second,
	request.Patient:     6 * time.Hour,
}

// DefaultAtMostPercent is the default of the maximum share of traffic, in percent, of a
// new version before the first step that requires sufficient evidence.
const DefaultAtMostPercent = 5.0

// DefaultWeight is the fair-queueing weight of an organisation if no line states one.
const DefaultWeight = 1

// Parse parses and checks a rules file; file is its name in findings. A move whose
// deadline is not after now is a finding. The zero time disables that check: a host
// uses it for a file that was accepted earlier and whose moves may have ended since.
//
// All findings are returned together, sorted by line and column. If there is any, the
// set is nil, because no part of such a file may take effect.
func Parse(file string, text []byte, now time.Time) (*Set, []Finding) {
	return parse(file, text, nil, now)
}

// ParseEdit is like Parse for an operator's edit of the accepted file previous. A move
// whose deadline has passed is accepted if previous contains the same move (equal
// Move.ID), so a move may stay in the file after it has ended.
func ParseEdit(file string, previous, text []byte, now time.Time) (*Set, []Finding) {
	acceptedMoves := make(map[string]bool)
	for _, r := range parseLines(&findings{}, previous) {
		if r.verb == verbMove && !r.incomplete {
			acceptedMoves[moveID(r)] = true
		}
	}
	return parse(file, text, acceptedMoves, now)
}

func parse(file string, text []byte, acceptedMoves map[string]bool, now time.Time) (*Set, []Finding) {
	f := &findings{file: file}
	if len(text) > MaxFileBytes {
		f.add(1, 1, "the file has %d bytes, more than the limit of %d", len(text), MaxFileBytes)
		return nil, f.sorted()
	}
	lines := parseLines(f, text)
	c := newChecker(f, acceptedMoves, now)
	c.check(lines)
	if len(f.list) > 0 {
		return nil, f.sorted()
	}
	return compile(lines, c), nil
}
