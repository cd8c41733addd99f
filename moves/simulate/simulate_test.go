package simulate

import (
	"testing"
	"time"
)

// smallCase shortens a case for a test.
func smallCase(c Case) Case {
	c.Targets, c.Hosts, c.EvaluationSeconds = 12, 3, 3
	c.RequestsPerSecond = utilisation * targetSlots * float64(c.Targets) / 2 / (firstTokenSeconds + secondsPerToken*meanTokens)
	c.Deadline = min(c.Deadline, 55*time.Minute)
	c.LoadTime = 20 * time.Second
	return c
}

func runFamily(adapt func(Case) Case, cases ...Case) *Summary {
	s := &Summary{Runs: make([]Result, len(cases))}
	for _, c := range cases {
		s.Cases = append(s.Cases, adapt(smallCase(c)))
	}
	runAll([]*Summary{s})
	return s
}

func unchanged(c Case) Case { return c }

// Guards against a bad version that is not rolled back, receives more than 5% of
// the requests, or receives any later than 2 s after a host detected the fault.
// Also guards against a good version that is rolled back or late. It runs one
// seed per family; Run covers all.
func TestEachFamily(t *testing.T) {
	var cases []Case
	for k := range FaultKinds {
		cases = append(cases, BadCase(1000*uint64(k+1), k))
	}
	for _, k := range []int{2, 3, 4} { // a third slow at once, one by one, and a slow zone
		cases = append(cases, GoodCase(100000+1000*uint64(k+1), k))
	}
	s := runFamily(unchanged, cases...)
	for i, r := range s.Runs {
		c := s.Cases[i]
		if !s.endedAsExpected(i) {
			t.Errorf("seed %d: %s at %s, step %d: %s", c.Seed, r.Phase, r.EndedAfter, r.step, r.Reason)
		}
		if v := r.Invariants(); v != nil {
			t.Errorf("seed %d: %v", c.Seed, v)
		}
		if c.Fault != nil && float64(r.ToFaultyVersion) > 0.05*float64(r.Requests) {
			t.Errorf("seed %d: %d of %d requests to the bad version", c.Seed, r.ToFaultyVersion, r.Requests)
		}
	}
}

// Guards against moves that end wrongly or violate an invariant because the
// controller dies, pauses or is partitioned, the store is down or the operator
// changes the rule. Run covers every step.
func TestDisturbances(t *testing.T) {
	s := runFamily(unchanged,
		DisturbedCase(300001, LeaseHolderDies, 2, true),
		DisturbedCase(200003, LeaseHolderPauses, 3, false),
		DisturbedCase(300005, LeaseHolderPartitioned, 3, true),
		DisturbedCase(300007, StoreDown, 2, true),
		DisturbedCase(200009, RuleRemoved, 2, false))
	for i, r := range s.Runs {
		if v := r.Invariants(); v != nil || !s.endedAsExpected(i) {
			t.Errorf("%s: %s at %s: %v", s.Cases[i].Disturbance, r.Phase, r.EndedAfter, v)
		}
	}
}

// Guards against checks of this package that cannot fail: each run lacks one part,
// and the check that depends on it must fail.
func TestAblationsAreDetected(t *testing.T) {
	noEvaluation := runFamily(func(c Case) Case { c.Ablation.NoEvaluation = true; c.Deadline = 20 * time.Minute; return c }, BadCase(1000, 0))
	if noEvaluation.ExpectedRuns() > 0 {
		t.Errorf("without evaluation, the move of a bad version still ends as expected: %s", noEvaluation.Runs[0].Phase)
	}
	ungrouped := runFamily(func(c Case) Case { c.Ablation.UngroupedSamples = true; return c }, GoodCase(103006, 2), GoodCase(104002, 3))
	if ungrouped.ExpectedRuns() == len(ungrouped.Runs) {
		t.Error("without target groups, no good version is rolled back for slow targets")
	}
	// With an evaluation every 40 s, most hosts receive a halt before they detect
	// the fault themselves.
	afterHalt := func(noHalts bool) int {
		s := runFamily(func(c Case) Case { c.EvaluationSeconds, c.Ablation.NoHalts = 40, noHalts; return c }, BadCase(2000, 1))
		return s.Runs[0].DispatchesAfterHalt
	}
	if with, without := afterHalt(false), afterHalt(true); with != 0 || without == 0 {
		t.Errorf("dispatches later than 2 s after a halt: %d with halt messages, want 0; %d without, want some", with, without)
	}
	noWait := runFamily(func(c Case) Case { c.Fenced, c.Ablation.NoPredecessorWait = false, true; return c }, DisturbedCase(200003, LeaseHolderPauses, 2, false))
	if noWait.Runs[0].StaleCommands == 0 {
		t.Error("without the wait for the predecessor, no stale command of a paused controller arrives")
	}
}
