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
	// Seed determines the workload and all delays. 0 stands for 1.
	Seed uint64
	// Deployments holds names out of fjellvarsel, lampu-kaca and target-zone;
	// empty stands for all.
	Deployments []string
	// Loads holds factors on capacity; empty stands for 0.8, 1, 1.5 and 3.
	Loads []float64
	// Span is the virtual time in which requests arrive that are counted. 0
	// stands for 20 s in the target zone and 60 s elsewhere.
	Duration time.Duration
	// Sharing is the way of sharing targets among hosts.
	Sharing pool.Sharing
	// Parallel is the number of runs at the same time. 0 stands for half of the
	// processors. It has no influence on the figures.
	MaxParallel int
}

var deployments = []*deployment{fjellvarsel, lampuKaca, targetZone}

// defaults fills the zero fields.
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
		return o, fmt.Errorf("span %v must exceed the warm-up of %v", o.Duration, warmUp)
	}
	for _, l := range o.Loads {
		if !(l > 0) {
			return o, fmt.Errorf("load %v must be positive", l)
		}
	}
	return o, nil
}

// scenarios returns the conditions that the options select: each load with and
// without slow targets, and for each deployment one run with a crash. Fairness
// needs long queues, so that Lampu Kaca has a run of its own for it.
func (o Options) scenarios() []*scenario {
	var all []*scenario
	for _, d := range deployments {
		if len(o.Deployments) > 0 && !slices.Contains(o.Deployments, d.name) {
			continue
		}
		base := scenario{d: d, seed: o.Seed, load: 1, onlyTier: -1, duration: o.Duration}
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

// fairScenario overloads Lampu Kaca with interactive requests alone for long
// enough that organisations wait together.
func fairnessScenario(seed uint64) *scenario {
	return &scenario{d: lampuKaca, seed: seed, load: 3, onlyTier: int(request.Interactive), duration: 2 * time.Minute}
}

// String returns the name of the scenario in tables and tests.
func (s *scenario) String() string {
	name := fmt.Sprintf("%s-%g", s.d.name, s.load)
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

// compare runs all schedulers under each scenario's conditions.
func compareSchedulers(all []*scenario, sharing pool.Sharing, parallel int) []*comparison {
	type task struct {
		s     *scenario
		build func(*world) scheduler
	}
	builders := []func(*world) scheduler{newPoolSchedulerWith(sharing), newRoundRobin, newLeastInProgress, newOmniscient}
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
		out = append(out, &comparison{scenario: s, pool: r[0], roundRobin: r[1], leastInProgress: r[2], omniscient: r[3]})
	}
	return out
}

// Run measures sched/pool, round-robin and least-in-progress per host, and an
// omniscient scheduler under the same workloads, and prints one table with
// each bound met or missed. It returns an error for invalid options and when w
// fails; a missed bound is no error.
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
