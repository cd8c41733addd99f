package rules

import (
	"fmt"
	"strings"
	"testing"
)

const diffBase = "pool p is engine # K\n\n# calls\ncall GET /a is urgent # K\ncall GET /b is urgent # K\nserve p version 1 # K\n"

// Guards against a changed rule that is shown as an unrelated removal and addition. An
// operator approves a push on the basis of this diff.
func TestDiffPairsTheSameSubject(t *testing.T) {
	edited := "pool p is engine # K\n\n# all calls\ncall GET /c is urgent # K\ncall GET /b is patient # Ola\nserve p version 2 # K\n# end\n"
	var got []string
	for _, c := range Diff([]byte(diffBase), []byte(edited)) {
		got = append(got, fmt.Sprint(c.Kind, " ", c.OldLine, " ", c.NewLine))
	}
	want := "removed 3 0, removed 4 0, added 0 3, added 0 4, changed 5 5, changed 6 6, added 0 7"
	if strings.Join(got, ", ") != want {
		t.Errorf("got  %s\nwant %s", strings.Join(got, ", "), want)
	}
	if c := Diff([]byte("a\na\nb\nb\n"), []byte("b\nb\na\n")); len(c) != 3 {
		t.Errorf("a diff of repeated lines is not the shortest: %v", c)
	}
}

// Guards against a wrong side or line number in the three-way diff. After a rejected push
// an operator merges the two edits on the basis of this diff alone.
func TestThreeWayDiff(t *testing.T) {
	edit := func(pairs ...string) []byte { return []byte(strings.NewReplacer(pairs...).Replace(diffBase)) }
	for _, c := range []struct {
		name         string
		mine, theirs []byte
		want         string
	}{
		{"none", edit(), edit(), ""},
		{"different lines", edit("/a is urgent", "/a is patient"), edit("version 1", "version 2"), "mine 4 4 4, theirs 6 6 6"},
		{"same line", edit("version 1", "version 3"), edit("version 1", "version 2"), "clash 6 6 6"},
		{"same change", edit("version 1", "version 2"), edit("version 1", "version 2"), "agreed 6 6 6"},
		{"removed and changed", edit("call GET /a is urgent # K\n", ""), edit("/a is urgent", "/a is patient"), "clash 4 0 4"},
		{"both removed", edit("call GET /a is urgent # K\n", ""), edit("call GET /a is urgent # K\n", ""), "agreed 4 0 0"},
		{"same subject added apart", edit("# calls", "organisation x has weight 2 # K"), append(edit(), "organisation x has weight 3 # K\n"...), "clash 0 3 7, mine 3 0 3"},
		{"different subjects added", append(edit(), "organisation x has weight 2 # K\n"...), append(edit(), "organisation y has weight 3 # K\n"...), "mine 0 7 0, theirs 0 0 7"},
	} {
		var got []string
		for _, l := range ThreeWayDiff([]byte(diffBase), c.mine, c.theirs) {
			got = append(got, fmt.Sprint(l.Side, " ", l.BaseLine, " ", l.MineLine, " ", l.TheirsLine))
		}
		if strings.Join(got, ", ") != c.want {
			t.Errorf("%s: got %s, want %s", c.name, strings.Join(got, ", "), c.want)
		}
	}
}
