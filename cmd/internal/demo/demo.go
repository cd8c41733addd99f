// Package demo runs both example deployments at their full size in one process on loopback,
// under injected faults, and repeats the load without faults under a round-robin baseline.
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
	startTimeout        = 10 * time.Second
	stopTimeout         = 5 * time.Second
	hostKillAt          = 5 * time.Second
	storeOutageAt       = 7 * time.Second
	storeOutageDuration = 2 * time.Second
)

// ErrInvariant is returned by Run if at least one invariant was violated.
var ErrInvariant = errors.New("at least one invariant was violated")

// report holds the results of one deployment's load under one scheduler. runsByID is how often
// each request ran, by the id that targets see.
type report struct {
	deployment      string
	scheduler       scheduler
	jobs            []job
	results         []result
	runsByID        map[string]int
	prefilledTokens int64
	violations      []string
	moveSummary     string
}

// Run runs the demo and writes its results to out. logs receives the hosts' log records. It
// returns ErrInvariant if an invariant was violated.
func Run(ctx context.Context, out, logs io.Writer, seed uint64) error {
	dir, remove, err := tempDir()
	if err != nil {
		return err
	}
	defer remove()
	fmt.Fprintf(out, "seed %d: running both deployments at once for %s, then the same load under round-robin\n", seed, loadDuration)
	fleet, err := runDeployments(func(d *deployment, n int) (*report, error) { return runFleet(ctx, d, seed+uint64(n), dir, out, logs) })
	if err != nil {
		return err
	}
	baseline, err := runDeployments(func(d *deployment, n int) (*report, error) { return runBaseline(ctx, d, seed+uint64(n)) })
	if err != nil {
		return err
	}
	writeTable(out, fleet, baseline)
	for _, r := range fleet {
		fmt.Fprintf(out, "%s: version move: %s\n", r.deployment, r.moveSummary)
	}
	violations := 0
	for _, r := range fleet {
		for _, v := range r.violations {
			fmt.Fprintf(out, "%s: %s\n", r.deployment, v)
		}
		violations += len(r.violations)
	}
	fmt.Fprintf(out, "invariant violations: %d\n", violations)
	if violations > 0 {
		return ErrInvariant
	}
	return nil
}

// runDeployments runs all deployments concurrently.
func runDeployments(run func(*deployment, int) (*report, error)) ([]*report, error) {
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
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	hosts, err := startHosts(startCtx, d, targets, dir, logs)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.name, err)
	}
	jobs := generateLoad(d, seed)
	s := &fleetCaller{hosts: hosts, client: newClient()}
	r := &report{deployment: d.name, scheduler: s, jobs: jobs}
	move := &moveMonitor{engines: targets.engines[:d.newVersionEngines()], hosts: hosts, newVersion: d.newVersion(), lastRuns: make(map[*engine.Server]int)}
	started := time.Now()
	watchCtx, stopWatching := context.WithCancel(ctx)
	var watch conc.WaitGroup
	watch.Go(func() { move.watch(watchCtx) })
	r.results = replay(ctx, s, jobs, faults(d, hosts), out)
	stopWatching()
	watch.Wait()
	stopCtx, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	hosts.close(stopCtx)
	r.runsByID, r.prefilledTokens = targets.runsByID(), targets.prefilledTokens()
	r.violations = append(checkInvariants(s, jobs, r.results, r.runsByID), move.violations(targets.engineRuns())...)
	r.moveSummary = move.summary(started, targets.engineRuns())
	return r, nil
}

func faults(d *deployment, hosts *hostSet) []fault {
	return []fault{
		{burstStart, d.name + ": the rate of urgent calls is " + fmt.Sprint(burstFactor) + " times as high for " + burstDuration.String(), func() {}},
		{hostKillAt, d.name + ": an entry host is killed", func() { hosts.kill(1) }},
		{storeOutageAt, d.name + ": the store is down for " + storeOutageDuration.String(), func() { hosts.platform.SetFaults(platformd.Faults{Unavailable: true}) }},
		{storeOutageAt + storeOutageDuration, d.name + ": the store is up again", func() { hosts.platform.SetFaults(platformd.Faults{}) }},
	}
}

func runBaseline(ctx context.Context, d *deployment, seed uint64) (*report, error) {
	targets, err := startTargets(d)
	defer targets.close()
	if err != nil {
		return nil, err
	}
	jobs := generateLoad(d, seed)
	s := &roundRobin{targets: targets, client: newClient()}
	r := &report{deployment: d.name, scheduler: s, jobs: jobs}
	r.results = replay(ctx, s, jobs, nil, io.Discard)
	r.runsByID, r.prefilledTokens = targets.runsByID(), targets.prefilledTokens()
	return r, nil
}

func writeTable(out io.Writer, fleet, baseline []*report) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\ndeployment\tscheduler\ttier\toffered\tgood\tshare\tnot good, by reason")
	for i := range fleet {
		for _, r := range []*report{fleet[i], baseline[i]} {
			writeTiers(w, r)
		}
	}
	fmt.Fprintln(w, "\ndeployment\tscheduler\tprefill tokens\twasted\tduplicates")
	for i := range fleet {
		for _, r := range []*report{fleet[i], baseline[i]} {
			needed := minPrefillTokens(r.jobs, func(n int) bool { return r.results[n].meetsDeadlines(r.jobs[n].kind) })
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", r.deployment, r.scheduler.name(), r.prefilledTokens, max(0, r.prefilledTokens-needed), countDuplicates(r.scheduler, r.jobs, r.runsByID))
		}
	}
	_ = w.Flush()
}

func writeTiers(w io.Writer, r *report) {
	for t := request.Tier(0); t < request.TierCount; t++ {
		inTier := func(j *job) bool { return j.kind.tier == t }
		offered, good := 0, 0
		for i := range r.jobs {
			if !inTier(&r.jobs[i]) {
				continue
			}
			offered++
			if r.results[i].meetsDeadlines(r.jobs[i].kind) {
				good++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f%%\t%s\n", r.deployment, r.scheduler.name(), t, offered, good,
			100*float64(good)/float64(max(1, offered)), formatFailures(r.jobs, r.results, inTier))
	}
}
