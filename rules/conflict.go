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
	for _, line := range changedLines(m, t) {
		out = append(out, compareBaseLine(line, m, t))
	}
	out = append(out, compareAdded(m, t)...)
	slices.SortStableFunc(out, func(a, b ThreeWayLine) int {
		return cmp.Compare(sortPosition(a, m, t), sortPosition(b, m, t))
	})
	return out
}

// edit is one side's change of the base.
type edit struct {
	base              []string
	changes           map[int]Change // removed and changed lines by line of base
	added             []Change
	editLine          []int // for each line of base, its line in the edit, or 0
	precedingBaseLine map[int]int
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

// placeAdded records for each added line the line of base it follows.
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

// at returns the edit's version of a line of base.
func (e *edit) version(line int) (int, string) {
	if c, ok := e.changes[line]; ok {
		return c.NewLine, c.New
	}
	return e.editLine[line-1], e.base[line-1]
}

// touched returns the lines of base that either edit changes, in order.
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

// agreement compares a line that both edits changed.
func compareSides(c ThreeWayLine) Side {
	if c.Mine == c.Theirs && (c.MineLine == 0) == (c.TheirsLine == 0) {
		return SideAgreed
	}
	return SideConflict
}

// addedConflicts pairs added lines that are equal or about the same subject.
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

// addedKey is the subject of a rule and the text of any other line.
func addedKey(c Change) string {
	if s := lineSubject(c.New); s != "" {
		return s
	}
	return c.New
}

// position orders the view by the line of base that a line replaces or follows.
func sortPosition(c ThreeWayLine, m, t *edit) int {
	switch {
	case c.BaseLine > 0:
		return 2 * c.BaseLine
	case c.MineLine > 0:
		return 2*m.precedingBaseLine[c.MineLine] + 1
	}
	return 2*t.precedingBaseLine[c.TheirsLine] + 1
}
