package rules

import (
	"bytes"
	"testing"
)

// FuzzParse guards against panics, against a set that is returned with findings, and
// against a formatter that changes the meaning of a file or is not idempotent.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte("move p from version 1 to version 2 by 2027-01-05T06:00:00+23:59, at most 0.001% and ended # x\n"))
	f.Add([]byte("every other organisation has default tier patient # x\r\n\r\n\r\n#\n"))
	f.Add([]byte("call any /** from ø is patient and, first token within 1h,\x00"))
	f.Add([]byte("pool , is # # \xff\nsend POST /a/*b/** to"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, found := Parse("f", text, testNow)
		if (set == nil) != (len(found) > 0) {
			t.Fatalf("got set %v and findings %v, want exactly one of them", set, found)
		}
		formatted := Format(text)
		if again := Format(formatted); !bytes.Equal(formatted, again) {
			t.Fatalf("Format is not idempotent: %q, then %q", formatted, again)
		}
		formattedSet, found := Parse("f", formatted, testNow)
		if (set == nil) != (formattedSet == nil) {
			t.Fatalf("formatting changed the findings: %v", found)
		}
		if set == nil {
			return
		}
		for i, l := range set.Lines() {
			if g := formattedSet.Lines()[i]; g.Verb != l.Verb || g.Comment != l.Comment {
				t.Fatalf("formatting changed %+v to %+v", l, g)
			}
		}
	})
}
