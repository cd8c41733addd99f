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
	Ungrouped bool
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
	Sufficient bool
	// Doubtful means that a route has many requests on the new version, and yet
	// the evidence neither suffices for it nor against it.
	Inconclusive bool
	// Strained means that the old targets are much slower than before the move,
	// so that nothing can be proven beside them.
	BaselineOverloaded bool
	// LogRatio is the strongest evidence against the version, as a natural
	// logarithm, after correction.
	LogLikelihoodRatio float64
	Route              string
	Metric             Metric
	Lookback           time.Duration
	// Missing names a route that lacks evidence.
	MissingRoute string
}

// Reason describes the strongest evidence.
func (v Verdict) Reason() string {
	return fmt.Sprintf("%s on %s over %s (evidence e^%.1f)", v.Metric, v.Route, v.Lookback, v.LogLikelihoodRatio)
}

// AllRoutes names the comparison over all routes together.
const AllRoutes = "all routes"

// suspectLog is the evidence from which a version is suspect: 10 to 1. It is
// above what three slow targets of four show now and then.
var suspectLog = math.Log(10)

// relief is the load that the old targets may carry relative to before the
// move. Targets on the new version with a small share are lost to the old one;
// beyond this, the old targets slow down under their load, and a slow version
// looks good beside them.
const relief = 1.45

// Most returns the largest number of targets that may be on the new version
// while it has the given share of the requests, at least 1.
func (c Config) MaxNewTargets(share float64) int {
	return max(1, int(float64(c.Targets)*(1-(1-share)/relief)))
}

// smallShare is the share at which a bad version should be recognised.
const smallShare = 0.05

// Threshold returns the evidence, as a natural logarithm, at which a version is
// judged bad. In a pool of fewer than 12 targets, the targets that can be
// spared at a small share are too few to reach 1/ErrorRate; the threshold is
// then half of what they can show.
func (c Config) Threshold() float64 {
	m := min(GroupCount, c.MaxNewTargets(smallShare))
	attainable := strongest(m, min(GroupCount, max(1, c.Targets-m)))
	return min(c.sampling(), attainable-math.Log(2))
}

// sampling returns the evidence that the requests alone must show, whatever the
// number of targets.
func (c Config) sampling() float64 {
	if c.ErrorRate == 0 {
		return -math.Log(DefaultErrorRate)
	}
	return -math.Log(c.ErrorRate)
}

