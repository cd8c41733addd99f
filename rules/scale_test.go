package rules

import (
	"fmt"
	"strings"
	"testing"

	"sardinefront.dev/core/request"
)

// fleetRules returns base with a weight line for each organisation.
func fleetRules(organisations int) string {
	var b strings.Builder
	b.WriteString(strings.Replace(base, "any /desk/**  is", "any /desk/** is", 1))
	for i := range organisations {
		fmt.Fprintf(&b, "organisation o%d has weight %d # K\n", i, i%9+1)
	}
	return b.String()
}

// fleetCalls returns a file with one call line per organisation.
func fleetCalls(organisations int) string {
	var b strings.Builder
	b.WriteString("pool lyn is engine # K\nsend any /** to lyn # K\n")
	for i := range organisations {
		fmt.Fprintf(&b, "call POST /v1/* from o%d is urgent # K\n", i)
	}
	b.WriteString("call POST /v1/** is patient # K\n")
	return b.String()
}

// entries counts the nodes and entries that a lookup may visit.
func (n *node) entries() int {
	total := 1 + len(n.exact) + len(n.prefix)
	for _, c := range n.literals {
		total += c.entries()
	}
	if n.wildcard != nil {
		total += n.wildcard.entries()
	}
	return total
}

// Guards against a lookup whose cost grows with the number of organisations. With 29,000
// of them it would exceed the bound on the overhead per request.
func TestLookUpDoesNotGrowWithOrganisations(t *testing.T) {
	few, many := mustParse(t, fleetCalls(2)), mustParse(t, fleetCalls(20_000))
	if a, b := few.callIndex.root.entries(), many.callIndex.root.entries(); a != b {
		t.Errorf("%d entries for 2 organisations, %d for 20,000", a, b)
	}
	for org, want := range map[string]request.Tier{"o0": request.Urgent, "o19999": request.Urgent, "o20000": request.Patient} {
		if c, ok := many.Classify("POST", "/v1/chat", org); !ok || c.Tier != want {
			t.Errorf("%s: %+v", org, c)
		}
	}
	if w := mustParse(t, fleetRules(20_000)).Weight("o19999"); w != 19999%9+1 {
		t.Errorf("weight %d", w)
	}
}

func BenchmarkClassify(b *testing.B) {
	for _, n := range []int{10, 1_000, 20_000} {
		s := mustParse(b, fleetCalls(n))
		last := fmt.Sprintf("o%d", n-1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Classify("POST", "/v1/chat", last)
			}
		})
	}
}

func BenchmarkParse(b *testing.B) {
	text := []byte(fleetCalls(20_000))
	b.ReportAllocs()
	for b.Loop() {
		Parse("f", text, testNow)
	}
}
