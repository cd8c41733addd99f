// Package rules parses and checks the rules file and compiles it to a
// classifier. The file is plain text with one rule per line; docs/rules.md
// describes the language.
//
// The package does no I/O and reads no clock.
package rules

import (
	"time"

	"sardinefront.dev/core/request"
)

// MaxText is the largest accepted rules file in bytes. The file is one value of
// the store, which takes up to 1 MB.
const MaxFileBytes = 1_000_000

// DefaultAnswer is the time to answer, by tier, of a call line that states
// none.
var DefaultResponseTimeout = [request.TierCount]time.Duration{
	request.Urgent:      30 * time.Second,
	request.Interactive: 30 * time.Second,
	request.Patient:     6 * time.Hour,
}

// DefaultAtMost is the share in percent that an unproven version receives when
// the move line states none.
const DefaultAtMostPercent = 5.0

// DefaultWeight is the weight of an organisation that no line names.
const DefaultWeight = 1

// Parse reads a rules file. file is the name that findings carry. now decides
// whether the deadline of a move has passed; the zero time skips that check,
// which is how a host adopts a file that was accepted earlier and whose moves
// have ended since.
//
// All findings are returned together, sorted by line and column. The set is nil
// if there is any finding, because nothing of such a file may take effect.
func Parse(file string, text []byte, now time.Time) (*Set, []Finding) {
	return parse(file, text, nil, now)
}

// ParseEdit is Parse for an operator's edit of the accepted text previous. A
// move line with a past deadline is accepted if previous contains the same move
// (equal Move.ID), so a move may stay in the file after it ended.
func ParseEdit(file string, previous, text []byte, now time.Time) (*Set, []Finding) {
	known := make(map[string]bool)
	for _, r := range parseLines(&findings{}, previous) {
		if r.verb == verbMove && !r.incomplete {
			known[moveID(r)] = true
		}
	}
	return parse(file, text, known, now)
}

func parse(file string, text []byte, known map[string]bool, now time.Time) (*Set, []Finding) {
	f := &findings{file: file}
	if len(text) > MaxFileBytes {
		f.add(1, 1, "the file has %d bytes, more than the limit of %d", len(text), MaxFileBytes)
		return nil, f.sorted()
	}
	lines := parseLines(f, text)
	c := newChecker(f, known, now)
	c.check(lines)
	if len(f.list) > 0 {
		return nil, f.sorted()
	}
	return compile(lines, c), nil
}
