// Package soak runs the entry program as separate processes, with the stand-ins of
// this repository, and injects faults from outside: signals to the processes, a
// loopback proxy on every link, misbehaving stores and servers. Faults come in series
// and overlap. While they do, callers keep their connections, and what callers and
// servers see is held against the promises of docs/platform.md. A seed names a schedule
// of faults; how the processes interleave differs from run to run.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Config describes the runs.
type Config struct {
	// Program is the path of the entry program.
	Program string
	// Hosts is the number of hosts of a world, Callers that of its callers.
	HostCount, CallerCount int
	// Faults is how long faults are injected.
	FaultDuration time.Duration
	// Parallel is the number of worlds at once.
	MaxParallel int
	// Logs is where the logs of the hosts of a failed seed are written; empty for
	// nowhere.
	LogDir string
}

const (
	// startTime is how long hosts may take to start before the faults begin.
	startTimeout = 3 * time.Second
	// settleTime is how long after the last fault all must be well again: servers
	// that left are gone, and ejected ones are on trial.
	settleTime = 7 * time.Second
	// judgedTime is how long everything must then go well.
	recoveryPeriod = 2 * time.Second
)

// Result is what one seed showed.
type Result struct {
	Seed       uint64
	Violations []Violation
	Requests   int
	Answered   int
	// Log lists the faults and the ends of processes with their times.
	Log []string
	Err error
}

// Run plays one seed.
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
	w.runActions(planFaults(seed, cfg.HostCount, cfg.FaultDuration))
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

// saveLogs writes what the last process of each host has logged.
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

// awaitReady waits until every host serves.
func (w *world) awaitReady() error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		found := w.checkConfig()
		if len(found) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not ready within %s: %v", startTimeout, found)
		}
	}
}

// play performs the actions at their times.
func (w *world) runActions(actions []action) {
	start := time.Now()
	for _, a := range actions {
		time.Sleep(time.Until(start.Add(a.offset)))
		w.logf("%s", a.description)
		a.run(w)
	}
}

// RunSeeds plays seeds from first on and prints a line for each, with the schedule and
// the violations of those that fail. The error counts the failures.
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
		return errors.New("promises were broken")
	}
	return nil
}

// write prints the result and reports whether all is well.
func (r *Result) print(out io.Writer) bool {
	if r.Err == nil && len(r.Violations) == 0 {
		fmt.Fprintf(out, "seed %d: %d requests, %d answered, no promise broken\n", r.Seed, r.Requests, r.Answered)
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
