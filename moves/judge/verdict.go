package judge

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Config sets what a verdict has to reach.
type Config struct {
	// Targets is the number of targets of the pool.
	Targets int
	// Duration is the planned length of the move; the error rate holds over it.
	Duration time.Duration
	// ErrorRate is the wanted probability that a good version is judged bad.
	// 0 means DefaultErrorRate.
	ErrorRate float64
	// Pooled, when set, ignores which target answered. It exists to measure
	// what the grouping is worth.
	Pooled bool
}

// DefaultErrorRate is the design's error rate per move.
const DefaultErrorRate = 1e-3

// A target turns bad for reasons of its own with a probability that is
// estimated from the old targets, starting from this Beta prior (mean 1/3).
const (
	priorBad  = 0.5
	priorGood = 1.0
)

// missShare is the share of a bad version's targets that may look good.
const missShare = 0.05

// Verdict is the state of the evidence.
type Verdict struct {
	// Bad means that the version is established as worse.
	Bad bool
	// Suspect means that the evidence points against the version but does not
	// suffice; the share must not grow.
	Suspect bool
	// Enough means that each route with traffic has evidence for the version.
	Enough bool
	// LogRatio is the strongest evidence against the version, as a natural
	// logarithm, after correction.
	LogRatio float64
	Route    string
	Measure  Measure
	Horizon  time.Duration
	// Missing names a route that lacks evidence.
	Missing string
}

// Reason describes the strongest evidence.
func (v Verdict) Reason() string {
	return fmt.Sprintf("%s on %s over %s (evidence e^%.1f)", v.Measure, v.Route, v.Horizon, v.LogRatio)
}

// AllRoutes names the comparison over all routes together.
const AllRoutes = "all routes"

// suspectLog is the evidence from which a version is suspect: 5 to 1.
var suspectLog = math.Log(5)

// Threshold returns the evidence, as a natural logarithm, at which a version is
// judged bad. In a pool of fewer than 11 targets the targets are too few to
// reach 1/ErrorRate, and the threshold is what half of them can show.
func (c Config) Threshold() float64 {
	rate := c.ErrorRate
	if rate == 0 {
		rate = DefaultErrorRate
	}
	units := min(c.Targets, 2*GroupCount)
	half := max(1, units/2)
	attainable := strongest(half, min(GroupCount, max(1, units-half)))
	return min(-math.Log(rate), attainable+math.Log(0.7))
}

// Needed returns the number of targets that the new version needs before it
// can be judged bad.
func (c Config) Needed() int {
	for m := 1; m < c.Targets/2; m++ {
		if strongest(min(m, GroupCount), min(GroupCount, c.Targets-m)) >= c.Threshold()+math.Log(1.2) {
			return m
		}
	}
	return max(1, c.Targets/2)
}

// strongest returns the evidence when all m new groups are bad and all n old
// ones good.
func strongest(m, n int) float64 {
	var sum float64
	for i := range m {
		sum += math.Log(1-missShare) - math.Log((priorBad+float64(i))/(priorBad+priorGood+float64(n+i)))
	}
	return sum
}

// Judge weighs the pooled evidence at now.
func Judge(e *Evidence, now time.Time, cfg Config) Verdict {
	v := Verdict{LogRatio: math.Inf(-1)}
	var proven int
	for _, h := range Horizons {
		recent, before := e.span(now, h)
		routes := contrasts(recent, before)
		names := sortedRoutes(routes)
		correction := math.Log(float64(int(measureCount)*len(names)*len(Horizons))) +
			math.Log(max(1, cfg.Duration.Seconds()/h.Seconds()))
		for _, name := range names {
			c := routes[name]
			worst := v.weigh(c, name, h, correction, cfg)
			if h != Horizons[len(Horizons)-1] || name == AllRoutes {
				continue
			}
			if v.proves(c, routes[AllRoutes], name, worst) {
				proven++
			}
		}
	}
	v.Enough = proven > 0 && v.Missing == ""
	v.Bad = v.LogRatio >= cfg.Threshold()
	v.Suspect = v.LogRatio >= suspectLog
	return v
}

