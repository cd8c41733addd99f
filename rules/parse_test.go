package rules

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/core/request"
)

// testNow is after the deadline of expiredMove and before that of openMove.
var testNow = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// base is a file without findings to which the tests add lines.
const base = `pool lyn is engine, orders fenced  # Kari
pool desk is service  # Kari
send POST /lyn/** to lyn  # Kari
send any /desk/** to desk  # Kari
call POST /lyn/v1/chat from rail is urgent, answer within 20s, first token within 590ms  # duty desk
call POST /lyn/** is interactive  # Ola
call POST /desk/orders is interactive and non-idempotent  # Ola
call any /desk/**  is interactive  # Ola
serve lyn version 7  # Kari
`

func mustParse(t testing.TB, text string) *Set {
	t.Helper()
	s, found := Parse("test.rules", []byte(text), testNow)
	if len(found) > 0 {
		t.Fatalf("unexpected findings: %v", found)
	}
	return s
}

// Guards against example files with findings or in non-canonical form. Operators copy
// them as a start.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, name := range []string{"fjellvarsel", "lampukaca"} {
		text, err := os.ReadFile("../examples/" + name + ".rules")
		if err != nil {
			t.Fatal(err)
		}
		for _, now := range []time.Time{testNow, {}} {
			if _, found := Parse(name, text, now); len(found) > 0 {
				t.Errorf("%s at %s: %v", name, now, found)
			}
		}
		if changes := Diff(text, Format(text)); len(changes) > 0 {
			t.Errorf("%s is not in canonical form: %v", name, changes)
		}
	}
}

// Guards against rules in docs/rules.md that cannot be parsed. Operators copy them.
func TestDocumentedRulesAreReadable(t *testing.T) {
	text, err := os.ReadFile("../docs/rules.md")
	if err != nil {
		t.Fatal(err)
	}
	rules, fenced := 0, false
	for i, line := range splitLines(text) {
		if strings.HasPrefix(line, "```") {
			fenced = !fenced
		}
		if !fenced || !strings.Contains(line, "  # ") {
			continue
		}
		rules++
		f := &findings{file: "rules.md"}
		if parseLine(f, i+1, line); len(f.list) > 0 {
			t.Error(f.list)
		}
	}
	if rules < 12 {
		t.Errorf("found %d rules in docs/rules.md, want at least 12", rules)
	}
}

// Guards against a missing or misplaced finding: each line, added to the base file, must
// cause the expected finding first.
func TestFindings(t *testing.T) {
	for _, c := range []struct{ add, want string }{
		{"serv lyn version 9  # K", "10:1: expected `pool`, `send`, `call`, `organisation`, `every`, `serve` or `move`, found `serv`; did you mean `serve`?"},
		{"organisation rail has wieght 2  # K", "10:23: expected `weight` or `default`, found `wieght`; did you mean `weight`?"},
		{"organisation rail has weight  # K", "10:29: expected a weight, found the end of the line"},
		{"organisation rail has weight 2", "10:31: missing comment"},
		{"organisation rail has weight 2  #  - ", "10:31: missing comment"},
		{"organisation rail has weight 0  # K", "10:30: a weight is out of range"},
		{"organisation rail has weight 2, weight 3  # K", "10:33: this clause is stated twice"},
		{"send GET /x to lym  # K\ncall GET /x is urgent  # K", "10:16: unknown pool `lym`; did you mean `lyn`?"},
		{"serve lyn version 7  # K", "10:19: repeated version: line 9"},
		{"serve desk version 7  # K", "10:7: desk is a service"},
		{"pool lyn is engine, orders unfenced  # K", "10:6: contradiction: line 1 describes pool lyn differently"},
		{"send POST /lyn/** to desk  # K", "10:11: contradiction: line 3"},
		{"send POST /lyn/v1/* to desk  # K", "10:11: shadowed: line 3 sends all these calls to lyn"},
		{"call POST /lyn/** is patient  # K", "10:11: contradiction: line 6"},
		{"call POST /lyn/a/* from rail is patient  # K", "10:11: shadowed: line 6"},
		{"call POST /desk/x is first token within 1s  # K\n", "10:11: shadowed: line 8"},
		{"move lyn from version 7 to version 8 by 2026-12-04T05:00:00Z  # K", "10:41: the deadline 2026-12-04T05:00:00Z has passed"},
		{"move lyn from version 6 to version 8 by 2027-01-05T06:00:00Z  # K", "10:23: unknown version: lyn does not serve version 6; it serves 7"},
		{"move lyn from version 7 to version 8 by 2027-01-05T06:00:00Z, at most 0%  # K", "10:71: `at most` is out of range"},
		{"move lyn from version 7 to version 8 by tomorrow  # K", "10:41: expected a time such as"},
		{"pool spare is service  # K", "10:6: no `send` line sends calls to pool spare"},
		{"send GET /spare to lyn  # K", "10:10: no `call` line describes"},
		{"call GET /spare is urgent  # K", "10:10: no `send` line says"},
		{"call PUT /other/** is urgent  # K", "10:10: no `send` line says"},
		{"send GET /a/**/b to lyn  # K\n", "10:10: `**` is allowed only at the end of a path"},
		{"organisation r\x01 has weight 2 # K", "10:15: the line contains a control character"},
	} {
		_, found := Parse("test.rules", []byte(base+c.add), testNow)
		if len(found) == 0 || !strings.HasPrefix(found[0].String(), "test.rules:"+c.want) {
			t.Errorf("%q:\n got %v\nwant %s", c.add, found, c.want)
		}
	}
}

