// Package soak runs the entry program as separate processes, with the stand-ins of
// this repository, and injects faults from outside: signals to the processes, a
// loopback proxy on every link, faults of the store and the servers. Faults may repeat
// and overlap. Meanwhile callers reuse their connections, and the observations of
// callers and servers are checked against the guarantees of docs/platform.md. A seed
// determines the schedule of faults; how the processes interleave differs between runs.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Config holds the options of soak runs.
type Config struct {
	// Program is the path of the entry program.
	Program string
	// HostCount and CallerCount are the numbers of hosts and callers in each run.
	HostCount, CallerCount int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// TargetClosures makes servers leave and push back beside the faults.
	TargetClosures bool
	// StoreRestore makes the store come back from an older copy beside the faults.
	StoreRestore bool
	// MaxParallel is the number of concurrent runs; less than 1 means 1.
	MaxParallel int
	// LogDir is the directory for the logs of the hosts if a seed fails. If it is empty, no
	// logs are written.
	LogDir string
}

const (
	// startTimeout is how long hosts may take to become ready before the faults start.
	startTimeout = 3 * time.Second
	// settleTime is the time after the last fault for the effects to pass: draining
	// servers are removed, and ejected ones receive trial requests again.
	settleTime = 7 * time.Second
	// recoveryPeriod is how long after settleTime every request must be answered.
	recoveryPeriod = 2 * time.Second
)

// Result is the result of the run of one seed.
type Result struct {
	Seed       uint64
	Violations []Violation
	Requests   int
	Answered   int
	// Log lists the faults and the exits of processes with their times.
	Log []string
	Err error
}

// Run runs the schedule of one seed and checks the guarantees.
func Run(cfg Config, seed uint64) Result {
	r := Result{Seed: seed}
	w, err := newWorld(cfg, seed)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		r.Err = err
		return r
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if r.Err = w.awaitReady(); r.Err != nil {
		return r
	}
	var callers conc.WaitGroup
	for i := range cfg.CallerCount {
		callers.Go(func() { w.runCaller(ctx, i) })
	}
	if cfg.StoreRestore {
		w.store.SetEra(1)
	}
	w.runActions(plan(cfg, seed))
	w.clearFaults()
	w.logf("all faults have ended")
	time.Sleep(settleTime)
	recoveryStart := time.Now()
	time.Sleep(recoveryPeriod)
	cancel()
	callers.Wait()
	r.Violations = append(w.checkGuarantees(), w.checkRecovery(recoveryStart)...)
	r.Violations = append(r.Violations, w.checkConfig()...)
	for _, x := range w.exchanges.snapshot() {
		r.Requests++
		if x.response.Complete && x.response.Status == 200 {
			r.Answered++
		}
	}
	if len(r.Violations) > 0 && cfg.LogDir != "" {
		r.Err = w.saveLogs(cfg.LogDir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Log = w.log
	return r
}

// plan returns the schedule of a seed.
func plan(cfg Config, seed uint64) []action {
	actions := planFaults(seed, cfg.HostCount, cfg.FaultDuration)
	if cfg.TargetClosures {
		actions = append(actions, planClosures(seed, cfg.FaultDuration)...)
	}
	if cfg.StoreRestore {
		actions = append(actions, planRestore(seed, cfg.FaultDuration)...)
	}
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.offset - b.offset) })
	return actions
}

// saveLogs writes the kept log of the latest process of each host.
func (w *world) saveLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	for _, h := range w.hosts {
		name := filepath.Join(dir, fmt.Sprintf("seed-%d-%s.log", w.seed, h.name))
		text := strings.Join(h.currentProcess().output.lines(""), "\n")
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until every host serves the latest configuration.
func (w *world) awaitReady() error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		found := w.checkConfig()
		if len(found) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("hosts not ready within %s: %v", startTimeout, found)
		}
	}
}

// runActions runs the actions at their times, which must be sorted.
func (w *world) runActions(actions []action) {
	start := time.Now()
	for _, a := range actions {
		time.Sleep(time.Until(start.Add(a.offset)))
		w.logf("%s", a.description)
		a.run(w)
	}
}

// RunSeeds runs count seeds from first on. It prints a line for each, followed by the
// violations and the schedule if the seed failed, and then the number of failed seeds. It
// returns an error if any failed.
func RunSeeds(cfg Config, first uint64, count int, out io.Writer) error {
	seeds := make(chan uint64)
	var mu sync.Mutex
	failed := 0
	var wg conc.WaitGroup
	for range max(1, cfg.MaxParallel) {
		wg.Go(func() {
			for seed := range seeds {
				r := Run(cfg, seed)
				mu.Lock()
				if !r.print(out) {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for i := range count {
		seeds <- first + uint64(i)
	}
	close(seeds)
	wg.Wait()
	fmt.Fprintf(out, "%d seeds from %d on, %d failed\n", count, first, failed)
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, count)
	}
	return nil
}

// print writes the result and reports whether the seed passed.
func (r *Result) print(out io.Writer) bool {
	if r.Err == nil && len(r.Violations) == 0 {
		fmt.Fprintf(out, "seed %d: %d requests, %d answered, no violations\n", r.Seed, r.Requests, r.Answered)
		return true
	}
	fmt.Fprintf(out, "seed %d: %d requests, %d answered, FAILED %v\n", r.Seed, r.Requests, r.Answered, r.Err)
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  %s: %s\n", v.Guarantee, v.Detail)
	}
	for _, line := range r.Log {
		fmt.Fprintf(out, "  %s\n", line)
	}
	return false
}
