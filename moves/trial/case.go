package trial

import (
	"math/rand/v2"
	"time"

	"sardinefront.dev/moves/judge"
)

// Fault is a hard fault of the new version.
type Fault struct {
	// Fail and Cut are the shares of affected requests that fail or are cut.
	FailedShare, TruncatedShare float64
	// SlowFirst and SlowBetween multiply the latencies; 1 is no fault.
	FirstTokenFactor, BetweenTokensFactor float64
	// Route is the index of the only affected route, -1 for all.
	Route     int
	UnderLoad bool
	// Step and Delay place the onset: Delay after the move reached Step.
	OnsetStep  int
	OnsetDelay time.Duration
}

func (x *Fault) apply(r *rand.Rand, ft, bt float64, res judge.Result) (float64, float64, judge.Result) {
	u := r.Float64()
	switch {
	case u < x.FailedShare:
		res = judge.Failed
	case u < x.FailedShare+x.TruncatedShare:
		res = judge.Truncated
	}
	return ft * x.FirstTokenFactor, bt * x.BetweenTokensFactor, res
}

// Broken switches parts off to show that the checks can fail.
type Ablation struct {
	NoEvaluation, NoHalts, UngroupedSamples, NoPredecessorWait bool
}

// Case is one seeded run.
type Case struct {
	Seed               uint64
	Targets, Hosts     int
	Zones              int
	RequestsPerSecond  float64 // requests per second
	Routes             []float64
	LoadTime, Deadline time.Duration
	Fault              *Fault
	ThirdSlow          bool
	ThirdSlowKind      int
	SlowZone           string
	SlowZoneFrom       time.Duration
	Fenced             bool
	EvaluationSeconds  int // seconds between two checks of a host
	Ablation           Ablation
	Disturbance        Disturbance
	DisturbanceStep    int
}

var routeMixes = [][]float64{{0.6, 0.4}, {0.5, 0.3, 0.2}, {0.45, 0.3, 0.15, 0.1}}

func baseCase(seed uint64) (Case, *rand.Rand) {
	r := rand.New(rand.NewPCG(seed, 3))
	c := Case{Seed: seed, Hosts: 6, Zones: 3, EvaluationSeconds: 5, Fenced: r.IntN(2) == 0}
	c.Targets = []int{12, 16, 20}[r.IntN(3)]
	c.RequestsPerSecond = utilisation * targetSlots * float64(c.Targets) / 2 / (firstTokenSeconds + secondsPerToken*meanTokens)
	c.Routes = routeMixes[r.IntN(len(routeMixes))]
	c.LoadTime = time.Duration(20+r.IntN(40)) * time.Second
	c.Deadline = time.Duration(50+r.IntN(45)) * time.Minute
	return c, r
}

// FaultKinds are the families of hard faults.
var FaultKinds = []string{"at once", "later", "one route", "under load"}

// BadCase returns a case whose version has a hard fault of the given family.
func BadCase(seed uint64, kind int) Case {
	c, r := baseCase(seed)
	x := &Fault{FirstTokenFactor: 1, BetweenTokensFactor: 1, Route: -1}
	switch r.IntN(5) {
	case 0:
		x.FailedShare = 0.3 + 0.7*r.Float64()
	case 1:
		x.TruncatedShare = 0.3 + 0.7*r.Float64()
	case 2:
		x.FirstTokenFactor = 2 + 2*r.Float64()
	case 3:
		x.BetweenTokensFactor = 2 + 2*r.Float64()
	default:
		x.FirstTokenFactor = 2 + r.Float64()
		x.BetweenTokensFactor = x.FirstTokenFactor
	}
	switch FaultKinds[kind] {
	case "later":
		x.OnsetStep = 2 + r.IntN(3)
		x.OnsetDelay = time.Duration(r.IntN(240)) * time.Second
		if r.IntN(3) == 0 { // an hour after the start
			x.OnsetStep, x.OnsetDelay, c.Deadline = 0, time.Hour, 150*time.Minute
		}
	case "one route":
		x.Route = r.IntN(len(c.Routes))
	case "under load":
		x.UnderLoad = true
	}
	c.Fault = x
	return c
}

// GoodKinds are the families of good versions.
var GoodKinds = []string{"plain", "third slow from the start", "third slow at once", "third slow one by one", "zone or pool slow"}

// GoodCase returns a case with a good version.
func GoodCase(seed uint64, kind int) Case {
	c, r := baseCase(seed)
	switch {
	case kind >= 1 && kind <= 3:
		c.ThirdSlow, c.ThirdSlowKind = true, kind-1
	case kind == 4:
		c.SlowZone = []string{"a", "b", "*"}[r.IntN(3)]
		c.SlowZoneFrom = time.Duration(r.Float64() * 0.6 * float64(c.Deadline))
	}
	return c
}
