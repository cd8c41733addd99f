package scenario_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sardinefront.dev/proof/scenario"
)

const directory = "../../scenarios"

// Guards against every failure that the scenario files describe. Scenarios listed in
// KNOWN-RED.txt are skipped and their entries printed.
func TestScenarios(t *testing.T) {
	all, err := scenario.Load(directory)
	if err != nil {
		t.Fatal(err)
	}
	known, err := scenario.ReadKnownRed("../../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range scenario.RunAll(all, known) {
		t.Run(r.Name, func(t *testing.T) {
			switch r.Status {
			case scenario.Failed:
				t.Errorf("%s\n%s", r.Description, r.Log)
			case scenario.KnownRed:
				t.Skipf("known red:\n%s", r.Log)
			}
			if r.Invariants == "" {
				t.Error("the first comment names no invariant")
			}
		})
	}
}

// Guards against a runner that reports a pass for a scenario with a wrong command or an
// expectation that does not hold: each case must fail with its message.
func TestFailingScenariosFail(t *testing.T) {
	const setup = "# x. Invariant I1.\nrules fjellvarsel\nservice d pool=feltdesk\nhost a\nsend s GET /feltdesk/x from o to a\n"
	cases := map[string]string{
		"expect s refused shed":              "1 answered",
		"runs s 2":                           "ran 1 times, expected 2",
		"served d none":                      "ran 1 requests, expected none",
		"expect s":                           "missing: how the calls ended",
		"holds I11":                          "unknown invariant",
		"hold all":                           "unknown command",
		"fault d rust":                       "unknown kind of fault",
		"store down now":                     "unexpected: now",
		"host b colour=red":                  "unknown option colour",
		"send t GET /none/x from o to a":     "no rule matches",
		"send t GET /feltdesk/x from o to b": "no host \"b\"",
		"send t GET /feltdesk/x from o to a\nruns u 1": "nothing was sent as \"u\"",
	}
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "s"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(dir, "examples"), os.DirFS("../../examples")); err != nil {
		t.Fatal(err)
	}
	want := make(map[string]string)
	for line, message := range cases {
		name := fmt.Sprintf("case-%02d", len(want))
		want[name] = message
		if err := os.WriteFile(filepath.Join(dir, "s", name+".txtar"), []byte(setup+line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	all, err := scenario.Load(filepath.Join(dir, "s"))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range scenario.RunAll(all, nil) {
		if r.Status != scenario.Failed || !strings.Contains(r.Log, want[r.Name]) {
			t.Errorf("%s: %s, want a failure with %q:\n%s", r.Name, r.Status, want[r.Name], r.Log)
		}
	}
}
