package rules

import (
	"fmt"
	"strings"
)

// ChangeKind says what happened to a line.
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

// Change is one difference between two texts. Line numbers count from 1; the
// number and text of the side that has no such line are 0 and "".
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
// removed and an added line at the same place that describe the same subject
// are one changed line. Line ends do not count. The texts need not be free of
// findings.
func Diff(old, new []byte) []Change {
	a, b := splitLines(old), splitLines(new)
	var changes []Change
	for _, g := range gaps(matchLines(a, b), len(b)) {
		changes = append(changes, gapChanges(a, b, g)...)
	}
	return changes
}

// gapChanges describes one gap: removed lines first, then the new lines.
func gapChanges(a, b []string, g gap) []Change {
	partner := pairSubjects(a, b, g)
	paired := make(map[int]bool, len(partner))
	for _, i := range partner {
		paired[i] = true
	}
	var changes []Change
	for i := g.a0; i < g.a1; i++ {
		if !paired[i] {
			changes = append(changes, Change{Kind: Removed, OldLine: i + 1, Old: a[i]})
		}
	}
	for j := g.b0; j < g.b1; j++ {
		i, ok := partner[j]
		if !ok {
			changes = append(changes, Change{Kind: Added, NewLine: j + 1, New: b[j]})
			continue
		}
		changes = append(changes, Change{Changed, i + 1, j + 1, a[i], b[j]})
	}
	return changes
}

// pairSubjects returns for lines of b in the gap the position of the line of a
// that describes the same subject. If one line remains on each side and both
// start with the same word, they are a pair too.
func pairSubjects(a, b []string, g gap) map[int]int {
	unpaired := map[string][]int{}
	for i := g.a0; i < g.a1; i++ {
		s := lineSubject(a[i])
		unpaired[s] = append(unpaired[s], i)
	}
	partner := map[int]int{}
	var unpairedNew []int
	for j := g.b0; j < g.b1; j++ {
		s := lineSubject(b[j])
		if s == "" || len(unpaired[s]) == 0 {
			unpairedNew = append(unpairedNew, j)
			continue
		}
		partner[j] = unpaired[s][0]
		unpaired[s] = unpaired[s][1:]
	}
	var unpairedOld []int
	for _, w := range unpaired {
		unpairedOld = append(unpairedOld, w...)
	}
	if len(unpairedNew) == 1 && len(unpairedOld) == 1 && firstWord(a[unpairedOld[0]]) == firstWord(b[unpairedNew[0]]) {
		partner[unpairedNew[0]] = unpairedOld[0]
	}
	return partner
}

// subject returns the words of a line that say what it is about, or "" for a
// line that is no rule.
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

// firstWord returns the verb of a rule, "#" for a line with only a comment and
// the line itself if it is blank.
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
