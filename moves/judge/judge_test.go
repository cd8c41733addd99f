package judge

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

// feed adds requests at one request per target and second; slow returns the
// latency factor of a target.
type feed struct {
	rnd     *rand.Rand
	e       *Samples
	targets int
	fresh   int // targets on the new version, the first ones
	slow    func(target int, fresh bool, at time.Duration) float64
}

func newFeed(targets, fresh int, slow func(int, bool, time.Duration) float64) *feed {
	return &feed{rand.New(rand.NewPCG(seed, 1)), NewSamples(), targets, fresh, slow}
}

func (f *feed) run(from, to time.Duration, loaded bool) {
	for s := from; s < to; s += time.Second {
		for g := range f.targets {
			fresh := loaded && g < f.fresh
			x := f.slow(g, fresh, s) * math.Exp(f.rnd.NormFloat64()*0.35)
			d := time.Duration(x * float64(300*time.Millisecond))
			f.e.Observe("h", start.Add(s), CellKey{RouteKey{"GET /x", false}, fresh, uint8(g)}, Answered, d, d/10)
		}
	}
}

func (f *feed) verdict(at time.Duration) Verdict {
	return Evaluate(f.e, start.Add(at), Config{Targets: f.targets, Duration: 2 * time.Hour})
}

// Guards against an old good record that hides a fault which begins later.
func TestLateFaultIsSeenAfterAnHourOfGoodAnswers(t *testing.T) {
	f := newFeed(12, 4, func(_ int, fresh bool, at time.Duration) float64 {
		if fresh && at >= 70*time.Minute {
			return 2
		}
		return 1
	})
	f.run(0, 10*time.Minute, false)
	f.run(10*time.Minute, 70*time.Minute, true)
	if v := f.verdict(70 * time.Minute); v.Bad || v.Suspect || !v.Sufficient {
		t.Fatalf("good version: %+v", v)
	}
	f.run(70*time.Minute, 71*time.Minute, true)
	if v := f.verdict(71 * time.Minute); !v.Bad {
		t.Fatalf("slow for a minute at 4 requests/s: %+v", v)
	}
}

// Guards against blaming the version for a slowdown that it does not cause.
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
			t.Errorf("%s: %s", name, v.Reason())
		}
	}
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Guards against a false alarm rate above the design's over many independent
// moves, where three of nine old and none, some or most new targets slow down.
func TestErrorRateUnderRandomSlowTargets(t *testing.T) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	const runs, targets, fresh = 4000, 12, 4
	blamed := 0
	for range runs {
		slow := rnd.Perm(targets)[:targets/3]
		var old, news []float64
		for g := range targets {
			e := 1e-4
			for _, s := range slow {
				if s == g {
					e = 1e6
				}
			}
			if g < fresh {
				news = append(news, e)
			} else {
				old = append(old, e)
			}
		}
		if l, _ := combine(news, old, math.Log(60)); l >= (Config{Targets: targets}).Threshold() {
			blamed++
		}
	}
	// All four slow targets are new ones in 1 of 495 draws, and then no method
	// without further information can tell. 4000 draws give 8.1 on average; 20
	// is exceeded with probability 1e-4.
	t.Logf("seed %d: %d of %d blamed", seed, blamed, runs)
	if blamed > 20 {
		t.Errorf("%d of %d good versions blamed", blamed, runs)
	}
}

// Guards against evidence that depends on the order, number or loss of repeated
// digests.
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
			w, err := DecodeWindow(EncodeWindow(f.e.OpenWindow("h", WindowNumber(start))))
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
		return reflect.DeepEqual(a.over(now, Lookbacks[0]).recent, b.over(now, Lookbacks[0]).recent)
	}, gen.SliceOf(gen.IntRange(0, 2))))
	props.TestingRun(t)
}

// Guards against a peer's malformed digest that crashes the host.
func TestUnpackSurvivesAnyBytes(t *testing.T) {
	err := quick.Check(func(b []byte) bool {
		w, err := DecodeWindow([]RouteDigest{{Route: "r", Cells: b}})
		return (w == nil) == (err != nil)
	}, &quick.Config{MaxCount: 3000, Rand: oldrand.New(oldrand.NewSource(seed))})
	if err != nil {
		t.Error(err)
	}
}

// Guards against growth of the digest: about 10 bytes for each cell, so that a
// route of 12 targets stays near 100 bytes a window.
func TestDigestSize(t *testing.T) {
	f := newFeed(12, 4, func(int, bool, time.Duration) float64 { return 1 })
	f.run(0, 8*time.Second, true)
	routes := EncodeWindow(f.e.OpenWindow("h", WindowNumber(start)))
	t.Logf("12 cells of 8 requests: %d bytes", len(routes[0].Cells))
	if n := len(routes[0].Cells); n > 12*11 {
		t.Errorf("%d bytes for 12 cells", n)
	}
}

// Guards against a pool in which a bad version can never be taken back because
// the threshold is out of reach.
func TestThresholdIsWithinReach(t *testing.T) {
	for n := 2; n <= 300; n++ {
		c := Config{Targets: n}
		m := c.MinNewTargets()
		if best := strongest(min(m, GroupCount), min(GroupCount, n-m)); best < c.Threshold() {
			t.Errorf("%d targets: threshold %.1f, %d of them show %.1f", n, c.Threshold(), m, best)
		}
		if old := (1 - smallShare) * float64(n) / float64(n-m); n > 3 && old > relief {
			t.Errorf("%d targets: the old ones carry %.2f times their load", n, old)
		}
		if n <= 20 {
			t.Logf("%d targets: needs %d, threshold %.0f to 1", n, m, math.Exp(c.Threshold()))
		}
	}
}
