package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const propertySeed = 20261204

func checkProperties(t *testing.T, add func(*gopter.Properties)) {
	t.Helper()
	t.Logf("seed %d", propertySeed)
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 1500
	properties := gopter.NewProperties(parameters)
	add(properties)
	properties.TestingRun(t)
}

// genSegments generates short paths of few different segments, so that patterns overlap.
func genSegments(words ...any) gopter.Gen {
	return gen.SliceOfN(3, gen.OneConstOf(words...)).Map(func(s []string) string {
		end := slices.Index(s, "")
		if end < 0 {
			end = len(s)
		}
		if at := slices.Index(s[:end], "**"); at >= 0 {
			end = at + 1
		}
		return "/" + strings.Join(s[:end], "/")
	})
}

type testCall struct{ method, path, from string }

func genCall(methods, froms []any, segments ...any) gopter.Gen {
	return gopter.CombineGens(gen.OneConstOf(methods...), genSegments(segments...), gen.OneConstOf(froms...)).
		Map(func(v []any) testCall { return testCall{v[0].(string), v[1].(string), v[2].(string)} })
}

var (
	genPattern  = genCall([]any{"GET", "POST", methodAny}, []any{"", "", "x", "y"}, "a", "b", "*", "**", "")
	genConcrete = genCall([]any{"GET", "POST", "PUT"}, []any{"", "x", "y", "z"}, "a", "b", "c", "")
)

// matches is the reference implementation of matching for the index.
func (p testCall) matches(c testCall) bool {
	if (p.method != methodAny && p.method != c.method) || (p.from != "" && p.from != c.from) {
		return false
	}
	want := strings.FieldsFunc(p.path, func(r rune) bool { return r == '/' })
	got := strings.FieldsFunc(c.path, func(r rune) bool { return r == '/' })
	for i, w := range want {
		if w == "**" {
			return true
		}
		if i >= len(got) || (w != "*" && w != got[i]) {
			return false
		}
	}
	return len(want) == len(got)
}

// Guards against an index that differs from the reference implementation. A wrong match
// sends a request to another pool or retries one that must not be retried; a wrong result
// of covering or overlapping misses an unused rule or rejects a valid file.
func TestIndexAgreesWithReference(t *testing.T) {
	checkProperties(t, func(p *gopter.Properties) {
		p.Property("first match, covering and overlap", prop.ForAll(
			func(patterns, calls []testCall, probe testCall) string {
				x := newIndex()
				for i, r := range patterns {
					x.insert(pattern{r.method, r.path}, r.from, int32(i))
				}
				probePattern := pattern{probe.method, probe.path}
				covering := x.covering(probePattern, probe.from)
				overlapping := x.overlapping(probePattern)
				for _, c := range calls {
					first := slices.IndexFunc(patterns, func(r testCall) bool { return r.matches(c) })
					got := int(x.find(c.method, c.path, c.from))
					if got != first && !(first < 0 && got == noRank) {
						return fmt.Sprintf("%v: found %d, want %d", c, got, first)
					}
					if !probe.matches(c) {
						continue
					}
					if covering != noRank && !patterns[covering].matches(c) {
						return fmt.Sprintf("%v covers %v but not %v", patterns[covering], probe, c)
					}
					if first >= 0 && !overlapping {
						return fmt.Sprintf("%v and %v both match %v", patterns[first], probe, c)
					}
				}
				return ""
			},
			gen.SliceOf(genPattern), gen.SliceOfN(20, genConcrete), genPattern,
		))
	})
}

