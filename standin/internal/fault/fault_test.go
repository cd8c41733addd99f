package fault

import (
	"fmt"
	"testing"
)

// Guards against shares of similar request ids that are far from the configured
// ones, or of two faults that exclude or follow each other.
func TestShare(t *testing.T) {
	s := FaultSet{Salt: "engine-1"}
	s.Add(Fault{Kind: Truncated, Share: 0.1})
	s.Add(Fault{Kind: Fail, Share: 0.1})
	n := map[Kind]int{}
	for i := range 10_000 {
		n[s.Match(RequestInfo{ID: fmt.Sprintf("request-%d", i), DataPlane: true}).Kind]++
	}
	if n[Truncated] < 900 || n[Truncated] > 1100 || n[Fail] < 800 || n[Fail] > 1000 {
		t.Errorf("of 10,000: %v, expected about 1000 cut and 900 failed", n)
	}
}

// Guards against a fault that reaches requests it is not meant for.
func TestConcerns(t *testing.T) {
	work := RequestInfo{ID: "a", Path: "/v1/completions", Version: "2", DataPlane: true, Running: 3}
	control := RequestInfo{ID: "a", Path: "/v1/load", Version: "2"}
	for _, tc := range []struct {
		fault         Fault
		work, control bool
	}{
		{Fault{Kind: Fail}, true, false},
		{Fault{Kind: Fail, PathPrefix: "*"}, true, true},
		{Fault{Kind: Fail, PathPrefix: "/v1/load"}, false, true},
		{Fault{Kind: Fail, Version: "1"}, false, false},
		{Fault{Kind: Fail, Version: "2"}, true, false},
		{Fault{Kind: Fail, MinRunning: 4}, false, false},
	} {
		var s FaultSet
		s.Add(tc.fault)
		if got := s.Match(work).Kind != ""; got != tc.work {
			t.Errorf("%+v on work: %t", tc.fault, got)
		}
		if got := s.Match(control).Kind != ""; got != tc.control {
			t.Errorf("%+v on control: %t", tc.fault, got)
		}
	}
}
