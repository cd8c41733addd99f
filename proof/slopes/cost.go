package slopes

import "fmt"

// Point is one measurement.
type Point struct {
	// X is the size, in the unit of Cost.Over.
	X float64
	// Y is the cost, in Cost.Unit.
	Y float64
}

// Cost is what one mechanism costs over a size.
type Cost struct {
	// Name identifies the cost in docs/CAPACITY.md and in tests.
	Name string
	// Unit is that of the cost, Over what the size counts.
	Unit, SizeUnit string
	Points         []Point
	// Target is the size at the target scale.
	DesignSize float64
	// Budget is the greatest cost allowed at the target; 0 means none.
	Budget float64
	// Source says where the budget stands.
	BudgetSource string
	// Clock marks a cost that depends on the machine.
	MachineDependent bool
}

// Fit returns the least-squares line through the points.
func (c *Cost) Fit() (slope, intercept float64) {
	n := float64(len(c.Points))
	var x, y, xx, xy float64
	for _, p := range c.Points {
		x += p.X
		y += p.Y
		xx += p.X * p.X
		xy += p.X * p.Y
	}
	d := n*xx - x*x
	if d == 0 {
		return 0, y / max(n, 1)
	}
	slope = (n*xy - x*y) / d
	return slope, (y - slope*x) / n
}

// AtTarget returns the cost at the target: what was measured there, else the
// value of the line. A line does not describe a cost that saturates, so a
// measurement takes precedence.
func (c *Cost) AtDesignSize() float64 {
	for _, p := range c.Points {
		if p.X == c.DesignSize {
			return p.Y
		}
	}
	slope, intercept := c.Fit()
	return slope*c.DesignSize + intercept
}

// Within reports whether the cost at the target is within the budget.
func (c *Cost) WithinBudget() bool { return c.Budget == 0 || c.AtDesignSize() <= c.Budget }

// String returns the cost as a block of lines.
func (c *Cost) String() string {
	mark := ""
	if c.MachineDependent {
		mark = ", clock"
	}
	s := fmt.Sprintf("%s (%s%s) over %s\n ", c.Name, c.Unit, mark, c.SizeUnit)
	for _, p := range c.Points {
		s += fmt.Sprintf("  %s: %s", formatNumber(p.X), formatNumber(p.Y))
	}
	slope, intercept := c.Fit()
	s += fmt.Sprintf("\n   slope %s, intercept %s; at %s: %s", formatNumber(slope), formatNumber(intercept), formatNumber(c.DesignSize), formatNumber(c.AtDesignSize()))
	if c.Budget == 0 {
		return s + "\n"
	}
	verdict := "within"
	if !c.WithinBudget() {
		verdict = "MISSED"
	}
	return s + fmt.Sprintf(", budget %s (%s): %s\n", formatNumber(c.Budget), c.BudgetSource, verdict)
}

// number prints four significant digits without an exponent where it is short.
func formatNumber(v float64) string {
	if v >= 10000 || v <= -10000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}
