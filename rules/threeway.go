package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// Side is the origin of a changed line in a three-way diff.
type Side uint8

// The values of Side.
const (
	SideMine     Side = iota // only the edit mine changed the line
	SideTheirs               // only the edit theirs changed the line
	SideAgreed               // both edits made the same change
	SideConflict             // both edits changed the line in different ways
)

// String returns "mine", "theirs", "agreed" or "clash".
func (s Side) String() string {
	return [...]string{"mine", "theirs", "agreed", "clash"}[s]
}

// ThreeWayLine is one line that at least one of two concurrent edits changed.
// Line numbers count from 1. For a text without the line, the number is 0 and the
// text is "".
type ThreeWayLine struct {
	Side       Side
	BaseLine   int
	MineLine   int
	TheirsLine int
	Base       string
	Mine       string
	Theirs     string
}

// String returns the side and the three versions of the line, as shown to operators.
func (c ThreeWayLine) String() string {
	numberedLine := func(line int, text string) string {
		if line == 0 {
			return "(no line)"
		}
		return fmt.Sprintf("%d: %s", line, text)
	}
	return fmt.Sprintf("%s\n  base   %s\n  mine   %s\n  theirs %s", c.Side,
		numberedLine(c.BaseLine, c.Base), numberedLine(c.MineLine, c.Mine), numberedLine(c.TheirsLine, c.Theirs))
}

// ThreeWayDiff compares two edits of the same base line by line, in base order. Two
// edits conflict where both change the same line of base in different ways, or add
// different lines with the same subject. Unchanged lines are omitted.
func ThreeWayDiff(base, mine, theirs []byte) []ThreeWayLine {
	m := newEdit(base, mine)
	t := newEdit(base, theirs)
	var out []ThreeWayLine
	for _, line := range changedLines(m, t) {
		out = append(out, compareBaseLine(line, m, t))
	}
	out = append(out, compareAdded(m, t)...)
	slices.SortStableFunc(out, func(a, b ThreeWayLine) int {
		return cmp.Compare(sortPosition(a, m, t), sortPosition(b, m, t))
	})
	return out
}

// edit is one of the two edits of the base.
type edit struct {
	base              []string
	changes           map[int]Change // removed and changed lines by line of base
	added             []Change
	editLine          []int       // for each line of base, its line in the edit, or 0
	precedingBaseLine map[int]int // for each added line, the line of base before it
}

func newEdit(base, text []byte) *edit {
	e := &edit{base: splitLines(base), changes: map[int]Change{}, precedingBaseLine: map[int]int{}}
	e.editLine = matchLines(e.base, splitLines(text))
	for i := range e.editLine {
		e.editLine[i]++
	}
	for _, c := range Diff(base, text) {
		if c.OldLine == 0 {
			e.added = append(e.added, c)
			continue
		}
		e.changes[c.OldLine] = c
		e.editLine[c.OldLine-1] = c.NewLine
	}
	e.locateAdded()
	return e
}

// locateAdded sets precedingBaseLine.
func (e *edit) locateAdded() {
	previous, next := 0, 0
	for _, c := range e.added {
		for next < len(e.editLine) && e.editLine[next] < c.NewLine {
			if e.editLine[next] > 0 {
				previous = next + 1
			}
			next++
		}
		e.precedingBaseLine[c.NewLine] = previous
	}
}

// version returns the number and the text of a line of base in the edit.
func (e *edit) version(line int) (int, string) {
	if c, ok := e.changes[line]; ok {
		return c.NewLine, c.New
	}
	return e.editLine[line-1], e.base[line-1]
}

// changedLines returns the lines of base that at least one edit changes, in order.
func changedLines(m, t *edit) []int {
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

// compareBaseLine returns the versions of a line of base that was changed.
func compareBaseLine(line int, m, t *edit) ThreeWayLine {
	c := ThreeWayLine{BaseLine: line, Base: m.base[line-1]}
	c.MineLine, c.Mine = m.version(line)
	c.TheirsLine, c.Theirs = t.version(line)
	_, byMine := m.changes[line]
	_, byTheirs := t.changes[line]
	switch {
	case !byTheirs:
		c.Side = SideMine
	case !byMine:
		c.Side = SideTheirs
	default:
		c.Side = compareSides(c)
	}
	return c
}

// compareSides returns the side of a line that both edits changed.
func compareSides(c ThreeWayLine) Side {
	if c.Mine == c.Theirs && (c.MineLine == 0) == (c.TheirsLine == 0) {
		return SideAgreed
	}
	return SideConflict
}

// compareAdded returns the added lines. It pairs lines of the two edits that are equal
// or have the same subject.
func compareAdded(m, t *edit) []ThreeWayLine {
	unpaired := map[string][]Change{}
	for _, c := range t.added {
		unpaired[addedKey(c)] = append(unpaired[addedKey(c)], c)
	}
	var out []ThreeWayLine
	for _, c := range m.added {
		line := ThreeWayLine{Side: SideMine, MineLine: c.NewLine, Mine: c.New}
		if w := unpaired[addedKey(c)]; len(w) > 0 {
			unpaired[addedKey(c)] = w[1:]
			line.TheirsLine, line.Theirs = w[0].NewLine, w[0].New
			line.Side = compareSides(line)
		}
		out = append(out, line)
	}
	for _, c := range t.added {
		if w := unpaired[addedKey(c)]; len(w) > 0 && w[0].NewLine == c.NewLine {
			unpaired[addedKey(c)] = w[1:]
			out = append(out, ThreeWayLine{Side: SideTheirs, TheirsLine: c.NewLine, Theirs: c.New})
		}
	}
	return out
}

// addedKey returns the subject of a rule, or the text of any other line.
func addedKey(c Change) string {
	if s := lineSubject(c.New); s != "" {
		return s
	}
	return c.New
}

// sortPosition returns the sort key of a line: the line of base that it replaces, or
// that it follows.
func sortPosition(c ThreeWayLine, m, t *edit) int {
	switch {
	case c.BaseLine > 0:
		return 2 * c.BaseLine
	case c.MineLine > 0:
		return 2*m.precedingBaseLine[c.MineLine] + 1
	}
	return 2*t.precedingBaseLine[c.TheirsLine] + 1
}
