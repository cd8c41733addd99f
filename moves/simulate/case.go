package simulate

import (
	"math/rand/v2"
	"time"

	"sardinefront.dev/moves/analysis"
)

// Fault is a hard fault of the new version.
type Fault struct {
	// FailedShare and TruncatedShare are the shares of the affected requests
	// that fail or are truncated, 0 to 1.
	FailedShare, TruncatedShare float64
	// FirstTokenFactor and BetweenTokensFactor multiply the latencies; 1 means
	// no fault.
	FirstTokenFactor, BetweenTokensFactor float64
	// Route is the index of the only affected route, or -1 for all routes.
	Route int
	// UnderLoad limits the fault to targets with at least 0.7 of the mean load.
	UnderLoad bool
	// The fault begins OnsetDelay after the move has entered OnsetStep.
	OnsetStep  int
	OnsetDelay time.Duration
}

func (x *Fault) apply(r *rand.Rand, firstToken, betweenTokens float64, result analysis.Result) (float64, float64, analysis.Result) {
	u := r.Float64()
	switch {
	case u < x.FailedShare:
		result = analysis.Failed
	case u < x.FailedShare+x.TruncatedShare:
		result = analysis.Truncated
	}
	return firstToken * x.FirstTokenFactor, betweenTokens * x.BetweenTokensFactor, result
}

// Ablation disables single mechanisms of a rollout, to show that the checks of a run
// fail without them.
type Ablation struct {
	NoEvaluation, NoHalts, UngroupedSamples, NoPredecessorWait bool
}

// Case describes one run. Its random numbers depend on Seed only.
type Case struct {
	Seed               uint64
	Targets, Hosts     int
	Zones              int
	RequestsPerSecond  float64
	Routes             []float64
	LoadTime, Deadline time.Duration
	Fault              *Fault
	ThirdSlow          bool   // a third of the targets is slow by itself
	ThirdSlowKind      int    // see fleet.slowTargets
	SlowZone           string // slow for 10 min from SlowZoneFrom; "*" means the whole pool
	SlowZoneFrom       time.Duration
	Fenced             bool
	EvaluationSeconds  int // seconds between two evaluations on a host
	Ablation           Ablation
	Disturbance        Disturbance
	DisturbanceStep    int
}

var routeMixes = [][]float64{{0.6, 0.4}, {0.5, 0.3, 0.2}, {0.45, 0.3, 0.15, 0.1}}

// baseCase returns a case with random sizes, rate and deadline, without faults.
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

// FaultKinds names the families of hard faults.
var FaultKinds = []string{"at once", "later", "one route", "under load"}

// BadCase returns a case whose version has a hard fault of the given family.
func BadCase(seed uint64, kind int) Case {
	c, r := baseCase(seed)
	fault := &Fault{FirstTokenFactor: 1, BetweenTokensFactor: 1, Route: -1}
	switch r.IntN(5) {
	case 0:
		fault.FailedShare = 0.3 + 0.7*r.Float64()
	case 1:
		fault.TruncatedShare = 0.3 + 0.7*r.Float64()
	case 2:
		fault.FirstTokenFactor = 2 + 2*r.Float64()
	case 3:
		fault.BetweenTokensFactor = 2 + 2*r.Float64()
	default:
		fault.FirstTokenFactor = 2 + r.Float64()
		fault.BetweenTokensFactor = fault.FirstTokenFactor
	}
	switch FaultKinds[kind] {
	case "later":
		fault.OnsetStep = 2 + r.IntN(3)
		fault.OnsetDelay = time.Duration(r.IntN(240)) * time.Second
		if r.IntN(3) == 0 { // an hour after the start of the move
			fault.OnsetStep, fault.OnsetDelay, c.Deadline = 0, time.Hour, 150*time.Minute
		}
	case "one route":
		fault.Route = r.IntN(len(c.Routes))
	case "under load":
		fault.UnderLoad = true
	}
	c.Fault = fault
	return c
}

// GoodKinds names the families of good versions.
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
