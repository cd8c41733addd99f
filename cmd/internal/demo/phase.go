package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"sardinefront.dev/core/wait"
)

// settleTimeout is how long requests may continue after the last arrival.
const settleTimeout = 6 * time.Second

// scheduler sends the jobs of the load to targets. targetRequestID returns the request id that
// targets see for a job; run sends job number n and returns its result.
type scheduler interface {
	name() string
	targetRequestID(j *job) string
	run(ctx context.Context, n int, j *job) result
}

func sortJobs(jobs []job) {
	slices.SortStableFunc(jobs, func(a, b job) int { return cmp.Compare(a.arrival, b.arrival) })
}

// fault is a fault to inject at a time after the start of a phase.
type fault struct {
	at          time.Duration
	description string
	inject      func()
}

// replay sends the jobs at their arrival times, injects the faults and returns the result of each
// job. Requests still open settleTimeout after the last arrival are cancelled.
func replay(ctx context.Context, s scheduler, jobs []job, faults []fault, progress io.Writer) []result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	results := make([]result, len(jobs))
	start := time.Now()
	var wg conc.WaitGroup
	for _, f := range faults {
		wg.Go(func() {
			if wait.Sleep(ctx, f.at) {
				fmt.Fprintf(progress, "%5.1fs  %s\n", time.Since(start).Seconds(), f.description)
				f.inject()
			}
		})
	}
	for i := range jobs {
		if !wait.Sleep(ctx, time.Until(start.Add(jobs[i].arrival))) {
			break
		}
		wg.Go(func() { results[i] = s.run(ctx, i, &jobs[i]) })
	}
	timer := time.AfterFunc(time.Until(start.Add(loadDuration+settleTimeout)), func() { cancel(errPhaseEnded) })
	defer timer.Stop()
	wg.Wait()
	return results
}

// checkInvariants returns the violations of the invariants of package proof/invariant that
// callers and targets can observe.
func checkInvariants(s scheduler, jobs []job, results []result, runs map[string]int) []string {
	var found []string
	for i := range jobs {
		j, r := &jobs[i], results[i]
		n := runs[s.targetRequestID(j)]
		if n > 1 {
			found = append(found, fmt.Sprintf("I1: %s %s ran %d times", j.kind.name, j.id, n))
		}
		if r.outcome == mismatched {
			found = append(found, fmt.Sprintf("I4: %s %s received a response to another request", j.kind.name, j.id))
		}
		if r.outcome == refused && r.ran == "not-run" && n > 0 {
			found = append(found, fmt.Sprintf("I5: %s %s was refused as not run (%s) but ran", j.kind.name, j.id, r.reason))
		}
		if j.patient() && r.outcome == refused && r.reason == "not-found" {
			found = append(found, fmt.Sprintf("I10: %s %s was accepted but is no longer in the journal", j.kind.name, j.id))
		}
	}
	return found
}

// countDuplicates returns the number of jobs that ran more than once.
func countDuplicates(s scheduler, jobs []job, runs map[string]int) int {
	n := 0
	for i := range jobs {
		if runs[s.targetRequestID(&jobs[i])] > 1 {
			n++
		}
	}
	return n
}

// formatFailures returns the number of selected jobs without a timely response, by reason.
func formatFailures(jobs []job, results []result, include func(*job) bool) string {
	counts := make(map[string]int)
	for i := range jobs {
		if !include(&jobs[i]) {
			continue
		}
		switch r := results[i]; r.outcome {
		case refused:
			counts[r.reason]++
		case incomplete:
			counts["broken:"+cmp.Or(r.reason, "connection")]++
		case accepted, pending:
			counts["open"]++
		case answered:
			if !r.meetsDeadlines(jobs[i].kind) {
				counts["late"]++
			}
		}
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	return strings.Join(names, ", ")
}