// Guards against a parser that stops at the first error. An operator can fix a file in
// one pass only if all errors are reported.
func TestAllErrorsAreReportedTogether(t *testing.T) {
	text := strings.Replace(base, "send any /desk/**", "sned any /desk/**", 1) +
		"organisation rail has weight 2\n" +
		"send GET /x to nowhere  # K\n" +
		"move lyn from version 7 to version 8 by 2020-01-01T00:00:00Z  # K\n" +
		"call POST /lyn/v1/chat from rail is patient  # K\n"
	set, found := Parse("f", []byte(text), testNow)
	if set != nil {
		t.Error("Parse returned a set for a file with findings")
	}
	var places []string
	for _, f := range found {
		places = append(places, fmt.Sprint(f.Line, ":", f.Column))
	}
	if got := strings.Join(places, " "); got != "4:1 10:31 11:10 11:16 12:41 13:11" {
		t.Errorf("findings at %s: %v", got, found)
	}
}

// Guards against a request that is classified by the wrong line, and against spellings of
// a path that bypass a rule.
func TestClassify(t *testing.T) {
	s := mustParse(t, base)
	for _, c := range []struct {
		method, path, org string
		line              int
		pool              string
		tier              request.Tier
		effect            request.Effect
	}{
		{"POST", "/lyn/v1/chat", "rail", 5, "lyn", request.Urgent, request.Idempotent},
		{"POST", "/lyn//v1/chat/", "rail", 5, "lyn", request.Urgent, request.Idempotent},
		{"POST", "/lyn/v1/chat", "road", 6, "lyn", request.Interactive, request.Idempotent},
		{"POST", "/lyn", "", 6, "lyn", request.Interactive, request.Idempotent},
		{"POST", "/desk/orders?x=1", "road", 7, "desk", request.Interactive, request.NonIdempotent},
		{"PUT", "/desk/orders", "road", 8, "desk", request.Interactive, request.NonIdempotent},
		{"GET", "/desk/orders", "road", 8, "desk", request.Interactive, request.Idempotent},
		{"GET", "/lyn/v1/chat", "rail", 0, "", 0, 0},
		// Another spelling of a path must not select the rule of another path.
		{"POST", "/desk/%6frders", "road", 7, "desk", request.Interactive, request.NonIdempotent},
		{"POST", "/desk/x/../orders", "road", 0, "", 0, 0},
		{"POST", "/desk/%2e/orders", "road", 0, "", 0, 0},
		{"POST", "/desk%2Forders", "road", 0, "", 0, 0},
		{"POST", "/desk/%256frders", "road", 0, "", 0, 0},
		{"POST", "/desk/%zz", "road", 0, "", 0, 0},
		{"POST", "/desk/.hidden", "road", 8, "desk", request.Interactive, request.NonIdempotent},
		{"GET", "/other", "rail", 0, "", 0, 0},
	} {
		got, ok := s.Classify(c.method, c.path, c.org)
		if ok != (c.line > 0) || got.Line != c.line || got.Pool != c.pool || got.Tier != c.tier || got.Effect != c.effect {
			t.Errorf("%s %s %s: %+v", c.method, c.path, c.org, got)
		}
	}
}

// Guards against a heap allocation per request, which would add to the latency of every
// request.
func TestClassifyDoesNotAllocate(t *testing.T) {
	s := mustParse(t, base)
	allocations := testing.AllocsPerRun(100, func() {
		s.Classify("POST", "/lyn/v1/chat", "rail")
		s.Classify("PUT", "/desk/orders/12/close", "road")
	})
	if allocations != 0 {
		t.Errorf("Classify allocated %v times, want 0", allocations)
	}
}
