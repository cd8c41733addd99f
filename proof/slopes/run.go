package slopes

import (
	"fmt"
	"io"
)

// Options selects how the measurements run.
type Options struct {
	// RunInVirtualTime runs f in virtual time and returns when f has ended. If nil,
	// the journal is measured in real time, for a duration too short to include
	// the removal of compacted batches. Only tests can set it, because virtual
	// time requires testing/synctest.
	RunInVirtualTime func(f func())
	// SkipLong skips the sections that take long or run a real host.
	SkipLong bool
}

// section is a group of costs that are measured together.
type section struct {
	name    string
	measure func(Options) ([]Cost, error)
	long    bool // takes long or runs a real host
}

var sections = []section{
	{"peers and configuration spread", measurePeers, false},
	{"membership", measureMembership, false},
	{"configuration", measureConfig, false},
	{"journal", measureJournal, false},
	{"journal index", measureIndex, false},
	{"scheduling", measureSched, false},
	{"host list", measureHostList, false},
	{"moves", measureMoves, false},
	{"failures", measureFailures, true},
	{"host", measureHost, true},
}

// Measure measures all costs and calls report after each section. An error means
// that a measurement failed. A missed budget is not an error.
func Measure(o Options, report func(section string, costs []Cost)) error {
	for _, s := range sections {
		if s.long && o.SkipLong {
			continue
		}
		costs, err := s.measure(o)
		if err != nil {
			return fmt.Errorf("slopes: %s: %w", s.name, err)
		}
		report(s.name, costs)
	}
	return nil
}

// Run measures all costs with the zero Options and writes them to w: the points,
// the fitted line, and the value at the target scale with its budget.
func Run(w io.Writer) error { return Print(w, Options{}) }

// Print is like Run with the given options.
func Print(w io.Writer, o Options) error {
	missed := 0
	err := Measure(o, func(name string, costs []Cost) {
		fmt.Fprintf(w, "== %s\n", name)
		for i := range costs {
			fmt.Fprint(w, costs[i].String())
			if !costs[i].WithinBudget() {
				missed++
			}
		}
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%d budgets missed at the target scale\n", missed)
	return err
}