// genRule generates canonical rules of every verb with all clauses.
var genRule = gopter.CombineGens(genPattern, gen.IntRange(1, 1000), gen.IntRange(0, 6), gen.UInt8()).
	Map(func(v []any) string {
		c, n, kind, bits := v[0].(testCall), v[1].(int), v[2].(int), v[3].(uint8)
		when := func(bit uint8, s string) string {
			if bits&bit == 0 {
				return ""
			}
			return s
		}
		switch kind {
		case 0:
			return "pool p is engine" + when(1, ", orders unfenced") + when(2, ", orders checked") + when(4, fmt.Sprintf(", prompts up to %d tokens", n))
		case 1:
			return "send " + c.method + " " + c.path + " to p"
		case 2:
			return "call " + c.method + " " + c.path + when(1, " from rail") + " is urgent" + when(2, " and non-idempotent") +
				when(4, fmt.Sprintf(", answer within %ds", n%59+1)) + when(8, ", first token within 590ms") + when(16, ", prompts up to 9 tokens")
		case 3:
			return fmt.Sprintf("organisation rail has weight %d", n) + when(1, ", default tier patient")
		case 4:
			return fmt.Sprintf("every other organisation has weight %d", n)
		case 5:
			return fmt.Sprintf("serve p version %d", n)
		}
		return fmt.Sprintf("move p from version %d to version 4 by 2027-01-05T06:00:00+08:00", n) + when(1, ", at most 2.5%") + when(2, ", ended")
	})

// Guards against rules and texts that change when they are formatted, compared or
// merged.
func TestRoundTrips(t *testing.T) {
	checkProperties(t, func(p *gopter.Properties) {
		// A formatter that loses a clause changes the rules of the operator.
		p.Property("the canonical form is parsed and formatted unchanged", prop.ForAll(
			func(line string) string {
				f := &findings{}
				r := parseLine(f, 1, line+"  # K")
				spread := strings.ReplaceAll(strings.ReplaceAll(line, ", ", " ,and  "), " is ", "\tis ")
				switch {
				case len(f.list) > 0:
					return fmt.Sprint(f.list)
				case canonical(r) != line:
					return canonical(r)
				case string(Format([]byte(" "+spread+" #  K "))) != line+"  # K\n":
					return string(Format([]byte(" " + spread + " #  K ")))
				}
				return ""
			}, genRule,
		))
		// The diff must contain every difference and nothing else.
		p.Property("old text and diff yield the new text", prop.ForAll(
			func(old, new []string) string {
				a, b := []byte(strings.Join(old, "")), []byte(strings.Join(new, ""))
				if got := rebuild(splitLines(a), Diff(a, b)); !slices.Equal(got, splitLines(b)) {
					return fmt.Sprintf("%q from %v", got, Diff(a, b))
				}
				return ""
			}, genLines, genLines,
		))
		// A wrong side would make an operator revert the edit of another operator.
		p.Property("a three-way diff with one edit equals the diff", prop.ForAll(
			func(old, new []string) string {
				a, b := []byte(strings.Join(old, "")), []byte(strings.Join(new, ""))
				changes := len(Diff(a, b))
				for side, view := range map[Side][]ThreeWayLine{SideTheirs: ThreeWayDiff(a, a, b), SideMine: ThreeWayDiff(a, b, a), SideAgreed: ThreeWayDiff(a, b, b)} {
					other := slices.ContainsFunc(view, func(l ThreeWayLine) bool { return l.Side != side })
					if other || len(view) != changes {
						return fmt.Sprintf("%s: %v for %d changes", side, view, changes)
					}
				}
				return ""
			}, genLines, genLines,
		))
	})
}

// genLines generates texts with unique and repeated lines.
var genLines = gen.SliceOf(gen.IntRange(0, 40)).Map(func(numbers []int) []string {
	lines := make([]string, len(numbers))
	for i, n := range numbers {
		switch {
		case n < 8:
			lines[i] = []string{"\n", "# x\n", "a\r\n", "a\n"}[n%4]
		default:
			lines[i] = fmt.Sprintf("serve p%d version %d\n", n/2, n%2)
		}
	}
	return lines
})

// rebuild applies the changes to the old lines.
func rebuild(old []string, changes []Change) []string {
	removed, added := map[int]bool{}, map[int]string{}
	for _, c := range changes {
		if c.OldLine > 0 {
			removed[c.OldLine] = true
		}
		if c.NewLine > 0 {
			added[c.NewLine] = c.New
		}
	}
	var out []string
	appendAdded := func() {
		for line, ok := added[len(out)+1]; ok; line, ok = added[len(out)+1] {
			out = append(out, line)
		}
	}
	for i, l := range old {
		appendAdded()
		if !removed[i+1] {
			out = append(out, l)
		}
	}
	appendAdded()
	return out
}
