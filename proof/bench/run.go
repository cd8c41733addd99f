package bench

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/pool"
)

// Options selects what Run measures. The zero value measures everything with
// seed 1.
type Options struct {
	// Seed determines the workload and all delays. Default 1.
	Seed uint64
	// Deployments selects among fjellvarsel, lampu-kaca and target-zone. Default
	// all.
	Deployments []string
	// Loads holds the offered loads as factors on capacity. Default 0.8, 1, 1.5 and 3.
	Loads []float64
	// Duration is the virtual time at which the measured arrivals end. The first 4 s
	// are a warm-up. Default 20 s for target-zone and 60 s for the others.
	Duration time.Duration
	// Sharing is the strategy by which hosts share targets.
	Sharing pool.Sharing
	// MaxParallel is the maximum number of concurrent runs. It does not affect the
	// figures. Default half of GOMAXPROCS.
	MaxParallel int
}

var deployments = []*deployment{fjellvarsel, lampuKaca, targetZone}

// withDefaults returns the options with defaults for zero fields, or an error if
// they are invalid.
func (o Options) withDefaults() (Options, error) {
	if o.Seed == 0 {
		o.Seed = 1
	}
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.8, 1, 1.5, 3}
	}
	if o.MaxParallel <= 0 {
		o.MaxParallel = max(1, runtime.GOMAXPROCS(0)/2)
	}
	for _, name := range o.Deployments {
		if !slices.ContainsFunc(deployments, func(d *deployment) bool { return d.name == name }) {
			return o, fmt.Errorf("unknown deployment %q", name)
		}
	}
	if o.Duration != 0 && o.Duration <= warmUp {
		return o, fmt.Errorf("duration %v must exceed the warm-up of %v", o.Duration, warmUp)
	}
	for _, l := range o.Loads {
		if !(l > 0) {
			return o, fmt.Errorf("load %v must be positive", l)
		}
	}
	return o, nil
}

// scenarios returns the scenarios that the options select: for each deployment,
// each load with and without slow targets, and one run with an engine crash.
// Fairness is measured in a separate run of lampu-kaca, because it needs long
// queues.
func (o Options) scenarios() []*scenario {
	var all []*scenario
	for _, d := range deployments {
		if len(o.Deployments) > 0 && !slices.Contains(o.Deployments, d.name) {
			continue
		}
		base := scenario{deployment: d, seed: o.Seed, load: 1, onlyTier: -1, duration: o.Duration}
		if o.Duration == 0 {
			base.duration = time.Minute
			if d == targetZone {
				base.duration = 20 * time.Second
			}
		}
		for _, load := range o.Loads {
			for _, slow := range []bool{false, true} {
				s := base
				s.load, s.slowTargets = load, slow
				all = append(all, &s)
			}
		}
		crash := base
		crash.engineCrash = true
		all = append(all, &crash)
		if d == lampuKaca {
			all = append(all, fairnessScenario(o.Seed))
		}
	}
	return all
}

// fairnessScenario overloads lampu-kaca with interactive requests only, for long
// enough that several organisations have waiting requests at the same time.
func fairnessScenario(seed uint64) *scenario {
	return &scenario{
		deployment: lampuKaca, seed: seed, load: 3,
		onlyTier: int(request.Interactive), duration: 2 * time.Minute,
	}
}

// String returns the name of the scenario in tables and tests.
func (s *scenario) String() string {
	name := fmt.Sprintf("%s-%g", s.deployment.name, s.load)
	if s.slowTargets {
		name += "-slow"
	}
	if s.engineCrash {
		name += "-crash"
	}
	if s.onlyTier >= 0 {
		name += "-" + request.Tier(s.onlyTier).String()
	}
	return name
}

// compareSchedulers runs each scenario with each scheduler.
func compareSchedulers(all []*scenario, sharing pool.Sharing, parallel int) []*comparison {
	type task struct {
		s     *scenario
		build func(*world) scheduler
	}
	builders := []func(*world) scheduler{
		newPoolSchedulerWith(sharing), newRoundRobin, newLeastInProgress, newOmniscient,
	}
	var tasks []task
	for _, s := range all {
		for _, b := range builders {
			tasks = append(tasks, task{s, b})
		}
	}
	mapper := iter.Mapper[task, *result]{MaxGoroutines: parallel}
	results := mapper.Map(tasks, func(t *task) *result { return t.s.run(t.build) })
	var out []*comparison
	for i, s := range all {
		r := results[i*len(builders):]
		out = append(out, &comparison{
			scenario: s, pool: r[0], roundRobin: r[1], leastInProgress: r[2], omniscient: r[3],
		})
	}
	return out
}

// Run runs sched/pool, round-robin per host, least-in-progress per host and an
// omniscient scheduler on the same workloads and writes a table of the figures
// and bounds to w. It returns an error if the options are invalid or w fails, and
// none if a bound is missed.
func Run(w io.Writer, opts Options) error {
	o, err := opts.withDefaults()
	if err != nil {
		return err
	}
	bounds, err := Bounds()
	if err != nil {
		return err
	}
	return writeTable(w, o.Seed, compareSchedulers(o.scenarios(), o.Sharing, o.MaxParallel), bounds)
}
