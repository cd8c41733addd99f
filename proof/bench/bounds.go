package bench

import (
	_ "embed"
	"fmt"
	"math"

	"github.com/goccy/go-yaml"
	"sardinefront.dev/core/request"
)

//go:embed bounds.yaml
var boundsFile []byte

// Bound limits one figure of the scheduler under test. Exactly one of Min and
// Max is set.
type Bound struct {
	Name   string   `yaml:"name"`
	Source string   `yaml:"source"` // the requirement that sets the bound
	Figure string   `yaml:"figure"` // name of an entry of figures
	Min    *float64 `yaml:"min"`
	Max    *float64 `yaml:"max"`
}

// Bounds returns the bounds of bounds.yaml, or an error if one is invalid.
func Bounds() ([]Bound, error) {
	var bounds []Bound
	if err := yaml.UnmarshalWithOptions(boundsFile, &bounds, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("bounds.yaml: %w", err)
	}
	for _, b := range bounds {
		if (b.Min == nil) == (b.Max == nil) || b.Source == "" || figureNamed(b.Figure) == nil {
			return nil, fmt.Errorf("bounds.yaml: %s needs a source, a known figure and either min or max", b.Name)
		}
	}
	return bounds, nil
}

// met reports whether the value v of the figure meets the bound. NaN, which
// means that the figure does not apply to the run, meets every bound.
func (b *Bound) met(v float64) bool {
	switch {
	case math.IsNaN(v):
		return true
	case b.Min != nil:
		return v >= *b.Min
	default:
		return v <= *b.Max
	}
}

func (b *Bound) String() string {
	if b.Min != nil {
		return fmt.Sprintf("at least %g", *b.Min)
	}
	return fmt.Sprintf("at most %g", *b.Max)
}

// figure is one row of the table. value returns NaN if the figure does not apply
// to the run.
type figure struct {
	name  string
	value func(r *result, c *comparison) float64
}

// comparison holds the results of all schedulers under the same conditions.
type comparison struct {
	scenario                                      *scenario
	pool, roundRobin, leastInProgress, omniscient *result
}

// ratio returns a / b, with 0 / 0 defined as 1.
func ratio(a, b float64) float64 {
	if b == 0 {
		if a == 0 {
			return 1
		}
		return math.Inf(1)
	}
	return a / b
}

var figures = []figure{
	{"inversions", func(r *result, _ *comparison) float64 { return float64(r.Inversions) }},
	{"overtaken", func(r *result, _ *comparison) float64 { return float64(r.Overtaken) }},
	{"urgent goodput", func(r *result, c *comparison) float64 {
		if !c.scenario.urgentLoadFits() {
			return math.NaN()
		}
		return r.Tiers[request.Urgent].goodput()
	}},
	{"interactive goodput", func(r *result, _ *comparison) float64 {
		return r.Tiers[request.Interactive].goodput()
	}},
	{"patient goodput", func(r *result, _ *comparison) float64 {
		return r.Tiers[request.Patient].goodput()
	}},
	{"service goodput", func(r *result, c *comparison) float64 {
		if c.scenario.deployment.services == 0 {
			return math.NaN()
		}
		return r.Service.goodput()
	}},
	{"total goodput /s", func(r *result, _ *comparison) float64 { return r.GoodRate }},
	{"good tokens /s", func(r *result, _ *comparison) float64 { return r.TokenRate }},
	{"total goodput / omniscient", func(r *result, c *comparison) float64 {
		return ratio(r.GoodRate, c.omniscient.GoodRate)
	}},
	{"unfairness", func(r *result, _ *comparison) float64 {
		if r.Fairness.Intervals == 0 {
			return math.NaN()
		}
		return r.Fairness.MaxDifference
	}},
	{"wasted prefill / answer", func(r *result, _ *comparison) float64 { return r.wastedPerAnswer() }},
	{"  held elsewhere", wastePerAnswer(wasteCachedElsewhere)},
	{"  cancelled", wastePerAnswer(wasteCancelled)},
	{"  refused after start", wastePerAnswer(wasteRefused)},
	{"  lost with target", wastePerAnswer(wasteLost)},
	{"wasted prefill / omniscient", func(r *result, c *comparison) float64 {
		return ratio(r.wastedPerAnswer(), c.omniscient.wastedPerAnswer())
	}},
	{"wasted prefill / least", func(r *result, c *comparison) float64 {
		return ratio(r.wastedPerAnswer(), c.leastInProgress.wastedPerAnswer())
	}},
	{"peer bytes/s", func(r *result, _ *comparison) float64 { return r.MaxPeerBytesPerSecond }},
	{"dispatches per request", func(r *result, _ *comparison) float64 { return float64(r.MaxDispatches) }},
	{"first token p95 ms", func(r *result, _ *comparison) float64 {
		return float64(r.FirstTokenP95.Microseconds()) / 1000
	}},
	{"late first tokens", func(r *result, _ *comparison) float64 {
		return float64(r.Tiers[request.Urgent].LateFirst + r.Tiers[request.Interactive].LateFirst)
	}},
	{"  after waiting at the host", func(r *result, _ *comparison) float64 {
		return float64(r.Tiers[request.Urgent].LateAtHost + r.Tiers[request.Interactive].LateAtHost)
	}},
	{"token gap p95 ms", func(r *result, _ *comparison) float64 {
		return float64(r.TokenGapP95.Microseconds()) / 1000
	}},
}

func wastePerAnswer(c wasteCause) func(*result, *comparison) float64 {
	return func(r *result, _ *comparison) float64 {
		return float64(r.Waste[c]) / float64(max(1, r.Answers))
	}
}

func figureNamed(name string) *figure {
	for i := range figures {
		if figures[i].name == name {
			return &figures[i]
		}
	}
	return nil
}

// urgentLoadFits reports whether the urgent load alone, bursts included, fits
// the capacity of the targets that meet the objectives. It is false for runs
// with an engine crash, which loses requests whatever the scheduler does.
func (s *scenario) urgentLoadFits() bool {
	if s.onlyTier >= 0 || s.engineCrash {
		return false
	}
	rate := s.load * s.deployment.capacity(enginePool, -1) * tierShapes[request.Urgent].fraction * burstFactor
	capacity := s.deployment.capacity(enginePool, int(request.Urgent))
	if s.slowTargets {
		capacity *= 2.0 / 3
	}
	return rate <= capacity
}
