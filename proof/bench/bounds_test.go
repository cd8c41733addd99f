package bench

import (
	"slices"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/proof/knownred"
	"sardinefront.dev/sched/pool"
)

// testScenarios returns scenarios of Run that are short enough to end within
// seconds, with two seeds for the smallest deployment.
func testScenarios() []*scenario {
	var all []*scenario
	for seed := uint64(1); seed <= 2; seed++ {
		o := Options{Seed: seed, Deployments: []string{fjellvarsel.name}, Duration: 20 * time.Second}
		o, _ = o.withDefaults()
		all = append(all, o.scenarios()...)
	}
	fair := fairnessScenario(1)
	fair.duration = time.Minute
	zone := &scenario{deployment: targetZone, seed: 1, load: 1, onlyTier: -1, duration: 8 * time.Second}
	return append(all, fair, zone)
}

// TestBounds guards against scheduling that misses a bound of bounds.yaml, one
// subtest per bound and scenario. Failures listed in KNOWN-RED.txt are logged and
// skipped.
func TestBounds(t *testing.T) {
	bounds, err := Bounds()
	if err != nil {
		t.Fatal(err)
	}
	known := knownFailures(t)
	all := compareSchedulers(testScenarios(), pool.PeerDigests, 4)
	for i := range bounds {
		for _, name := range scenarioNames(all) {
			t.Run(bounds[i].Name+"/"+name, func(t *testing.T) { checkBound(t, &bounds[i], name, all, known) })
		}
	}
}

// scenarioNames returns the names of the scenarios without duplicates.
func scenarioNames(all []*comparison) []string {
	var list []string
	for _, c := range all {
		if !slices.Contains(list, c.scenario.String()) {
			list = append(list, c.scenario.String())
		}
	}
	return list
}

// checkBound checks a bound for all seeds of the named scenario.
func checkBound(t *testing.T, b *Bound, name string, all []*comparison, known map[string]string) {
	missed := false
	for _, c := range all {
		v := figureNamed(b.Figure).value(c.pool, c)
		if c.scenario.String() != name || b.met(v) {
			continue
		}
		missed = true
		t.Logf("seed %d: %s is %s, required is %s (%s)", c.scenario.seed, b.Figure, formatFigure(v), b, b.Source)
		if b.Figure == "inversions" {
			t.Log(c.pool.InversionTrace)
		}
	}
	switch {
	case missed && known[t.Name()] != "":
		t.Skip("known failure, see KNOWN-RED.txt")
	case missed:
		t.Fail()
	case known[t.Name()] != "":
		t.Log("listed in KNOWN-RED.txt, but passes")
	}
}

// knownFailures returns the entries of KNOWN-RED.txt by the names of their tests.
func knownFailures(t *testing.T) map[string]string {
	known, err := knownred.Read("../../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	return known
}

// TestOmniscientServesCapacity guards against a weak omniscient scheduler, which
// would make the bounds relative to it easy to meet.
func TestOmniscientServesCapacity(t *testing.T) {
	for _, slow := range []bool{false, true} {
		s := &scenario{
			deployment: fjellvarsel, seed: 1, load: 0.8, slowTargets: slow,
			onlyTier: -1, duration: 20 * time.Second,
		}
		r := s.run(newOmniscient)
		for tier := request.Urgent; tier <= request.Interactive; tier++ {
			if g := r.Tiers[tier].goodput(); g < 0.99 {
				t.Errorf("%s seed 1: %s goodput is %.3f, want at least 0.99", s, tier, g)
			}
		}
		if r.Inversions > 0 {
			t.Errorf("%s seed 1: %s", s, r.InversionTrace)
		}
	}
}

// TestSameSeedSameResult guards against decisions that depend on map order or on
// the wall clock.
func TestSameSeedSameResult(t *testing.T) {
	s := &scenario{
		deployment: fjellvarsel, seed: 3, load: 1.5, slowTargets: true, engineCrash: true,
		onlyTier: -1, duration: 8 * time.Second,
	}
	for name, build := range map[string]func(*world) scheduler{
		"pool":  newPoolSchedulerWith(pool.PeerDigests),
		"least": newLeastInProgress, "omniscient": newOmniscient,
	} {
		if a, b := s.run(build), s.run(build); *a != *b {
			t.Errorf("%s seed %d: %+v and then %+v", name, s.seed, *a, *b)
		}
	}
}
