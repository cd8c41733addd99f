package rules

import (
	"fmt"
	"strings"
)

// ChangeKind is the kind of a change of a line.
type ChangeKind uint8

// The kinds of changes.
const (
	Added ChangeKind = iota
	Removed
	Changed
)

// String returns "added", "removed" or "changed".
func (k ChangeKind) String() string {
	switch k {
	case Added:
		return "added"
	case Removed:
		return "removed"
	default:
		return "changed"
	}
}

// Change is one difference between two texts. Line numbers count from 1. For a text
// without the line, the number is 0 and the text is "".
type Change struct {
	Kind    ChangeKind
	OldLine int
	NewLine int
	Old     string
	New     string
}

// String returns the change as one or two lines of a unified diff.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+%d: %s", c.NewLine, c.New)
	case Removed:
		return fmt.Sprintf("-%d: %s", c.OldLine, c.Old)
	default:
		return fmt.Sprintf("-%d: %s\n+%d: %s", c.OldLine, c.Old, c.NewLine, c.New)
	}
}

// Diff returns the differences between two texts line by line, in file order. A
// removed and an added line at the same place with the same subject are returned as
// one changed line. Line ends are ignored. The texts may contain invalid lines.
func Diff(old, new []byte) []Change {
	a, b := splitLines(old), splitLines(new)
	var changes []Change
	for _, g := range gaps(matchLines(a, b), len(b)) {
		changes = append(changes, gapChanges(a, b, g)...)
	}
	return changes
}

// gapChanges returns the changes of one gap: removed lines first, then added and
// changed lines.
func gapChanges(a, b []string, g gap) []Change {
	oldPositions := pairSubjects(a, b, g)
	paired := make(map[int]bool, len(oldPositions))
	for _, i := range oldPositions {
		paired[i] = true
	}
	var changes []Change
	for i := g.a0; i < g.a1; i++ {
		if !paired[i] {
			changes = append(changes, Change{Kind: Removed, OldLine: i + 1, Old: a[i]})
		}
	}
	for j := g.b0; j < g.b1; j++ {
		i, ok := oldPositions[j]
		if !ok {
			changes = append(changes, Change{Kind: Added, NewLine: j + 1, New: b[j]})
			continue
		}
		changes = append(changes, Change{Changed, i + 1, j + 1, a[i], b[j]})
	}
	return changes
}

// pairSubjects pairs lines of a and b in the gap that have the same subject, and
// returns the position in a by the position in b. If one line remains on each side and
// both start with the same word, they are paired too.
func pairSubjects(a, b []string, g gap) map[int]int {
	unpaired := map[string][]int{}
	for i := g.a0; i < g.a1; i++ {
		s := lineSubject(a[i])
		unpaired[s] = append(unpaired[s], i)
	}
	oldPositions := map[int]int{}
	var unpairedNew []int
	for j := g.b0; j < g.b1; j++ {
		s := lineSubject(b[j])
		if s == "" || len(unpaired[s]) == 0 {
			unpairedNew = append(unpairedNew, j)
			continue
		}
		oldPositions[j] = unpaired[s][0]
		unpaired[s] = unpaired[s][1:]
	}
	var unpairedOld []int
	for _, w := range unpaired {
		unpairedOld = append(unpairedOld, w...)
	}
	if len(unpairedNew) == 1 && len(unpairedOld) == 1 && firstWord(a[unpairedOld[0]]) == firstWord(b[unpairedNew[0]]) {
		oldPositions[unpairedNew[0]] = unpairedOld[0]
	}
	return oldPositions
}

// lineSubject returns the leading words of a line that identify what it describes,
// such as "pool p" or "call GET /a", or "" for a line that is not a rule.
func lineSubject(line string) string {
	l := lexLine(line)
	var words []string
	for i, t := range l.tokens {
		ends := i > 0 && (t.text == "is" || t.text == "has" || t.text == "to" || t.text == "version")
		if ends || (i == 2 && l.tokens[0].text == string(verbMove)) {
			break
		}
		words = append(words, t.text)
	}
	return strings.Join(words, " ")
}

// firstWord returns the verb of a rule, "#" for a line with only a comment, and the
// line itself if it is blank.
func firstWord(line string) string {
	l := lexLine(line)
	switch {
	case len(l.tokens) > 0:
		return l.tokens[0].text
	case l.hasComment:
		return "#"
	}
	return line
}