// weigh tests all measures of one route and returns the strongest evidence.
func (v *Verdict) weigh(c *contrast, name string, h time.Duration, correction float64, cfg Config) float64 {
	worst := math.Inf(-1)
	if cfg.Pooled {
		c = c.pooled()
	}
	for m := range measureCount {
		ratios := c.latencyRatios
		if m == Failures || m == Cuts {
			ratios = c.countRatios
		}
		fresh, old := ratios(m)
		if len(fresh) == 0 {
			continue
		}
		l := combine(fresh, old, correction)
		if cfg.Pooled {
			l = math.Log(fresh[0]) - correction
		}
		worst = max(worst, l)
		if l > v.LogRatio {
			v.LogRatio, v.Route, v.Measure, v.Horizon = l, name, m, h
		}
	}
	return worst
}

// combine returns the evidence of all new groups together. A good version's
// group is bad by itself with the predictive probability that follows from the
// old groups and from the new groups already counted.
func combine(fresh, old []float64, correction float64) float64 {
	var bad float64
	for _, e := range old {
		bad += e / (e + 3)
	}
	slices.Sort(fresh)
	slices.Reverse(fresh)
	perGroup := math.Exp(-correction / float64(len(fresh)))
	var sum float64
	for i, e := range fresh {
		if e > 1 {
			e = max(1, e*perGroup)
		}
		own := (priorBad + bad + float64(i)) / (priorBad + priorGood + float64(len(old)+i))
		sum += math.Log(((1-missShare)*e + missShare) / (1 - own + own*e))
	}
	return sum
}

const (
	// enoughRequests per route on the new version, and minRouteShare of the old
	// version's requests below which a route does not hold up a move.
	enoughRequests = 30
	minRouteShare  = 0.01
	// enoughLog is the evidence for the version (10 to 1) that a route needs.
	enoughLog = -2.3
)

// proves reports whether the route has evidence for the version, and notes it
// as missing if it should have. Rare routes and urgent requests that are not
// yet sent to the new version do not count.
func (v *Verdict) proves(c, all *contrast, name string, worst float64) bool {
	fresh, old := c.requests()
	_, allOld := all.requests()
	if float64(old) < minRouteShare*float64(allOld) || (c.urgent && fresh == 0) {
		return false
	}
	if fresh < enoughRequests || worst > enoughLog {
		v.Missing = name
		return false
	}
	return true
}

func (c *contrast) requests() (fresh, old uint64) {
	for g := range c.old {
		fresh += c.fresh[g].Requests
		old += c.old[g].Requests
	}
	return fresh, old
}

func (c *contrast) pooled() *contrast {
	p := contrast{urgent: c.urgent}
	for g := range c.old {
		p.fresh[0].Merge(c.fresh[g])
		p.old[0].Merge(c.old[g])
		p.before[0].Merge(c.before[g])
	}
	return &p
}

// contrasts arranges two windows by route and adds AllRoutes.
func contrasts(recent, before Window) map[string]*contrast {
	routes := map[string]*contrast{AllRoutes: {}}
	at := func(name string) *contrast {
		if routes[name] == nil {
			routes[name] = &contrast{}
		}
		return routes[name]
	}
	put := func(k Key, cell Cell, pick func(*contrast) *Cell) {
		c := at(k.name())
		c.urgent = k.Urgent
		pick(c).Merge(cell)
		if !k.Urgent {
			pick(routes[AllRoutes]).Merge(cell)
		}
	}
	for k, cell := range recent {
		g := k.Group % GroupCount
		if k.New {
			put(k, cell, func(c *contrast) *Cell { return &c.fresh[g] })
			continue
		}
		put(k, cell, func(c *contrast) *Cell { return &c.old[g] })
	}
	for k, cell := range before {
		if !k.New {
			put(k, cell, func(c *contrast) *Cell { return &c.before[k.Group%GroupCount] })
		}
	}
	return routes
}

func (k Key) name() string {
	if k.Urgent {
		return k.Route + " (urgent)"
	}
	return k.Route
}

func sortedRoutes(routes map[string]*contrast) []string {
	names := make([]string, 0, len(routes))
	for n := range routes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
