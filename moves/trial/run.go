package trial

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"sardinefront.dev/moves/steer"
)

// Summary adds up the runs of one family.
type Summary struct {
	Name  string
	Bad   bool
	Runs  []Result
	Cases []Case
}

// family returns the cases of one family.
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

// Families returns the families of bad and good versions, with seeds cases of
// each kind in total.
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

// Run prints the table of the rollout proof over the given number of bad and
// the same number of good versions, and every disturbance at every step. It
// returns an error that names the bounds of the design that were missed.
func Run(w io.Writer, seeds int) error {
	start := time.Now()
	plain := Families(seeds, func(c Case) Case { return c })
	disturbed := DisturbedFamilies()
	fmt.Fprintf(w, "moves: %d bad and %d good versions (seeds 1000-4999, 101000-105999), %d disturbed moves (seeds 200000-309999)\n",
		total(plain, true), total(plain, false), total(disturbed, true)+total(disturbed, false))
	fmt.Fprintln(w, "| family | runs | right | said late | bad share max | new share max | detected p50 / max | after halt | done at p50 / max of time | digest max |")
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

// exceptions prints the runs that did not end as they should.
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

// bounds prints the measures of section 6 of the design with their bounds, and
// returns the missed ones.
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
	var back, done, wrong, after, violated, right, runs int
	for _, s := range plain {
		if s.Bad {
			faulty, _ := s.MaxShares()
			share = max(share, faulty)
			back += s.ExpectedRuns()
		} else {
			done += s.ExpectedRuns()
			wrong += s.countPhase(steer.RolledBack)
		}
	}
	for _, s := range append(slices.Clone(plain), disturbed...) {
		for _, r := range s.Runs {
			after += r.DispatchesAfterHalt
			violated += len(r.Invariants())
		}
	}
	for _, s := range disturbed {
		right += s.ExpectedRuns()
		runs += len(s.Runs)
	}
	bad, good := total(plain, true), total(plain, false)
	allowed := max(1, good/200)
	check("hard faults taken back", float64(back), float64(bad), back == bad)
	check("largest share of all requests to a faulty version", share, 0.05, share <= 0.05)
	check("dispatches later than 2 s after a fault was established", float64(after), 0, after == 0)
	check("good versions done by their time, besides those wrongly taken back", float64(done+wrong), float64(good), done+wrong == good)
	check("good versions wrongly taken back", float64(wrong), float64(allowed), wrong <= allowed)
	check("violated invariants in all runs", float64(violated), 0, violated == 0)
	check("disturbed moves that ended as they should", float64(right), float64(runs), right == runs)
	return missed
}

// ended counts the runs that ended in the phase.
func (s *Summary) countPhase(p steer.Phase) int {
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

// right reports whether a bad version was taken back, or a good one was done by
// its time.
func (s *Summary) endedAsExpected(i int) bool {
	r, c := s.Runs[i], s.Cases[i]
	if r.Phase != c.ExpectedPhase() {
		return false
	}
	by := epoch.Add(c.Deadline)
	if c.Disturbance == DeadlineChanged {
		by = by.Add(deadlineChange)
	}
	return r.Phase != steer.Done || r.startedAt.Add(r.EndedAfter).Before(by)
}

// Right counts the runs that ended as they should.
func (s *Summary) ExpectedRuns() int {
	n := 0
	for i := range s.Runs {
		if s.endedAsExpected(i) {
			n++
		}
	}
	return n
}

// BadShare returns the largest share of all requests that went to a version
// while it was faulty, and the largest share that went to the new version at
// all before it was taken back.
func (s *Summary) MaxShares() (faulty, fresh float64) {
	for _, r := range s.Runs {
		if r.Requests > 0 {
			faulty = max(faulty, float64(r.ToFaultyVersion)/float64(r.Requests))
			fresh = max(fresh, float64(r.ToNewVersion)/float64(r.Requests))
		}
	}
	return faulty, fresh
}

// Row returns the family's line of the table.
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
	faulty, fresh := s.MaxShares()
	bad, found, at := "-", "-", fmt.Sprintf("%.2f / %.2f", used[len(used)/2], used[len(used)-1])
	if s.Bad {
		bad, at = fmt.Sprintf("%.2f%%", 100*faulty), "-"
		found = fmt.Sprintf("%s / %s", detected[len(detected)/2].Round(time.Second), detected[len(detected)-1].Round(time.Second))
	}
	return fmt.Sprintf("| %s | %d | %d | %d | %s | %.2f%% | %s | %d | %s | %d B |",
		s.Name, len(s.Runs), s.ExpectedRuns(), late, bad, 100*fresh, found, after, at, digest)
}
