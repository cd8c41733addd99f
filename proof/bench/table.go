package bench

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
)

// writeTable writes the figures of all schedulers, one scheduler per column, and
// then the number of scenarios that met or missed each bound.
func writeTable(w io.Writer, seed uint64, all []*comparison, bounds []Bound) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "seed %d\nscenario\tfigure\tsardinefront\tround-robin\tleast\tomniscient\tbound\t\n", seed)
	for _, c := range all {
		for _, f := range figures {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", c.scenario, f.name,
				formatFigure(f.value(c.pool, c)), formatFigure(f.value(c.roundRobin, c)),
				formatFigure(f.value(c.leastInProgress, c)), formatFigure(f.value(c.omniscient, c)),
				boundStatus(bounds, f, c))
		}
	}
	fmt.Fprintf(t, "\nbound\tlimit\tmet\tmissed\tworst\tin\t\n")
	for i := range bounds {
		writeBound(t, &bounds[i], all)
	}
	for _, c := range all {
		if trace := c.pool.InversionTrace; trace != "" {
			fmt.Fprintf(t, "%s: first inversion: %s\n", c.scenario, trace)
		}
	}
	return t.Flush()
}

// boundStatus returns the bound of a figure and whether the scheduler under test
// meets it, or an empty string if the figure has no bound.
func boundStatus(bounds []Bound, f figure, c *comparison) string {
	for i := range bounds {
		if b := &bounds[i]; b.Figure == f.name {
			v := f.value(c.pool, c)
			switch {
			case math.IsNaN(v):
				return b.String() + ": not applicable"
			case b.met(v):
				return b.String() + ": met"
			default:
				return b.String() + ": MISSED"
			}
		}
	}
	return ""
}

// writeBound writes in how many scenarios a bound was met and missed, with the
// worst value and its scenario.
func writeBound(w io.Writer, b *Bound, all []*comparison) {
	f := figureNamed(b.Figure)
	met, missed, worst, where := 0, 0, math.NaN(), "-"
	for _, c := range all {
		v := f.value(c.pool, c)
		if math.IsNaN(v) {
			continue
		}
		if b.met(v) {
			met++
		} else {
			missed++
		}
		if math.IsNaN(worst) || b.Min != nil && v < worst || b.Max != nil && v > worst {
			worst, where = v, c.scenario.String()
		}
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t\n", b.Name, b, met, missed, formatFigure(worst), where)
}

// formatFigure formats a figure with about four significant digits, NaN as "-".
func formatFigure(v float64) string {
	switch {
	case math.IsNaN(v):
		return "-"
	case v == math.Trunc(v) || math.Abs(v) >= 1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	default:
		return strconv.FormatFloat(v, 'g', 4, 64)
	}
}
