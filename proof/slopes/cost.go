package slopes

import "fmt"

// Point is one measurement.
type Point struct {
	// X is the size, in Cost.SizeUnit.
	X float64
	// Y is the cost, in Cost.Unit.
	Y float64
}

// Cost is the cost of one mechanism as a function of a size.
type Cost struct {
	// Name identifies the cost in docs/CAPACITY.md and in tests.
	Name string
	// Unit is the unit of the cost, and SizeUnit that of the size.
	Unit, SizeUnit string
	Points         []Point
	// TargetScale is the size at the target scale.
	TargetScale float64
	// Budget is the maximum cost at TargetScale; 0 means no budget.
	Budget float64
	// BudgetSource names the document section or constant that sets the budget.
	BudgetSource string
	// MachineDependent marks a cost that depends on the machine, such as CPU time.
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

// AtTargetScale returns the cost at TargetScale: the measured cost if there is a
// point for it, otherwise the value of the fitted line. A measured cost takes
// precedence because a line does not fit a cost that saturates.
func (c *Cost) AtTargetScale() float64 {
	for _, p := range c.Points {
		if p.X == c.TargetScale {
			return p.Y
		}
	}
	slope, intercept := c.Fit()
	return slope*c.TargetScale + intercept
}

// WithinBudget reports whether the cost at TargetScale is within the budget.
func (c *Cost) WithinBudget() bool { return c.Budget == 0 || c.AtTargetScale() <= c.Budget }

// String formats the cost as several lines of text.
func (c *Cost) String() string {
	suffix := ""
	if c.MachineDependent {
		suffix = ", clock"
	}
	s := fmt.Sprintf("%s (%s%s) over %s\n ", c.Name, c.Unit, suffix, c.SizeUnit)
	for _, p := range c.Points {
		s += fmt.Sprintf("  %s: %s", formatNumber(p.X), formatNumber(p.Y))
	}
	slope, intercept := c.Fit()
	s += fmt.Sprintf("\n   slope %s, intercept %s; at %s: %s", formatNumber(slope), formatNumber(intercept),
		formatNumber(c.TargetScale), formatNumber(c.AtTargetScale()))
	if c.Budget == 0 {
		return s + "\n"
	}
	status := "within"
	if !c.WithinBudget() {
		status = "MISSED"
	}
	return s + fmt.Sprintf(", budget %s (%s): %s\n", formatNumber(c.Budget), c.BudgetSource, status)
}

// formatNumber formats v with four significant digits, or as an integer from
// 10,000 on.
func formatNumber(v float64) string {
	if v >= 10000 || v <= -10000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}
