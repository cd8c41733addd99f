// Package demo runs both deployments at their present size in one process on
// loopback, with faults, and the same load under a round-robin baseline.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/request"
	"sardinefront.dev/standin/engine"
	"sardinefront.dev/standin/platformd"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 5 * time.Second
	killAt       = 5 * time.Second
	storeDownAt  = 7 * time.Second
	storeDownFor = 2 * time.Second
)

// ErrInvariant means that at least one invariant was broken.
var ErrInvariant = errors.New("an invariant was broken")

// report is what one scheduler made of one deployment's load.
type report struct {
	deployment string
	scheduler  scheduler
	jobs       []job
	results    []result
	runs       map[string]int
	prefilled  int64
	violations []string
	move       string
}

// Run performs the demo. logs receives the hosts' log records.
func Run(ctx context.Context, out, logs io.Writer, seed uint64) error {
	dir, remove, err := tempDir()
	if err != nil {
		return err
	}
	defer remove()
	fmt.Fprintf(out, "seed %d; both deployments at once for %s, then the same load under round-robin\n", seed, loadFor)
	own, err := runAll(func(d *deployment, n int) (*report, error) { return runFleet(ctx, d, seed+uint64(n), dir, out, logs) })
	if err != nil {
		return err
	}
	base, err := runAll(func(d *deployment, n int) (*report, error) { return runBaseline(ctx, d, seed+uint64(n)) })
	if err != nil {
		return err
	}
	writeTable(out, own, base)
	for _, r := range own {
		fmt.Fprintf(out, "%s: version move: %s\n", r.deployment, r.move)
	}
	broken := 0
	for _, r := range own {
		for _, v := range r.violations {
			fmt.Fprintf(out, "%s: %s\n", r.deployment, v)
		}
		broken += len(r.violations)
	}
	fmt.Fprintf(out, "invariants broken: %d\n", broken)
	if broken > 0 {
		return ErrInvariant
	}
	return nil
}

// runAll runs every deployment at once.
func runAll(run func(*deployment, int) (*report, error)) ([]*report, error) {
	all := deployments()
	reports := make([]*report, len(all))
	errs := make([]error, len(all))
	var wg conc.WaitGroup
	for i := range all {
		wg.Go(func() { reports[i], errs[i] = run(&all[i], i) })
	}
	wg.Wait()
	return reports, errors.Join(errs...)
}

func runFleet(ctx context.Context, d *deployment, seed uint64, dir string, out, logs io.Writer) (*report, error) {
	targets, err := startTargets(d)
	defer targets.close()
	if err != nil {
		return nil, err
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	hosts, err := startHosts(starting, d, targets, dir, logs)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.name, err)
	}
	jobs := makeLoad(d, seed)
	s := &fleetCaller{hosts: hosts, client: newClient()}
	r := &report{deployment: d.name, scheduler: s, jobs: jobs}
	move := &badMove{engines: targets.engines[:d.onNewVersion()], hosts: hosts, to: d.newVersion(), last: make(map[*engine.Server]int)}
	started := time.Now()
	watching, stopWatching := context.WithCancel(ctx)
	var watch conc.WaitGroup
	watch.Go(func() { move.watch(watching) })
	r.results = replay(ctx, s, jobs, faults(d, hosts), out)
	stopWatching()
	watch.Wait()
	stopping, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	hosts.close(stopping)
	r.runs, r.prefilled = targets.runs(), targets.prefilled()
	r.violations = append(violations(s, jobs, r.results, r.runs), move.violations(targets.engineRuns())...)
	r.move = move.summary(started, targets.engineRuns())
	return r, nil
}

func faults(d *deployment, hosts *hostSet) []fault {
	return []fault{
		{burstFrom, d.name + ": urgent calls come " + fmt.Sprint(burstFactor) + " times as often for " + burstFor.String(), func() {}},
		{killAt, d.name + ": an entry host is killed", func() { hosts.kill(1) }},
		{storeDownAt, d.name + ": the store is down for " + storeDownFor.String(), func() { hosts.platform.SetFaults(platformd.Faults{Unavailable: true}) }},
		{storeDownAt + storeDownFor, d.name + ": the store is back", func() { hosts.platform.SetFaults(platformd.Faults{}) }},
	}
}

func runBaseline(ctx context.Context, d *deployment, seed uint64) (*report, error) {
	targets, err := startTargets(d)
	defer targets.close()
	if err != nil {
		return nil, err
	}
	jobs := makeLoad(d, seed)
	s := &roundRobin{targets: targets, client: newClient()}
	r := &report{deployment: d.name, scheduler: s, jobs: jobs}
	r.results = replay(ctx, s, jobs, nil, io.Discard)
	r.runs, r.prefilled = targets.runs(), targets.prefilled()
	return r, nil
}

func writeTable(out io.Writer, own, base []*report) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\ndeployment\tscheduler\ttier\toffered\tgood\tshare\tnot good, by reason")
	for i := range own {
		for _, r := range []*report{own[i], base[i]} {
			writeTiers(w, r)
		}
	}
	fmt.Fprintln(w, "\ndeployment\tscheduler\tprefill tokens\twasted\tduplicates")
	for i := range own {
		for _, r := range []*report{own[i], base[i]} {
			least := leastPrefill(r.jobs, func(n int) bool { return r.results[n].good(r.jobs[n].kind) })
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", r.deployment, r.scheduler.name(), r.prefilled, max(0, r.prefilled-least), duplicates(r.scheduler, r.jobs, r.runs))
		}
	}
	_ = w.Flush()
}

func writeTiers(w io.Writer, r *report) {
	for t := request.Tier(0); t < request.TierCount; t++ {
		in := func(j *job) bool { return j.kind.tier == t }
		offered, good := 0, 0
		for i := range r.jobs {
			if !in(&r.jobs[i]) {
				continue
			}
			offered++
			if r.results[i].good(r.jobs[i].kind) {
				good++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f%%\t%s\n", r.deployment, r.scheduler.name(), t, offered, good,
			100*float64(good)/float64(max(1, offered)), refusalsOf(r.jobs, r.results, in))
	}
}
