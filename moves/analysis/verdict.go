package analysis

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Config sets the parameters of an evaluation.
type Config struct {
	// Targets is the number of targets of the pool.
	Targets int
	// Duration is the planned length of the move, which ErrorRate applies to.
	Duration time.Duration
	// ErrorRate is the accepted probability that a good version is found bad
	// during a move. 0 means DefaultErrorRate.
	ErrorRate float64
	// Ungrouped ignores which target served a request. It exists to measure the
	// benefit of comparing by target.
	Ungrouped bool
}

// DefaultErrorRate is the default of Config.ErrorRate.
const DefaultErrorRate = 1e-3

// The Beta prior (mean 1/3) of the probability that a target becomes bad
// independently of its version. The old targets update it.
const (
	priorBad  = 0.5
	priorGood = 1.0
)

// unaffectedShare is the assumed share of a bad version's targets that show no
// fault.
const unaffectedShare = 0.05

// Verdict is the result of an evaluation.
type Verdict struct {
	// Bad means that the new version is found worse than the old one.
	Bad bool
	// Suspect means that the evidence points against the new version but may
	// not reach the threshold. Its share must not grow.
	Suspect bool
	// Sufficient means that each route that needs evidence for the new version
	// has it.
	Sufficient bool
	// Inconclusive means that a route has many requests on the new version, but
	// the evidence neither clears the version nor shows that it is bad.
	Inconclusive bool
	// BaselineOverloaded means that the old targets are much slower than before
	// the move, so that a comparison with them cannot clear the new version.
	BaselineOverloaded bool
	// LogLikelihoodRatio is the strongest evidence against the new version over
	// all metrics, routes and lookbacks: the natural logarithm of the
	// likelihood ratio, corrected for multiple tests. Route, Metric and
	// Lookback name the comparison with that evidence.
	LogLikelihoodRatio float64
	Route              string
	Metric             Metric
	Lookback           time.Duration
	// MissingRoute names a route without sufficient evidence, empty if there is
	// none.
	MissingRoute string
}

// Reason describes the strongest evidence against the new version.
func (v Verdict) Reason() string {
	return fmt.Sprintf("%s on %s over %s (evidence e^%.1f)", v.Metric, v.Route, v.Lookback, v.LogLikelihoodRatio)
}

// AllRoutes names the comparison over the sum of all routes.
const AllRoutes = "all routes"

// suspectLogRatio is the log likelihood ratio from which a version is suspect:
// 10 to 1. It is above the ratio that occasionally results when three of four
// new targets are slow by themselves.
var suspectLogRatio = math.Log(10)

// maxOldTargetLoad is the highest load on an old target relative to its load
// before the move. Each target loaded with the new version leaves the old
// version with fewer targets for most of the requests. Above this limit the old
// targets slow down under their load, and a slow version goes unnoticed in
// comparison.
const maxOldTargetLoad = 1.45

// MaxNewTargets returns the largest number of targets, at least 1, that may
// serve the new version while it receives the given share (0 to 1) of the
// requests.
func (c Config) MaxNewTargets(share float64) int {
	return max(1, int(float64(c.Targets)*(1-(1-share)/maxOldTargetLoad)))
}

// detectionShare is the share of the requests at which a bad version should be
// detected.
const detectionShare = 0.05

// Threshold returns the log likelihood ratio at which a version is found bad.
// In a pool of fewer than 12 targets, too few can be moved at a small share to
// reach 1/ErrorRate. The threshold is then half of the likelihood ratio that
// they can reach.
func (c Config) Threshold() float64 {
	newGroups := min(GroupCount, c.MaxNewTargets(detectionShare))
	attainable := attainableLogRatio(newGroups, min(GroupCount, max(1, c.Targets-newGroups)))
	return min(c.requestThreshold(), attainable-math.Log(2))
}

// requestThreshold returns the log likelihood ratio that the requests alone
// must reach, whatever the number of targets.
func (c Config) requestThreshold() float64 {
	if c.ErrorRate == 0 {
		return -math.Log(DefaultErrorRate)
	}
	return -math.Log(c.ErrorRate)
}

