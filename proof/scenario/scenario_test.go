package scenario_test

import (
	"testing"

	"sardinefront.dev/proof/scenario"
)

const directory = "../../scenarios"

// Guards every statement that the scenario files make. The listed known faults
// are passed over and printed.
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
				t.Errorf("%s\n%s", r.Shows, r.Log)
			case scenario.KnownRed:
				t.Skipf("known red:\n%s", r.Log)
			}
			if r.Invariants == "" {
				t.Error("the first comment names no invariant")
			}
		})
	}
}