// Needed returns the number of targets that the new version needs before it
// can be judged bad.
func (c Config) MinNewTargets() int {
	most := c.MaxNewTargets(smallShare)
	for m := 1; m < most; m++ {
		if strongest(min(m, GroupCount), min(GroupCount, c.Targets-m)) >= c.Threshold()+math.Log(1.2) {
			return m
		}
	}
	return most
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

// strained is the slowdown of the old targets over the second horizon since the
// move began, as a logarithm, above which the comparison proves nothing good: a
// slow version looks good beside overloaded targets.
var strained = math.Log(2.5)

// finding is the result of one horizon.
type finding struct {
	at      time.Time
	log     float64
	route   string
	measure Metric
	missing string
	proven  int
	doubt   bool
	center  float64 // largest change of the old targets' latency
}

// refresh is the part of a horizon after which it is weighed again. It keeps
// the cost of a check every second to that of the shortest horizon.
const refresh = 30

// Judge weighs the pooled evidence at now.
func Evaluate(e *Samples, now time.Time, cfg Config) Verdict {
	v := Verdict{LogLikelihoodRatio: math.Inf(-1)}
	for _, h := range Lookbacks {
		f, ok := e.findings[h]
		if !ok || now.Sub(f.at) >= h/refresh {
			f = weigh(e, now, h, cfg)
			e.findings[h] = f
		}
		if f.log > v.LogLikelihoodRatio {
			v.LogLikelihoodRatio, v.Route, v.Metric, v.Lookback = f.log, f.route, f.measure, h
		}
		if h == Lookbacks[1] {
			v.BaselineOverloaded = f.center > strained
		}
		// The longest horizon decides whether the evidence suffices.
		v.Sufficient = f.proven > 0 && f.missing == "" && !v.BaselineOverloaded
		v.MissingRoute, v.Inconclusive = f.missing, f.doubt
	}
	v.Bad = v.LogLikelihoodRatio >= cfg.Threshold()
	v.Suspect = v.LogLikelihoodRatio >= min(suspectLog, 0.6*cfg.Threshold())
	return v
}

// weigh tests all measures of all routes over one horizon.
func weigh(e *Samples, now time.Time, h time.Duration, cfg Config) finding {
	f := finding{at: now, log: math.Inf(-1)}
	s := e.over(now, h)
	all := s.together()
	names := sortedRoutes(s.recent)
	// One error rate covers all measures, routes, horizons and the number of
	// times that the horizon fits into the move.
	correction := math.Log(float64(int(measureCount)*(len(names)+1)*len(Lookbacks))) +
		math.Log(max(1, cfg.Duration.Seconds()/h.Seconds()))
	f.test(all, AllRoutes, correction, cfg)
	for _, k := range names {
		c := &contrast{recent: s.recent[k], before: s.before.at(k), urgent: k.Urgent}
		worst := f.test(c, k.String(), correction, cfg)
		f.require(c, all, k.String(), worst)
	}
	return f
}

// test tests all measures of one route and returns the strongest evidence.
func (f *finding) test(c *contrast, name string, correction float64, cfg Config) float64 {
	worst := math.Inf(-1)
	if cfg.Ungrouped {
		c = c.pooled()
	}
	for m := range measureCount {
		ratios := c.latencyRatios
		if m == Failures || m == Truncations {
			ratios = c.countRatios
		}
		fresh, old := ratios(m)
		if len(fresh) == 0 {
			continue
		}
		l, requests := combine(fresh, old, correction)
		if cfg.Ungrouped {
			l = requests
		}
		if requests < cfg.sampling() {
			l = min(l, cfg.Threshold()-0.01)
		}
		worst = max(worst, l)
		f.center = max(f.center, c.center)
		if l > f.log {
			f.log, f.route, f.measure = l, name, m
		}
	}
	return worst
}

// combine returns the evidence of all new groups together. A good version's
// group is bad by itself with the predictive probability that follows from the
// old groups and from the new groups already counted. requests is the evidence
// if targets never turned bad by themselves.
func combine(fresh, old []float64, correction float64) (evidence, requests float64) {
	var bad float64
	for _, e := range old {
		bad += e / (e + 3)
	}
	slices.Sort(fresh)
	slices.Reverse(fresh)
	perGroup := math.Exp(-correction / float64(len(fresh)))
	requests = -correction
	for i, e := range fresh {
		requests += math.Log((1-missShare)*e + missShare)
		if e > 1 {
			e = max(1, e*perGroup)
		}
		own := (priorBad + bad + float64(i)) / (priorBad + priorGood + float64(len(old)+i))
		evidence += math.Log(((1-missShare)*e + missShare) / (1 - own + own*e))
	}
	return evidence, requests
}

const (
	// enoughRequests per route on the new version, and minRouteShare of the old
	// version's requests below which a route does not hold up a move.
	enoughRequests = 30
	minRouteShare  = 0.01
	// enoughLog is the evidence for the version (10 to 1) that a route needs.
	enoughLog = -2.3
)

// require counts the route as proven if it has evidence for the version, and
// notes it as missing if it should have. Rare routes do not count, and urgent
// requests only where there are hardly any others.
func (f *finding) require(c, all *contrast, name string, worst float64) {
	fresh, old := c.requests()
	_, allOld := all.requests()
	if float64(old) < minRouteShare*float64(allOld) || (c.urgent && float64(allOld) > minRouteShare*float64(old)) {
		return
	}
	if fresh < enoughRequests || worst > enoughLog {
		f.missing = name
		f.doubt = f.doubt || fresh >= 4*enoughRequests
		return
	}
	f.proven++
}

func (c *contrast) requests() (fresh, old uint64) {
	for g := range newBit {
		fresh += c.fresh(g).Requests
		old += c.old(g).Requests
	}
	return fresh, old
}

func (c *contrast) pooled() *contrast {
	p := &contrast{recent: &Cells{}, before: &Cells{}, urgent: c.urgent, naive: true}
	for g := range newBit {
		p.fresh(0).Merge(*c.fresh(g))
		p.old(0).Merge(*c.old(g))
		p.before[0].Merge(c.before[g])
	}
	return p
}

// together sums all routes, without urgent requests.
func (s span) together() *contrast {
	all := &contrast{recent: &Cells{}, before: &Cells{}}
	for k, c := range s.recent {
		if !k.Urgent {
			all.recent.merge(c)
		}
	}
	for k, c := range s.before {
		if !k.Urgent {
			all.before.merge(c)
		}
	}
	return all
}
