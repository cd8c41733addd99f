package simulate

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"sardinefront.dev/moves/control"
)

// Summary holds the cases and results of one family.
type Summary struct {
	Name string
	// Bad means that the new version has a hard fault in every case.
	Bad   bool
	Runs  []Result
	Cases []Case
}

// newFamily returns a family of n cases, not run yet.
func newFamily(name string, n int, build func(uint64) Case) *Summary {
	s := &Summary{Name: name}
	for i := range n {
		s.Cases = append(s.Cases, build(uint64(i)))
	}
	s.Runs = make([]Result, n)
	s.Bad = n > 0 && s.Cases[0].Fault != nil
	return s
}

// runAll runs the cases of the families on half of the processors.
func runAll(all []*Summary) {
	var wg sync.WaitGroup
	slot := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for _, s := range all {
		for i := range s.Cases {
			wg.Add(1)
			slot <- struct{}{}
			go func() {
				defer wg.Done()
				s.Runs[i] = newFleet(s.Cases[i]).run()
				<-slot
			}()
		}
	}
	wg.Wait()
}

// Families returns the families of bad and good versions, with a total of seeds
// bad and seeds good cases. adapt may change each case.
func Families(seeds int, adapt func(Case) Case) []*Summary {
	var all []*Summary
	for k, name := range FaultKinds {
		n := seeds / len(FaultKinds)
		all = append(all, newFamily("fault "+name, n, func(i uint64) Case { return adapt(BadCase(1000*uint64(k+1)+i, k)) }))
	}
	for k, name := range GoodKinds {
		n := seeds / len(GoodKinds)
		all = append(all, newFamily("good, "+name, n, func(i uint64) Case { return adapt(GoodCase(100000+1000*uint64(k+1)+i, k)) }))
	}
	return all
}

// Run simulates the given number of bad and of good versions, and every
// disturbance at every step, and prints a table of the results. It returns an
// error that names the missed bounds.
func Run(w io.Writer, seeds int) error {
	start := time.Now()
	plain := Families(seeds, func(c Case) Case { return c })
	disturbed := DisturbedFamilies()
	fmt.Fprintf(w, "moves: %d bad and %d good versions (seeds 1000-4999, 101000-105999), %d disturbed moves (seeds 200000-309999)\n",
		total(plain, true), total(plain, false), total(disturbed, true)+total(disturbed, false))
	fmt.Fprintln(w, "| family | runs | as expected | reported late | max share while faulty | max share of new version | detected after p50 / max | dispatches after halt | done after p50 / max of time | max digest |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range append(slices.Clone(plain), disturbed...) {
		runAll([]*Summary{s})
		fmt.Fprintln(w, s.Row())
		s.printFailures(w)
	}
	missed := checkBounds(w, plain, disturbed)
	fmt.Fprintf(w, "moves: computed in %s\n", time.Since(start).Round(time.Second))
	if len(missed) > 0 {
		return fmt.Errorf("moves: bounds missed: %s", strings.Join(missed, "; "))
	}
	return nil
}

// printFailures prints the violated invariants and the runs that did not end as
// expected.
func (s *Summary) printFailures(w io.Writer) {
	for i, r := range s.Runs {
		for _, v := range r.Invariants() {
			fmt.Fprintf(w, "violated: %s seed %d: %s\n", s.Name, s.Cases[i].Seed, v)
		}
		if !s.endedAsExpected(i) {
			fmt.Fprintf(w, "missed: %s seed %d: %s after %s, step %d: %s\n",
				s.Name, s.Cases[i].Seed, r.Phase, r.EndedAfter.Round(time.Second), r.step, r.Reason)
		}
	}
}

