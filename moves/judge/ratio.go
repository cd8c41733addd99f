package judge

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// The bounds of the composite hypotheses on a latency factor, as logarithms. A
// version up to 1.2 times as slow as the old one is accepted; hard faults start
// at a factor of 2, and 1.6 leaves room for faults that hit some requests only.
var (
	acceptedShift = math.Log(1.2)
	faultShifts   = []float64{math.Log(1.6), math.Log(2), math.Log(3), math.Log(6), math.Log(20)}
)

const (
	// targetDrift is the standard deviation of a target's own slow changes
	// relative to the pool, as a logarithm.
	targetDrift = 0.1
	// targetSpread is the same for a target without a baseline of its own;
	// hardware generations differ by this much.
	targetSpread = 0.35
	// dispersion inflates the variance of a mean, because the latencies of
	// requests that share a batch are correlated.
	dispersion = 1.5
	// minGroup is the number of requests below which an old group says too
	// little about how often targets slow down on their own.
	minGroup = 8
)

// contrast holds the two versions' cells of one route by group.
type contrast struct {
	fresh, old, before [GroupCount]Cell
	urgent             bool
}

// latencyRatios returns the likelihood ratio of "slower by a fault" against
// "not slower than accepted" for every group with observations. Each group is
// compared with its own past on the old version, and the change is compared
// with the median change of the old groups, so that a slowdown of the whole
// zone cancels.
func (c *contrast) latencyRatios(m Measure) (fresh, old []float64) {
	s2, ok := c.within(m)
	if !ok {
		return nil, nil
	}
	mean := c.baselineMean(m)
	var shifts, sizes []float64
	for g := range c.old {
		mo := c.old[g].moments(m)
		if mo.N >= minGroup {
			b, _ := c.reference(g, m, mean, s2)
			shifts = append(shifts, mo.Mean()-b)
			sizes = append(sizes, float64(mo.N))
		}
	}
	if len(shifts) == 0 {
		return nil, nil
	}
	center, centerVar := median(shifts, sizes, s2)
	ratio := func(mo Moments, g int) float64 {
		b, bv := c.reference(g, m, mean, s2)
		v := dispersion*s2/float64(mo.N) + bv + centerVar + targetDrift*targetDrift
		return shiftRatio(mo.Mean()-b-center, v)
	}
	for g := range c.old {
		if mo := c.old[g].moments(m); mo.N >= minGroup {
			old = append(old, ratio(mo, g))
		}
		if mo := c.fresh[g].moments(m); mo.N > 0 {
			fresh = append(fresh, ratio(mo, g))
		}
	}
	return fresh, old
}

// within returns the variance of one logarithm within a group.
func (c *contrast) within(m Measure) (float64, bool) {
	var squares, n float64
	for g := range c.old {
		for _, cell := range []*Cell{&c.old[g], &c.fresh[g]} {
			mo := cell.moments(m)
			if mo.N > 1 {
				squares += mo.spread()
				n += float64(mo.N - 1)
			}
		}
	}
	if n < 2*minGroup {
		return 0, false
	}
	return max(squares/n, 0.01), true
}

func (c *contrast) baselineMean(m Measure) float64 {
	var sum Moments
	for g := range c.before {
		sum.merge(c.before[g].moments(m))
	}
	return sum.Mean()
}

// reference returns the group's mean before, and its variance.
func (c *contrast) reference(g int, m Measure, poolMean, s2 float64) (mean, variance float64) {
	mo := c.before[g].moments(m)
	// A shrunken estimate: the prior is the pool's mean with targetSpread.
	own := dispersion * s2 / max(float64(mo.N), 1e-9)
	prior := targetSpread * targetSpread
	w := prior / (prior + own)
	return w*mo.Mean() + (1-w)*poolMean, own * prior / (own + prior)
}

// median returns the weighted median of the shifts and its variance.
func median(shifts, sizes []float64, s2 float64) (center, variance float64) {
	order := make([]int, len(shifts))
	var total float64
	for i := range order {
		order[i] = i
		total += sizes[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		if shifts[a] < shifts[b] {
			return -1
		}
		return 1
	})
	x, w := make([]float64, 0, len(order)), make([]float64, 0, len(order))
	for _, i := range order {
		x, w = append(x, shifts[i]), append(w, sizes[i])
	}
	const efficiency = math.Pi / 2 // variance of a median relative to a mean
	return stat.Quantile(0.5, stat.Empirical, x, w), efficiency * (dispersion*s2/total + targetDrift*targetDrift/float64(len(x)))
}

// shiftRatio averages the likelihood ratio over the fault sizes. The null
// hypothesis is the accepted shift that fits d best.
func shiftRatio(d, v float64) float64 {
	best := min(d, acceptedShift)
	var sum float64
	for _, f := range faultShifts {
		sum += math.Exp(min(300, ((d-best)*(d-best)-(d-f)*(d-f))/(2*v)))
	}
	return sum / float64(len(faultShifts))
}

// faultRates are the failure shares that the alternative hypothesis spans.
var faultRates = []float64{0.12, 0.3, 0.6, 0.95}

// countRatios is latencyRatios for failures and cut answers. The rate of the
// old version is taken from the other groups.
func (c *contrast) countRatios(m Measure) (fresh, old []float64) {
	var hits, n float64
	for g := range c.old {
		hits += float64(c.old[g].count(m))
		n += float64(c.old[g].Requests)
	}
	if n < 2*minGroup {
		return nil, nil
	}
	for g := range c.old {
		if o := c.old[g]; o.Requests >= minGroup {
			old = append(old, countRatio(o.count(m), o.Requests, hits-float64(o.count(m)), n-float64(o.Requests)))
		}
		if f := c.fresh[g]; f.Requests > 0 {
			fresh = append(fresh, countRatio(f.count(m), f.Requests, hits, n))
		}
	}
	return fresh, old
}

// countRatio returns the likelihood ratio of k bad results among n against the
// old version's hits among total.
func countRatio(k, n uint64, hits, total float64) float64 {
	// 0.4 and 20 stand for a prior of 2% where the old version has no record;
	// half as many failures again are accepted.
	accepted := 1.5*(hits+0.4)/(total+20) + 0.005
	logLikelihood := func(p float64) float64 {
		p = min(max(p, 1e-6), 1-1e-6)
		return float64(k)*math.Log(p) + float64(n-k)*math.Log(1-p)
	}
	null := logLikelihood(min(float64(k)/float64(n), accepted))
	var sum float64
	for _, rate := range faultRates {
		rate = max(rate, min(0.99, 3*accepted))
		sum += math.Exp(min(300, logLikelihood(rate)-null))
	}
	return sum / float64(len(faultRates))
}