// MinNewTargets returns the number of targets that must serve the new version
// before it can be found bad.
func (c Config) MinNewTargets() int {
	maxTargets := c.MaxNewTargets(detectionShare)
	for m := 1; m < maxTargets; m++ {
		if attainableLogRatio(min(m, GroupCount), min(GroupCount, c.Targets-m)) >= c.Threshold()+math.Log(1.2) {
			return m
		}
	}
	return maxTargets
}

// attainableLogRatio returns the log likelihood ratio when all newGroups groups
// are bad and all oldGroups groups are good.
func attainableLogRatio(newGroups, oldGroups int) float64 {
	var sum float64
	for i := range newGroups {
		sum += math.Log(1-unaffectedShare) -
			math.Log((priorBad+float64(i))/(priorBad+priorGood+float64(oldGroups+i)))
	}
	return sum
}

// overloadLogFactor is the median slowdown of the old groups over the second
// lookback, as a log factor since before the move, above which
// Verdict.BaselineOverloaded is set: beside overloaded targets, a slow version
// looks good.
var overloadLogFactor = math.Log(2.5)

// lookbackResult is the result for one lookback.
type lookbackResult struct {
	evaluatedAt   time.Time
	logRatio      float64
	route         string
	metric        Metric
	missingRoute  string
	clearedRoutes int
	inconclusive  bool
	medianShift   float64 // the largest of all comparisons, see comparison.medianShift
}

// refreshesPerLookback divides a lookback into the intervals after which it is
// evaluated again. With an evaluation every second, the cost stays near that of
// the shortest lookback.
const refreshesPerLookback = 30

// Evaluate compares the versions at now. Results for the longer lookbacks are
// cached for a part of their length, see refreshesPerLookback.
func Evaluate(samples *Samples, now time.Time, cfg Config) Verdict {
	v := Verdict{LogLikelihoodRatio: math.Inf(-1)}
	for _, lookback := range Lookbacks {
		key := resultKey{lookback, cfg.Ungrouped}
		result, ok := samples.results[key]
		if !ok || now.Sub(result.evaluatedAt) >= lookback/refreshesPerLookback {
			result = evaluateLookback(samples, now, lookback, cfg)
			samples.results[key] = result
		}
		if result.logRatio > v.LogLikelihoodRatio {
			v.LogLikelihoodRatio, v.Route, v.Metric, v.Lookback = result.logRatio, result.route, result.metric, lookback
		}
		if lookback == Lookbacks[1] {
			v.BaselineOverloaded = result.medianShift > overloadLogFactor
		}
		// The longest lookback is last and decides whether the evidence suffices.
		v.Sufficient = result.clearedRoutes > 0 && result.missingRoute == "" && !v.BaselineOverloaded
		v.MissingRoute, v.Inconclusive = result.missingRoute, result.inconclusive
	}
	v.Bad = v.LogLikelihoodRatio >= cfg.Threshold()
	v.Suspect = v.LogLikelihoodRatio >= min(suspectLogRatio, 0.6*cfg.Threshold())
	return v
}

// evaluateLookback tests all metrics of all routes over one lookback.
func evaluateLookback(samples *Samples, now time.Time, lookback time.Duration, cfg Config) lookbackResult {
	result := lookbackResult{evaluatedAt: now, logRatio: math.Inf(-1)}
	sums := samples.sumsOver(now, lookback)
	all := sums.allRoutes()
	routes := sortedRoutes(sums.recent)
	// The error rate must hold over all metrics, routes and lookbacks, and over
	// the number of times that the lookback fits into the move.
	correction := math.Log(float64(int(metricCount)*(len(routes)+1)*len(Lookbacks))) +
		math.Log(max(1, cfg.Duration.Seconds()/lookback.Seconds()))
	result.testRoute(all, AllRoutes, correction, cfg)
	for _, k := range routes {
		c := &comparison{recent: sums.recent[k], before: sums.before.cellsOf(k), urgent: k.Urgent}
		worst := result.testRoute(c, k.String(), correction, cfg)
		result.checkRoute(c, all, k.String(), worst)
	}
	return result
}

