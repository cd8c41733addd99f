package analysis

import (
	"math"
	oldrand "math/rand"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const seed = 20270105

var start = time.Date(2027, 1, 5, 0, 0, 0, 0, time.UTC)

// feed adds samples at one request per target and second. latencyFactor returns
// the factor on the latency of a target.
type feed struct {
	rnd           *rand.Rand
	samples       *Samples
	targets       int
	newTargets    int // targets on the new version, the first ones
	latencyFactor func(target int, onNew bool, at time.Duration) float64
}

func newFeed(targets, newTargets int, latencyFactor func(int, bool, time.Duration) float64) *feed {
	return &feed{rand.New(rand.NewPCG(seed, 1)), NewSamples(), targets, newTargets, latencyFactor}
}

func (f *feed) run(from, to time.Duration, newVersionLoaded bool) {
	for s := from; s < to; s += time.Second {
		for g := range f.targets {
			onNew := newVersionLoaded && g < f.newTargets
			x := f.latencyFactor(g, onNew, s) * math.Exp(f.rnd.NormFloat64()*0.35)
			d := time.Duration(x * float64(300*time.Millisecond))
			f.samples.Observe("h", start.Add(s), CellKey{RouteKey{"GET /x", false}, onNew, uint8(g)}, Answered, d, d/10)
		}
	}
}

func (f *feed) verdict(at time.Duration) Verdict {
	return Evaluate(f.samples, start.Add(at), Config{Targets: f.targets, Duration: 2 * time.Hour})
}

// Guards against an hour of good samples that averages away a fault which begins
// later.
func TestLateFaultIsSeenAfterAnHourOfGoodAnswers(t *testing.T) {
	f := newFeed(12, 4, func(_ int, onNew bool, at time.Duration) float64 {
		if onNew && at >= 70*time.Minute {
			return 2
		}
		return 1
	})
	f.run(0, 10*time.Minute, false)
	f.run(10*time.Minute, 70*time.Minute, true)
	if v := f.verdict(70 * time.Minute); v.Bad || v.Suspect || !v.Sufficient {
		t.Fatalf("a good version is not cleared after an hour: %+v", v)
	}
	f.run(70*time.Minute, 71*time.Minute, true)
	if v := f.verdict(71 * time.Minute); !v.Bad {
		t.Fatalf("a version slow for a minute at 4 requests/s is not found bad: %+v", v)
	}
}

// Guards against a good version found bad or suspect because all targets, or
// targets of both versions, are slow.
func TestSlowdownElsewhereIsNotBlamed(t *testing.T) {
	after := func(at time.Duration, x float64) float64 {
		if at < 15*time.Minute {
			return 1
		}
		return x
	}
	for name, slow := range map[string]func(int, bool, time.Duration) float64{
		"all targets":               func(_ int, _ bool, at time.Duration) float64 { return after(at, 3) },
		"one new, three old":        func(g int, _ bool, at time.Duration) float64 { return after(at, 1+2*b2f(g%3 == 0)) },
		"slow hardware from always": func(g int, _ bool, _ time.Duration) float64 { return 1 + b2f(g < 4) },
	} {
		f := newFeed(12, 4, slow)
		f.run(0, 10*time.Minute, false)
		f.run(10*time.Minute, 30*time.Minute, true)
		if v := f.verdict(30 * time.Minute); v.Bad || v.Suspect {
			t.Errorf("%s: good version found bad or suspect: %s", name, v.Reason())
		}
	}
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Guards against a false positive rate above the configured one when targets slow
// down independently of their version. In each of 4000 moves, a random third of
// the targets is slow: none, some or all of the four new ones among them.
func TestErrorRateUnderRandomSlowTargets(t *testing.T) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	const runs, targets, newTargets = 4000, 12, 4
	foundBad := 0
	for range runs {
		slow := rnd.Perm(targets)[:targets/3]
		var oldRatios, newRatios []float64
		for g := range targets {
			ratio := 1e-4
			for _, s := range slow {
				if s == g {
					ratio = 1e6
				}
			}
			if g < newTargets {
				newRatios = append(newRatios, ratio)
			} else {
				oldRatios = append(oldRatios, ratio)
			}
		}
		if logRatio, _ := combineGroups(newRatios, oldRatios, math.Log(60)); logRatio >= (Config{Targets: targets}).Threshold() {
			foundBad++
		}
	}
	// In 1 of 495 draws the four slow targets are exactly the new ones, which
	// cannot be distinguished from a slow version. 4000 draws give 8.1 such cases on
	// average; 20 is exceeded with probability 1e-4.
	t.Logf("seed %d: %d of %d good versions found bad", seed, foundBad, runs)
	if foundBad > 20 {
		t.Errorf("%d of %d good versions found bad, want at most 20", foundBad, runs)
	}
}

// Guards against sums that depend on the order, number or loss of repeated
// digests of the same window.
func TestDigestsMergeInAnyOrder(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 60
	props := gopter.NewProperties(p)
	props.Property("same sums", prop.ForAll(func(order []int) bool {
		a, b := NewSamples(), NewSamples()
		f := newFeed(4, 2, func(int, bool, time.Duration) float64 { return 1 })
		var states []Window
		for i := range 3 {
			f.run(time.Duration(i)*3*time.Second, time.Duration(i+1)*3*time.Second, true)
			w, err := DecodeWindow(EncodeWindow(f.samples.OpenWindow("h", WindowNumber(start))))
			if err != nil {
				return false
			}
			states = append(states, w)
		}
		now := start.Add(10 * time.Second)
		a.MergeWindow("h", WindowNumber(start), states[2], now)
		for _, i := range order {
			b.MergeWindow("h", WindowNumber(start), states[i], now)
		}
		b.MergeWindow("h", WindowNumber(start), states[2], now)
		return reflect.DeepEqual(a.sumsOver(now, Lookbacks[0]).recent, b.sumsOver(now, Lookbacks[0]).recent)
	}, gen.SliceOf(gen.IntRange(0, 2))))
	props.TestingRun(t)
}

// Guards against a panic on a peer's malformed digest, and against an error that
// still returns a window.
func TestUnpackSurvivesAnyBytes(t *testing.T) {
	err := quick.Check(func(b []byte) bool {
		w, err := DecodeWindow([]RouteDigest{{Route: "r", Cells: b}})
		return (w == nil) == (err != nil)
	}, &quick.Config{MaxCount: 3000, Rand: oldrand.New(oldrand.NewSource(seed))})
	if err != nil {
		t.Error(err)
	}
}

// Guards against growth of the digest. A cell takes about 10 bytes, so a route
// on 12 targets takes about 100 bytes per window.
func TestDigestSize(t *testing.T) {
	f := newFeed(12, 4, func(int, bool, time.Duration) float64 { return 1 })
	f.run(0, 8*time.Second, true)
	routes := EncodeWindow(f.samples.OpenWindow("h", WindowNumber(start)))
	t.Logf("12 cells of 8 requests: %d bytes", len(routes[0].Cells))
	if n := len(routes[0].Cells); n > 12*11 {
		t.Errorf("%d bytes for 12 cells, want at most 132", n)
	}
}

// Guards against pool sizes at which a bad version can never be detected because
// its targets cannot reach the threshold, or at which the old targets are
// overloaded.
func TestThresholdIsWithinReach(t *testing.T) {
	for n := 2; n <= 300; n++ {
		c := Config{Targets: n}
		m := c.MinNewTargets()
		if best := attainableLogRatio(min(m, GroupCount), min(GroupCount, n-m)); best < c.Threshold() {
			t.Errorf("%d targets: threshold %.1f, but %d new targets reach only %.1f", n, c.Threshold(), m, best)
		}
		if old := (1 - detectionShare) * float64(n) / float64(n-m); n > 3 && old > maxOldTargetLoad {
			t.Errorf("%d targets: the old ones carry %.2f times their load before the move", n, old)
		}
		if n <= 20 {
			t.Logf("%d targets: %d new targets needed, threshold %.0f to 1", n, m, math.Exp(c.Threshold()))
		}
	}
}

// Guards against a comparison without groups that returns the cached result of the one with groups:
// failures that are spread over many targets, with few requests each, were then not found.
func TestUngroupedComparisonFindsFailuresSpreadOverTargets(t *testing.T) {
	const targets, requests = 12, 3 // of each version, and requests of each target
	samples, cfg := NewSamples(), Config{Targets: 2 * targets, Duration: 10 * time.Minute}
	for g := range targets {
		for n := range requests {
			result := Answered
			if n == 0 {
				result = Failed
			}
			samples.Observe("h", start, CellKey{RouteKey{Route: "GET /x"}, true, uint8(g)}, result, 0, 0)
			samples.Observe("h", start, CellKey{RouteKey{Route: "GET /x"}, false, uint8(g)}, Answered, 0, 0)
		}
	}
	if v := Evaluate(samples, start, cfg); v.Bad {
		t.Errorf("too few requests of each target, yet the version is bad: %s", v.Reason())
	}
	cfg.Ungrouped = true
	if v := Evaluate(samples, start, cfg); !v.Bad || v.Metric != Failures {
		t.Errorf("a third of the requests fails, evidence %s", v.Reason())
	}
}
