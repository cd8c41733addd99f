package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// Side says which of two concurrent edits changed a line.
type Side uint8

// The sides of a conflict view.
const (
	SideMine     Side = iota // only my edit changed the line
	SideTheirs               // only their edit changed the line
	SideAgreed               // both made the same change
	SideConflict             // both changed the line, and differently
)

// String returns "mine", "theirs", "agreed" or "clash".
func (s Side) String() string {
	return [...]string{"mine", "theirs", "agreed", "clash"}[s]
}

// ConflictLine is one line that at least one of two concurrent edits changed.
// Line numbers count from 1; the number and text of a version without the line
// are 0 and "".
type ThreeWayLine struct {
	Side       Side
	BaseLine   int
	MineLine   int
	TheirsLine int
	Base       string
	Mine       string
	Theirs     string
}

// String returns the line as an operator's screen shows it.
func (c ThreeWayLine) String() string {
	show := func(line int, text string) string {
		if line == 0 {
			return "(no line)"
		}
		return fmt.Sprintf("%d: %s", line, text)
	}
	return fmt.Sprintf("%s\n  base   %s\n  mine   %s\n  theirs %s", c.Side,
		show(c.BaseLine, c.Base), show(c.MineLine, c.Mine), show(c.TheirsLine, c.Theirs))
}

// Conflict compares two edits of the same base line by line, in base order. Two
// edits clash where both change the same line of base, or add different lines
// about the same subject. Lines that neither changed are left out.
func ThreeWayDiff(base, mine, theirs []byte) []ThreeWayLine {
	m := newEdit(base, mine)
	t := newEdit(base, theirs)
	var out []ThreeWayLine
	for _, line := range touched(m, t) {
		out = append(out, baseConflict(line, m, t))
	}
	out = append(out, addedConflicts(m, t)...)
	slices.SortStableFunc(out, func(a, b ThreeWayLine) int {
		return cmp.Compare(position(a, m, t), position(b, m, t))
	})
	return out
}

// edit is one side's change of the base.
type edit struct {
	base    []string
	changes map[int]Change // removed and changed lines by line of base
	added   []Change
	line    []int // for each line of base, its line in the edit, or 0
	after   map[int]int
}

func newEdit(base, text []byte) *edit {
	e := &edit{base: splitLines(base), changes: map[int]Change{}, after: map[int]int{}}
	e.line = matchLines(e.base, splitLines(text))
	for i := range e.line {
		e.line[i]++
	}
	for _, c := range Diff(base, text) {
		if c.OldLine == 0 {
			e.added = append(e.added, c)
			continue
		}
		e.changes[c.OldLine] = c
		e.line[c.OldLine-1] = c.NewLine
	}
	e.placeAdded()
	return e
}

// placeAdded records for each added line the line of base it follows.
func (e *edit) placeAdded() {
	previous, next := 0, 0
	for _, c := range e.added {
		for next < len(e.line) && e.line[next] < c.NewLine {
			if e.line[next] > 0 {
				previous = next + 1
			}
			next++
		}
		e.after[c.NewLine] = previous
	}
}

// at returns the edit's version of a line of base.
func (e *edit) at(line int) (int, string) {
	if c, ok := e.changes[line]; ok {
		return c.NewLine, c.New
	}
	return e.line[line-1], e.base[line-1]
}

// touched returns the lines of base that either edit changes, in order.
func touched(m, t *edit) []int {
	var lines []int
	for line := range len(m.base) {
		_, byMine := m.changes[line+1]
		_, byTheirs := t.changes[line+1]
		if byMine || byTheirs {
			lines = append(lines, line+1)
		}
	}
	return lines
}

func baseConflict(line int, m, t *edit) ThreeWayLine {
	c := ThreeWayLine{BaseLine: line, Base: m.base[line-1]}
	c.MineLine, c.Mine = m.at(line)
	c.TheirsLine, c.Theirs = t.at(line)
	_, byMine := m.changes[line]
	_, byTheirs := t.changes[line]
	switch {
	case !byTheirs:
		c.Side = SideMine
	case !byMine:
		c.Side = SideTheirs
	default:
		c.Side = agreement(c)
	}
	return c
}

// agreement compares a line that both edits changed.
func agreement(c ThreeWayLine) Side {
	if c.Mine == c.Theirs && (c.MineLine == 0) == (c.TheirsLine == 0) {
		return SideAgreed
	}
	return SideConflict
}

// addedConflicts pairs added lines that are equal or about the same subject.
func addedConflicts(m, t *edit) []ThreeWayLine {
	waiting := map[string][]Change{}
	for _, c := range t.added {
		waiting[addedKey(c)] = append(waiting[addedKey(c)], c)
	}
	var out []ThreeWayLine
	for _, c := range m.added {
		line := ThreeWayLine{Side: SideMine, MineLine: c.NewLine, Mine: c.New}
		if w := waiting[addedKey(c)]; len(w) > 0 {
			waiting[addedKey(c)] = w[1:]
			line.TheirsLine, line.Theirs = w[0].NewLine, w[0].New
			line.Side = agreement(line)
		}
		out = append(out, line)
	}
	for _, c := range t.added {
		if w := waiting[addedKey(c)]; len(w) > 0 && w[0].NewLine == c.NewLine {
			waiting[addedKey(c)] = w[1:]
			out = append(out, ThreeWayLine{Side: SideTheirs, TheirsLine: c.NewLine, Theirs: c.New})
		}
	}
	return out
}

// addedKey is the subject of a rule and the text of any other line.
func addedKey(c Change) string {
	if s := subject(c.New); s != "" {
		return s
	}
	return c.New
}

// position orders the view by the line of base that a line replaces or follows.
func position(c ThreeWayLine, m, t *edit) int {
	switch {
	case c.BaseLine > 0:
		return 2 * c.BaseLine
	case c.MineLine > 0:
		return 2*m.after[c.MineLine] + 1
	}
	return 2*t.after[c.TheirsLine] + 1
}
