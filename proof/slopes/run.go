package slopes

import (
	"fmt"
	"io"
)

// Options select how a measurement runs.
type Options struct {
	// Virtual runs f in virtual time and returns after it. If nil, the journal
	// is measured in real time over a short span, which is too short for the
	// removal of rolled batches; testing/synctest provides virtual time in
	// tests only.
	RunInVirtualTime func(f func())
	// Brief leaves out the sections that take long or run a real host.
	SkipLong bool
}

// section is a group of costs that are measured together.
type section struct {
	name    string
	measure func(Options) ([]Cost, error)
	long    bool
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

// Measure returns all costs. An error means that a measurement did not come
// about, not that a budget is missed.
func Measure(o Options, each func(section string, costs []Cost)) error {
	for _, s := range sections {
		if s.long && o.SkipLong {
			continue
		}
		costs, err := s.measure(o)
		if err != nil {
			return fmt.Errorf("slopes: %s: %w", s.name, err)
		}
		each(s.name, costs)
	}
	return nil
}

// Run measures all costs and prints the points, the line and the value at the
// target beside its budget.
func Run(w io.Writer) error { return Print(w, Options{}) }

// Print is Run with options.
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
	_, err = fmt.Fprintf(w, "%d budgets missed at the target\n", missed)
	return err
}
