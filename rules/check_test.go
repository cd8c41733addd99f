package rules

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/core/request"
)

// findingsOf returns the findings, one per line, of base with the given lines added.
func findingsOf(now time.Time, previous string, lines ...string) string {
	text := base + strings.Join(lines, "  # K\n") + "  # K\n"
	_, found := ParseEdit("f", []byte(previous), []byte(text), now)
	var all []string
	for _, f := range found {
		all = append(all, fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message))
	}
	return strings.Join(all, "\n")
}

const (
	openMove    = "move lyn from version 7 to version 8 by 2027-01-05T06:00:00Z, at most 5%"
	expiredMove = "move lyn from version 7 to version 8 by 2026-12-01T06:00:00Z"
)

// Guards against rejecting a file because of a move that has ended or whose deadline has
// passed since the file was accepted. That would block every later edit and leave a
// restarting host without rules.
func TestMovesMayStayInTheFile(t *testing.T) {
	for _, c := range []struct {
		name     string
		now      time.Time
		previous string
		lines    []string
		want     string
	}{
		{"past", testNow, "", []string{expiredMove}, "10:41: the deadline 2026-12-01T06:00:00Z has passed"},
		{"past, accepted earlier", testNow, base + expiredMove + ", at most 2% # other\n", []string{expiredMove}, ""},
		{"past, another accepted earlier", testNow, base + openMove + " # K\n", []string{expiredMove}, "10:41: the deadline"},
		{"past, adopted by a host", time.Time{}, "", []string{expiredMove}, ""},
		{"marked as ended", testNow, "", []string{expiredMove + ", ended", openMove}, ""},
		{"new version served", testNow, "", []string{"move lyn from version 6 to version 7 by 2026-12-01T06:00:00Z", openMove}, ""},
		{"two moves", testNow, "", []string{openMove, "move lyn from version 7 to version 9 by 2027-02-05T06:00:00Z"}, "11:6: two moves of lyn: line 10"},
		{"both served", testNow, "", []string{"serve lyn version 8", openMove}, "11:36: contradiction: lyn already serves version 8"},
		{"to itself", testNow, "", []string{"move lyn from version 7 to version 7 by 2027-01-05T06:00:00Z"}, "10:36: version 7 cannot move to itself"},
	} {
		got := findingsOf(c.now, c.previous, c.lines...)
		if !strings.HasPrefix(got, c.want) || (c.want == "") != (got == "") {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a move id that changes with the share, the comment or the time zone,
// which would restart the move, and against one that does not change with the deadline,
// so that a move could not be repeated after a rollback.
func TestMoveID(t *testing.T) {
	id := func(line string) string {
		return mustParse(t, base+"# moved down\n"+line+"  # someone\n").Moves()[0].ID
	}
	first := id(openMove)
	if got := id("move lyn from version 7 to version 8 by 2027-01-05T14:00:00+08:00 and at most 1%"); got != first {
		t.Errorf("with another share and time zone the id is %s, want %s", got, first)
	}
	if got := id(strings.Replace(openMove, "05T", "06T", 1)); got == first {
		t.Error("another deadline has the same id")
	}
	if m := mustParse(t, base+openMove+" # K\n").Moves()[0]; m.AtMost != 0.05 || m.From != 7 || m.To != 8 || m.Ended {
		t.Errorf("%+v", m)
	}
}

// Guards against lines that state different effects for the same request. Whether it may
// be retried would depend on the line that is applied.
func TestContradictingEffects(t *testing.T) {
	for _, c := range []struct{ file, want string }{
		{"call POST /d/a from x is idempotent # K\ncall POST /d/a is non-idempotent # K\n", "4:19: contradiction: line 3 says that these calls are idempotent"},
		{"call POST /d/** from x is idempotent # K\ncall POST /d/a is patient and non-idempotent # K\n", "4:31: contradiction: line 3"},
		{"call any /d/** from x is non-idempotent # K\ncall POST /d/* from y is idempotent # K\n", "4:26: contradiction: line 3"},
		{"call POST /d/a is non-idempotent # K\ncall POST /d/** is idempotent # K\n", ""},
		{"call POST /d/a from x is urgent # K\ncall POST /d/a is non-idempotent # K\n", ""},
		{"call GET /d/a is urgent, first token within 1s # K\n", "3:26: these calls go to a service"},
		{"call GET /d/a is prompts up to 9 tokens # K\n", "3:18: these calls go to a service"},
		{"call GET /d/a is answer within 1s, first token within 2s # K\n", "3:36: the first token (within 2s) is due later than the answer (within 1s)"},
	} {
		_, found := Parse("f", []byte("pool d is service # K\nsend any /d/** to d # K\n"+c.file), testNow)
		got := ""
		if len(found) > 0 {
			got = strings.TrimPrefix(found[0].String(), "f:")
		}
		if !strings.HasPrefix(got, c.want) || (c.want == "") != (got == "") {
			t.Errorf("%q: got %v, want %q", c.file, found, c.want)
		}
	}
	// Line 3 states no effect, so that of line 4 applies to its requests.
	s := mustParse(t, "pool d is engine # K\nsend any /** to d # K\ncall POST /a from x is urgent # K\ncall POST /a is non-idempotent # K\n")
	if c, _ := s.Classify("POST", "/a", "x"); c.Line != 3 || c.Effect != request.NonIdempotent {
		t.Errorf("%+v does not have the effect that another line states", c)
	}
}

// Guards against accepting options on a service that only engines support.
func TestServiceHasNoEngineOptions(t *testing.T) {
	_, found := Parse("f", []byte("pool d is service, orders checked # K\nsend any /d to d # K\ncall any /d is urgent # K\n"), testNow)
	if len(found) != 1 || found[0].Line != 1 || found[0].Column != 20 {
		t.Errorf("%v", found)
	}
}

// Guards against wrong defaults of organisations, and against a prompt limit above that of
// the pool.
func TestOrganisationsAndLimits(t *testing.T) {
	s := mustParse(t, strings.Replace(base, "fenced", "fenced, prompts up to 100 tokens", 1)+
		"call GET /lyn/x is prompts up to 300 tokens # K\nsend GET /lyn/x to lyn # K\n"+
		"organisation rail has weight 4 # K\norganisation road has default tier urgent # K\n"+
		"every other organisation has weight 2, default tier patient # K\n")
	for name, want := range map[string]string{"rail": "4 patient", "road": "2 urgent", "boat": "2 patient"} {
		if got := fmt.Sprint(s.Weight(name), " ", s.DefaultTier(name)); got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
	c, _ := s.Classify("GET", "/lyn/x", "boat")
	if c.Tier != request.Patient || c.ResponseTimeout != 6*time.Hour || c.MaxPromptTokens != 100 {
		t.Errorf("%+v", c)
	}
	p, ok := s.Pool("lyn")
	if !ok || !p.Fenced || p.AuthenticatesCommands || p.Kind() != "engine" || fmt.Sprint(p.Versions) != "[7]" {
		t.Errorf("%+v", p)
	}
}