// checkBounds prints the measured values with their bounds and returns the names of
// the missed bounds.
func checkBounds(w io.Writer, plain, disturbed []*Summary) []string {
	var missed []string
	check := func(what string, got, bound float64, ok bool) {
		mark := "met"
		if !ok {
			mark = "MISSED"
			missed = append(missed, what)
		}
		fmt.Fprintf(w, "bound: %s: %.4g (bound %.4g) %s\n", what, got, bound, mark)
	}
	var share float64
	var rolledBack, done, falseRollbacks, afterHalt, violated, asExpected, runs int
	for _, s := range plain {
		if s.Bad {
			faulty, _ := s.MaxShares()
			share = max(share, faulty)
			rolledBack += s.ExpectedRuns()
		} else {
			done += s.ExpectedRuns()
			falseRollbacks += s.countPhase(control.RolledBack)
		}
	}
	for _, s := range append(slices.Clone(plain), disturbed...) {
		for _, r := range s.Runs {
			afterHalt += r.DispatchesAfterHalt
			violated += len(r.Invariants())
		}
	}
	for _, s := range disturbed {
		asExpected += s.ExpectedRuns()
		runs += len(s.Runs)
	}
	bad, good := total(plain, true), total(plain, false)
	allowed := max(1, good/200)
	check("hard faults taken back", float64(rolledBack), float64(bad), rolledBack == bad)
	check("largest share of all requests to a faulty version", share, 0.05, share <= 0.05)
	check("dispatches later than 2 s after a fault was established", float64(afterHalt), 0, afterHalt == 0)
	check("good versions done by their time, besides those wrongly taken back", float64(done+falseRollbacks), float64(good), done+falseRollbacks == good)
	check("good versions wrongly taken back", float64(falseRollbacks), float64(allowed), falseRollbacks <= allowed)
	check("violated invariants in all runs", float64(violated), 0, violated == 0)
	check("disturbed moves that ended as they should", float64(asExpected), float64(runs), asExpected == runs)
	return missed
}

// countPhase returns the number of runs that ended in the phase.
func (s *Summary) countPhase(p control.Phase) int {
	n := 0
	for _, r := range s.Runs {
		if r.Phase == p {
			n++
		}
	}
	return n
}

func total(all []*Summary, bad bool) int {
	n := 0
	for _, s := range all {
		if s.Bad == bad {
			n += len(s.Runs)
		}
	}
	return n
}

// endedAsExpected reports whether run i ended in the expected phase and, if the
// move is done, before its deadline.
func (s *Summary) endedAsExpected(i int) bool {
	r, c := s.Runs[i], s.Cases[i]
	if r.Phase != c.ExpectedPhase() {
		return false
	}
	by := epoch.Add(c.Deadline)
	if c.Disturbance == DeadlineChanged {
		by = by.Add(deadlineChange)
	}
	return r.Phase != control.Done || r.startedAt.Add(r.EndedAfter).Before(by)
}

// ExpectedRuns returns the number of runs that ended as expected.
func (s *Summary) ExpectedRuns() int {
	n := 0
	for i := range s.Runs {
		if s.endedAsExpected(i) {
			n++
		}
	}
	return n
}

// MaxShares returns the largest shares over all runs of the requests that went to
// the new version: while it was faulty, and during the whole move.
func (s *Summary) MaxShares() (faulty, toNew float64) {
	for _, r := range s.Runs {
		if r.Requests > 0 {
			faulty = max(faulty, float64(r.ToFaultyVersion)/float64(r.Requests))
			toNew = max(toNew, float64(r.ToNewVersion)/float64(r.Requests))
		}
	}
	return faulty, toNew
}

// Row returns the family's row of the table.
func (s *Summary) Row() string {
	var late, after, digest int
	var detected []time.Duration
	var used []float64
	for i, r := range s.Runs {
		if r.ReportedLate {
			late++
		}
		after += r.DispatchesAfterHalt
		digest = max(digest, r.MaxDigestBytes)
		detected = append(detected, r.DetectionDelay)
		used = append(used, float64(r.EndedAfter)/float64(s.Cases[i].Deadline))
	}
	if len(s.Runs) == 0 {
		return "| " + s.Name + " | 0 |"
	}
	slices.Sort(detected)
	slices.Sort(used)
	faulty, toNew := s.MaxShares()
	bad, found, at := "-", "-", fmt.Sprintf("%.2f / %.2f", used[len(used)/2], used[len(used)-1])
	if s.Bad {
		bad, at = fmt.Sprintf("%.2f%%", 100*faulty), "-"
		found = fmt.Sprintf("%s / %s", detected[len(detected)/2].Round(time.Second), detected[len(detected)-1].Round(time.Second))
	}
	return fmt.Sprintf("| %s | %d | %d | %d | %s | %.2f%% | %s | %d | %s | %d B |",
		s.Name, len(s.Runs), s.ExpectedRuns(), late, bad, 100*toNew, found, after, at, digest)
}
