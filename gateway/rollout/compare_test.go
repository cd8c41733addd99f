package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sardinefront.dev/moves/analysis"
)

// pool describes simulated targets of both versions.
type pool struct {
	hardware           []float64 // relative gaps of the kinds
	oldCount, newCount int
	slowdown           float64 // of the new version
	loadDelay          float64 // mean increase of a log gap by load
	slowNew            int     // new targets that are 4 times slower by themselves
}

// measure returns the evidence of one rollout of the pool. New targets get few samples.
func (p pool) measure(rng *rand.Rand) SpeedEvidence {
	sums := speeds{}
	target := func(name string, newVersion bool, slowdown, loadDelay float64, samples int) {
		speed := p.hardware[rng.IntN(len(p.hardware))] * math.Exp(0.03*rng.NormFloat64())
		for range samples {
			gap := 15 * time.Millisecond.Seconds() * speed * slowdown * math.Exp(loadDelay*rng.ExpFloat64())
			sums.observe("host", name, newVersion, time.Duration(gap*float64(time.Second)))
		}
	}
	for i := range p.oldCount {
		target(fmt.Sprintf("old-%d", i), false, 1, p.loadDelay, 5+rng.IntN(50))
	}
	for i := range p.newCount {
		slowdown := p.slowdown
		if i < p.slowNew {
			slowdown *= 4
		}
		target(fmt.Sprintf("new-%d", i), true, slowdown, p.loadDelay/2, 1+rng.IntN(4))
	}
	return compareSpeeds(sums.byVersion())
}

var unlikeHardware = []float64{0.68, 0.68, 3}

// Guards against a good version that is rolled back on a pool of unlike hardware, under load, or
// because some of its targets are slow by themselves.
func TestErrorRateOfSpeedComparison(t *testing.T) {
	const runs = 2000
	for _, p := range []pool{
		{hardware: unlikeHardware, oldCount: 12, newCount: 12, slowdown: 1, loadDelay: 0.15},
		{hardware: unlikeHardware, oldCount: 12, newCount: 12, slowdown: 1, loadDelay: 0.8},
		{hardware: unlikeHardware, oldCount: 12, newCount: 6, slowdown: 1, loadDelay: 0.15},
		{hardware: unlikeHardware, oldCount: 12, newCount: 12, slowdown: 1, loadDelay: 0.15, slowNew: 4},
		{hardware: unlikeHardware, oldCount: 4, newCount: 4, slowdown: 1, loadDelay: 0.15},
		{hardware: []float64{1, 1.6, 2.5}, oldCount: 30, newCount: 30, slowdown: 1, loadDelay: 0.15},
		{hardware: []float64{1}, oldCount: 12, newCount: 12, slowdown: 1, loadDelay: 0.15},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		wrong, suspect := 0, 0
		for range runs {
			e := p.measure(rng)
			if e.sufficient() {
				wrong++
			}
			if e.suspect() {
				suspect++
			}
		}
		t.Logf("%+v: %d bad, %d suspect of %d good versions", p, wrong, suspect, runs)
		if float64(wrong) > analysis.DefaultErrorRate*runs {
			t.Errorf("%+v: %d of %d good versions are found bad, want at most %.0f", p, wrong, runs, analysis.DefaultErrorRate*runs)
		}
	}
}

// Guards against a slow version that isn't found on a pool of unlike hardware. At a factor of 4, the
// fast kind is nearly as slow as the slow kind of the old version, so fewer are found.
func TestPowerOfSpeedComparison(t *testing.T) {
	const runs = 500
	for _, p := range []pool{
		{hardware: unlikeHardware, oldCount: 12, newCount: 12, loadDelay: 0.15},
		{hardware: []float64{1}, oldCount: 12, newCount: 12, loadDelay: 0.15},
	} {
		for _, p.slowdown = range []float64{1.4, 2, 3, 4, 8} {
			rng := rand.New(rand.NewPCG(3, 4))
			found, suspect := 0, 0
			for range runs {
				e := p.measure(rng)
				if e.sufficient() {
					found++
				}
				if e.suspect() {
					suspect++
				}
			}
			t.Logf("%+v: %d bad, %d suspect of %d slow versions", p, found, suspect, runs)
			if p.slowdown >= 2 && float64(suspect) < 0.95*runs {
				t.Errorf("%+v: %d of %d slow versions are suspect, want 95 of 100", p, suspect, runs)
			}
		}
	}
}

// Guards against a good version that is rolled back at the end because it is faster: its targets on
// slow hardware passed for slowed targets on fast hardware.
func TestFasterVersionIsNotSuspect(t *testing.T) {
	const runs = 2000
	for _, factor := range []float64{0.25, 0.33, 0.4, 0.5, 0.6, 0.8} {
		p := pool{hardware: unlikeHardware, oldCount: 12, newCount: 12, slowdown: factor, loadDelay: 0.15}
		rng := rand.New(rand.NewPCG(1, 2))
		wrong, suspect := 0, 0
		for range runs {
			e := p.measure(rng)
			if e.sufficient() {
				wrong++
			}
			if e.suspect() {
				suspect++
			}
		}
		if float64(wrong) > analysis.DefaultErrorRate*runs || float64(suspect) > 0.05*runs {
			t.Errorf("factor %v: %d bad, %d suspect of %d faster versions, want at most 5 of 100 suspect", factor, wrong, suspect, runs)
		}
	}
}

// Guards against a comparison that takes longer than the interval between two in large pools: each
// new target was compared with all representatives of the old ones.
func TestLargePoolsAreComparedByQuantiles(t *testing.T) {
	targets := make([]speedSum, 1350)
	for i := range targets {
		targets[i] = speedSum{count: 1, floor: float64(i) / float64(len(targets))}
	}
	all, few := compareSpeeds(targets, targets), compareSpeeds(targets, quantiles(targets, maxComparedTargets))
	if all.LogRatio != few.LogRatio || all.NewTargets != len(targets) {
		t.Errorf("evidence e^%.2f from %d targets, want that of their quantiles, e^%.2f", all.LogRatio, all.NewTargets, few.LogRatio)
	}
}

// Guards against a version that is found slow at the end because the evidence against a faster one
// counts more by the odds of a faster one.
func TestOddsOfSpeedupDoNotCountAsEvidence(t *testing.T) {
	const runs = 1000
	p := pool{hardware: unlikeHardware, oldCount: 12, newCount: 4, slowdown: 0.8, loadDelay: 0.15}
	rng := rand.New(rand.NewPCG(1, 2))
	suspect := 0
	for range runs {
		if p.measure(rng).suspect() {
			suspect++
		}
	}
	if float64(suspect) > 0.05*runs {
		t.Errorf("%d suspect of %d faster versions, want at most 5 of 100", suspect, runs)
	}
}

// Guards against a slow version that passes for a fast one because its targets replace those of the
// old version under the same names.
func TestTargetsReplacedInPlaceAreMeasuredAnew(t *testing.T) {
	const count = 12
	s := speeds{}
	for i := range count {
		name := fmt.Sprintf("target-%d", i)
		s.observe("host", name, false, 15*time.Millisecond)
		s.observe("host", name, true, 60*time.Millisecond)
	}
	other := speeds{}
	other.mergeReport("host", s.report("host"))
	for _, e := range []SpeedEvidence{compareSpeeds(s.byVersion()), compareSpeeds(other.byVersion())} {
		if e.OldTargets != count || e.NewTargets != count || !e.sufficient() {
			t.Errorf("evidence %+v, want a slow version on %d targets", e, count)
		}
	}
}
