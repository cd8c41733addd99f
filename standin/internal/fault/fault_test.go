package fault

import (
	"fmt"
	"testing"
)

// Guards against a hash of similar request ids that selects far more or fewer requests
// than the configured share, and against two faults whose selections are correlated.
func TestShare(t *testing.T) {
	s := Set{Salt: "engine-1"}
	s.Add(Fault{Kind: Truncated, Share: 0.1})
	s.Add(Fault{Kind: Fail, Share: 0.1})
	counts := map[Kind]int{}
	for i := range 10_000 {
		counts[s.Match(RequestInfo{ID: fmt.Sprintf("request-%d", i), DataPlane: true}).Kind]++
	}
	if counts[Truncated] < 900 || counts[Truncated] > 1100 || counts[Fail] < 800 || counts[Fail] > 1000 {
		t.Errorf("of 10,000: %v, expected about 1000 truncated and 900 failed", counts)
	}
}

// Guards against a fault that applies to requests outside its path, version or load
// condition.
func TestAppliesTo(t *testing.T) {
	dataPlane := RequestInfo{ID: "a", Path: "/v1/completions", Version: "2", DataPlane: true, Running: 3}
	control := RequestInfo{ID: "a", Path: "/v1/load", Version: "2"}
	for _, tc := range []struct {
		fault              Fault
		dataPlane, control bool
	}{
		{Fault{Kind: Fail}, true, false},
		{Fault{Kind: Fail, PathPrefix: "*"}, true, true},
		{Fault{Kind: Fail, PathPrefix: "/v1/load"}, false, true},
		{Fault{Kind: Fail, Version: "1"}, false, false},
		{Fault{Kind: Fail, Version: "2"}, true, false},
		{Fault{Kind: Fail, MinRunning: 4}, false, false},
	} {
		var s Set
		s.Add(tc.fault)
		if got := s.Match(dataPlane).Kind != ""; got != tc.dataPlane {
			t.Errorf("%+v applied to the data-plane request: %t", tc.fault, got)
		}
		if got := s.Match(control).Kind != ""; got != tc.control {
			t.Errorf("%+v applied to the control request: %t", tc.fault, got)
		}
	}
}
