package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sourcegraph/conc/iter"
	"sardinefront.dev/sched/pool"
)

// sharingStrategies are the strategies that RunSharing compares.
var sharingStrategies = []struct {
	name    string
	sharing pool.Sharing
}{
	{"peer-digests", pool.PeerDigests},
	{"two-choices", pool.TwoChoices},
	{"host-shares", pool.HostShares},
	{"probing", pool.Probing},
}

// sharingFigures are the names of the figures in the table of RunSharing.
var sharingFigures = []string{
	"urgent goodput", "interactive goodput", "total goodput / omniscient",
	"wasted prefill / omniscient", "inversions", "first token p95 ms", "peer bytes/s",
}

// RunSharing compares the strategies by which hosts share targets under the
// scenarios that opts selects. It writes a Markdown table with one row per
// scenario and strategy to w. opts.Sharing is ignored.
func RunSharing(w io.Writer, opts Options) error {
	o, err := opts.withDefaults()
	if err != nil {
		return err
	}
	scenarios := o.scenarios()
	type task struct {
		s     *scenario
		build func(*world) scheduler
	}
	var tasks []task
	for _, s := range scenarios {
		tasks = append(tasks, task{s, newOmniscient}, task{s, newLeastInProgress})
		for _, strategy := range sharingStrategies {
			tasks = append(tasks, task{s, newPoolSchedulerWith(strategy.sharing)})
		}
	}
	mapper := iter.Mapper[task, *result]{MaxGoroutines: o.MaxParallel}
	results := mapper.Map(tasks, func(t *task) *result { return t.s.run(t.build) })
	return writeSharing(w, scenarios, results)
}

func writeSharing(w io.Writer, scenarios []*scenario, results []*result) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprint(t, "| scenario\t| sharing\t")
	for _, f := range sharingFigures {
		fmt.Fprintf(t, "| %s\t", f)
	}
	fmt.Fprint(t, "|\n| ---\t| ---\t")
	for range sharingFigures {
		fmt.Fprint(t, "| ---\t")
	}
	fmt.Fprintln(t, "|")
	for i, s := range scenarios {
		r := results[i*(2+len(sharingStrategies)):]
		c := &comparison{scenario: s, omniscient: r[0], leastInProgress: r[1]}
		for k, strategy := range sharingStrategies {
			fmt.Fprintf(t, "| %s\t| %s\t", s, strategy.name)
			for _, f := range sharingFigures {
				fmt.Fprintf(t, "| %s\t", formatFigure(figureNamed(f).value(r[2+k], c)))
			}
			fmt.Fprintln(t, "|")
		}
	}
	return t.Flush()
}
