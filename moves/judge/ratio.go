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

// faultRates are the failure shares that the alternative hypothesis spans.
var faultRates = [4]float64{0.12, 0.3, 0.6, 0.95}

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

// contrast holds the cells of one route: those of the horizon and those of the
// old version before it.
type contrast struct {
	recent, before *Cells
	urgent         bool
	naive          bool // without targetDrift, see Config.Pooled
	// center is the largest change of the old targets' latency since before
	// the move, as a logarithm.
	center float64
}

func (c *contrast) fresh(g int) *Cell { return &c.recent[newBit|g] }
func (c *contrast) old(g int) *Cell   { return &c.recent[g] }

// latencyRatios returns the likelihood ratio of "slower by a fault" against
// "not slower than accepted" for every group with observations. Each group is
// compared with its own past on the old version, and the change is compared
// with the median change of the old groups, so that a slowdown of the whole
// zone cancels.
func (c *contrast) latencyRatios(m Metric) (fresh, old []float64) {
	s2, ok := c.within(m)
	if !ok {
		return nil, nil
	}
	mean := c.baselineMean(m)
	var shifts, sizes []float64
	for g := range newBit {
		mo := c.old(g).moments(m)
		if mo.N >= minGroup {
			b, _ := reference(c.before[g].moments(m), mean, s2)
			shifts = append(shifts, mo.Mean()-b)
			sizes = append(sizes, float64(mo.N))
		}
	}
	if len(shifts) == 0 {
		return nil, nil
	}
	drift := targetDrift * targetDrift
	if c.naive {
		drift = 0
	}
	center, centerVar := median(shifts, sizes, s2, drift)
	c.center = max(c.center, center)
	ratio := func(mo, own Moments) float64 {
		b, bv := reference(own, mean, s2)
		v := dispersion*s2/float64(mo.N) + bv + centerVar + drift
		return shiftRatio(mo.Mean()-b-center, v)
	}
	for g := range newBit {
		if mo := c.old(g).moments(m); mo.N >= minGroup {
			old = append(old, ratio(mo, c.before[g].moments(m)))
		}
		if mo := c.fresh(g).moments(m); mo.N > 0 {
			fresh = append(fresh, ratio(mo, c.before[g].moments(m)))
		}
	}
	return fresh, old
}

// within returns the variance of one logarithm within a group.
func (c *contrast) within(m Metric) (float64, bool) {
	var squares, n float64
	for g := range newBit {
		for _, cell := range []*Cell{c.old(g), c.fresh(g)} {
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

// baselineMean returns the pool's mean before the new version, or during the
// horizon if this host has no record of that time.
func (c *contrast) baselineMean(m Metric) float64 {
	var before, during Moments
	for g := range newBit {
		before.merge(c.before[g].moments(m))
		during.merge(c.old(g).moments(m))
	}
	if before.N == 0 {
		return during.Mean()
	}
	return before.Mean()
}

// reference returns the mean of a record and its variance, drawn towards the
// pool's mean as far as the record is short.
func reference(mo Moments, poolMean, s2 float64) (mean, variance float64) {
	const prior = targetSpread * targetSpread
	if mo.N == 0 {
		return poolMean, prior
	}
	own := dispersion * s2 / float64(mo.N)
	w := prior / (prior + own)
	return w*mo.Mean() + (1-w)*poolMean, own * prior / (own + prior)
}

// median returns the weighted median of the shifts and its variance.
func median(shifts, sizes []float64, s2, drift float64) (center, variance float64) {
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
	return stat.Quantile(0.5, stat.Empirical, x, w), efficiency * (dispersion*s2/total + drift/float64(len(x)))
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

// countRatios is latencyRatios for failures and cut answers.
func (c *contrast) countRatios(m Metric) (fresh, old []float64) {
	var hits, n float64
	for g := range newBit {
		hits += float64(c.old(g).count(m))
		n += float64(c.old(g).Requests)
	}
	if n < 2*minGroup {
		return nil, nil
	}
	t := newCountTest(hits, n)
	for g := range newBit {
		if o := c.old(g); o.Requests >= minGroup {
			old = append(old, t.ratio(float64(o.count(m)), float64(o.Requests)))
		}
		if f := c.fresh(g); f.Requests > 0 {
			fresh = append(fresh, t.ratio(float64(f.count(m)), float64(f.Requests)))
		}
	}
	return fresh, old
}

// countTest compares shares of bad results with the old version's.
type countTest struct {
	accepted float64
	hit      [4]float64 // logarithms of the fault rates
	miss     [4]float64
}

func newCountTest(hits, total float64) *countTest {
	// 0.4 and 20 stand for a prior of 2% where the old version has no record;
	// half as many failures again are accepted.
	t := &countTest{accepted: min(0.98, 1.5*(hits+0.4)/(total+20)+0.005)}
	for i, rate := range faultRates {
		rate = max(rate, min(0.99, 3*t.accepted))
		t.hit[i], t.miss[i] = math.Log(rate), math.Log(1-rate)
	}
	return t
}

// ratio returns the likelihood ratio of k bad results among n.
func (t *countTest) ratio(k, n float64) float64 {
	p := min(k/n, t.accepted)
	var null float64
	if k > 0 {
		null = k * math.Log(p)
	}
	if n > k {
		null += (n - k) * math.Log(1-p)
	}
	var sum float64
	for i := range faultRates {
		sum += math.Exp(min(300, k*t.hit[i]+(n-k)*t.miss[i]-null))
	}
	return sum / float64(len(faultRates))
}