// testRoute tests all metrics of one route and returns the strongest evidence
// against the new version.
func (r *lookbackResult) testRoute(c *comparison, name string, correction float64, cfg Config) float64 {
	worst := math.Inf(-1)
	if cfg.Ungrouped {
		c = c.ungrouped()
	}
	for m := range metricCount {
		ratios := c.latencyRatios
		if m == Failures || m == Truncations {
			ratios = c.countRatios
		}
		newRatios, oldRatios := ratios(m)
		if len(newRatios) == 0 {
			continue
		}
		logRatio, fromRequests := combineGroups(newRatios, oldRatios, correction)
		if cfg.Ungrouped {
			logRatio = fromRequests
		}
		if fromRequests < cfg.requestThreshold() {
			logRatio = min(logRatio, cfg.Threshold()-0.01)
		}
		worst = max(worst, logRatio)
		r.medianShift = max(r.medianShift, c.medianShift)
		if logRatio > r.logRatio {
			r.logRatio, r.route, r.metric = logRatio, name, m
		}
	}
	return worst
}

// combineGroups returns the log likelihood ratio of all new groups together. It
// assumes that a good version's group may still be bad independently of the
// version, with the predictive probability given by the old groups and the new
// groups already counted. fromRequests is the log likelihood ratio if targets
// never became bad independently of the version.
func combineGroups(newRatios, oldRatios []float64, correction float64) (logRatio, fromRequests float64) {
	var badGroups float64
	for _, ratio := range oldRatios {
		badGroups += ratio / (ratio + 3)
	}
	slices.Sort(newRatios)
	slices.Reverse(newRatios)
	perGroup := math.Exp(-correction / float64(len(newRatios)))
	fromRequests = -correction
	for i, ratio := range newRatios {
		fromRequests += math.Log((1-unaffectedShare)*ratio + unaffectedShare)
		if ratio > 1 {
			ratio = max(1, ratio*perGroup)
		}
		pBad := (priorBad + badGroups + float64(i)) / (priorBad + priorGood + float64(len(oldRatios)+i))
		logRatio += math.Log(((1-unaffectedShare)*ratio + unaffectedShare) / (1 - pBad + pBad*ratio))
	}
	return logRatio, fromRequests
}

const (
	// minRouteRequests is the number of requests that a route needs on the new
	// version.
	minRouteRequests = 30
	// minRouteShare is the share of the old version's requests below which a
	// route does not delay a move.
	minRouteShare = 0.01
	// sufficientLogRatio is the log likelihood ratio that a route needs: 10 to 1
	// for the new version.
	sufficientLogRatio = -2.3
)

// checkRoute counts the route as cleared if its evidence clears the new version,
// and otherwise records it as missing. Rare routes are skipped, and so are
// urgent requests unless there are hardly any others.
func (r *lookbackResult) checkRoute(c, all *comparison, name string, logRatio float64) {
	newRequests, oldRequests := c.requests()
	_, allOldRequests := all.requests()
	if float64(oldRequests) < minRouteShare*float64(allOldRequests) ||
		(c.urgent && float64(allOldRequests) > minRouteShare*float64(oldRequests)) {
		return
	}
	if newRequests < minRouteRequests || logRatio > sufficientLogRatio {
		r.missingRoute = name
		r.inconclusive = r.inconclusive || newRequests >= 4*minRouteRequests
		return
	}
	r.clearedRoutes++
}

func (c *comparison) requests() (newRequests, oldRequests uint64) {
	for g := range newVersionBit {
		newRequests += c.newCell(g).Requests
		oldRequests += c.oldCell(g).Requests
	}
	return newRequests, oldRequests
}

// ungrouped returns the comparison with all groups summed into group 0.
func (c *comparison) ungrouped() *comparison {
	p := &comparison{recent: &Cells{}, before: &Cells{}, urgent: c.urgent, noTargetDrift: true}
	for g := range newVersionBit {
		p.newCell(0).Merge(*c.newCell(g))
		p.oldCell(0).Merge(*c.oldCell(g))
		p.before[0].Merge(c.before[g])
	}
	return p
}

// allRoutes returns the comparison over the sum of all routes, without urgent
// requests.
func (s lookbackSums) allRoutes() *comparison {
	all := &comparison{recent: &Cells{}, before: &Cells{}}
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
