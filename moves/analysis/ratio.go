package analysis

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// The hypotheses on the latency of the new version relative to the old one, as
// log factors. A factor of up to 1.2 is accepted. Hard faults start at a factor
// of 2; 1.6 covers faults that affect only some of the requests.
var (
	acceptedLogFactor = math.Log(1.2)
	faultLogFactors   = []float64{math.Log(1.6), math.Log(2), math.Log(3), math.Log(6), math.Log(20)}
)

// faultRates are the fault rates that the alternative hypothesis covers.
var faultRates = [4]float64{0.12, 0.3, 0.6, 0.95}

const (
	// targetDriftStdDev is the standard deviation of the slow changes of a
	// target's log latency relative to the pool.
	targetDriftStdDev = 0.1
	// targetSpreadStdDev is the standard deviation of log latency between
	// targets, used for a target without a baseline. Hardware generations
	// differ by this much.
	targetSpreadStdDev = 0.35
	// varianceInflation is the factor on the variance of a mean. Latencies of
	// requests in the same batch are correlated, so a mean varies more than one
	// of independent samples.
	varianceInflation = 1.5
	// minGroupRequests is the number of requests that an old group needs before
	// it counts for how often targets slow down by themselves.
	minGroupRequests = 8
	// MinComparedRequests is the number of requests of the old version from which the versions are
	// compared.
	MinComparedRequests = 2 * minGroupRequests
)

// comparison holds the cells of one route: those of both versions during the
// lookback, and those of the old version from before the new one.
type comparison struct {
	recent, before *Cells
	urgent         bool
	noTargetDrift  bool // assume no drift of single targets, see Config.Ungrouped
	// medianShift is the median change of the old groups' log latency since
	// before the move, for the latency metric where it is largest.
	medianShift float64
}

func (c *comparison) newCell(g int) *Cell { return &c.recent[newVersionBit|g] }
func (c *comparison) oldCell(g int) *Cell { return &c.recent[g] }

// latencyRatios returns the likelihood ratio of "slower by a fault" to "not
// slower than accepted", for every new group with samples and every old group
// with at least minGroupRequests. Each group's change since its own baseline on
// the old version is compared with the median change of the old groups, so that
// a slowdown of the whole zone cancels out.
func (c *comparison) latencyRatios(m Metric) (newRatios, oldRatios []float64) {
	variance, ok := c.logVariance(m)
	if !ok {
		return nil, nil
	}
	poolMean := c.baselineMean(m)
	var shifts, sizes []float64
	for g := range newVersionBit {
		observed := c.oldCell(g).moments(m)
		if observed.N >= minGroupRequests {
			expected, _ := shrunkMean(c.before[g].moments(m), poolMean, variance)
			shifts = append(shifts, observed.Mean()-expected)
			sizes = append(sizes, float64(observed.N))
		}
	}
	if len(shifts) == 0 {
		return nil, nil
	}
	driftVariance := targetDriftStdDev * targetDriftStdDev
	if c.noTargetDrift {
		driftVariance = 0
	}
	center, centerVar := weightedMedian(shifts, sizes, variance, driftVariance)
	c.medianShift = max(c.medianShift, center)
	ratio := func(observed, baseline Moments) float64 {
		expected, expectedVar := shrunkMean(baseline, poolMean, variance)
		shiftVar := varianceInflation*variance/float64(observed.N) + expectedVar + centerVar + driftVariance
		return shiftRatio(observed.Mean()-expected-center, shiftVar)
	}
	for g := range newVersionBit {
		if observed := c.oldCell(g).moments(m); observed.N >= minGroupRequests {
			oldRatios = append(oldRatios, ratio(observed, c.before[g].moments(m)))
		}
		if observed := c.newCell(g).moments(m); observed.N > 0 {
			newRatios = append(newRatios, ratio(observed, c.before[g].moments(m)))
		}
	}
	return newRatios, oldRatios
}

// logVariance returns the variance of a single log latency within a group. It
// returns false if there are too few samples.
func (c *comparison) logVariance(m Metric) (float64, bool) {
	var squares, degrees float64
	for g := range newVersionBit {
		for _, cell := range []*Cell{c.oldCell(g), c.newCell(g)} {
			moments := cell.moments(m)
			if moments.N > 1 {
				squares += moments.squaredDeviations()
				degrees += float64(moments.N - 1)
			}
		}
	}
	if degrees < MinComparedRequests {
		return 0, false
	}
	return max(squares/degrees, 0.01), true
}

// baselineMean returns the pool's mean log latency from before the new version,
// or during the lookback if this host has no samples from before.
func (c *comparison) baselineMean(m Metric) float64 {
	var before, during Moments
	for g := range newVersionBit {
		before.merge(c.before[g].moments(m))
		during.merge(c.oldCell(g).moments(m))
	}
	if before.N == 0 {
		return during.Mean()
	}
	return before.Mean()
}

// shrunkMean returns the mean of a group shrunk towards the pool's mean, and
// its variance. The fewer samples the group has, the closer the result is to
// the pool's mean.
func shrunkMean(group Moments, poolMean, sampleVar float64) (mean, variance float64) {
	const priorVar = targetSpreadStdDev * targetSpreadStdDev
	if group.N == 0 {
		return poolMean, priorVar
	}
	meanVar := varianceInflation * sampleVar / float64(group.N)
	weight := priorVar / (priorVar + meanVar)
	return weight*group.Mean() + (1-weight)*poolMean, meanVar * priorVar / (meanVar + priorVar)
}

// weightedMedian returns the median of the shifts weighted by sizes, and its
// variance.
func weightedMedian(shifts, sizes []float64, sampleVar, driftVariance float64) (center, variance float64) {
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
	values, weights := make([]float64, 0, len(order)), make([]float64, 0, len(order))
	for _, i := range order {
		values, weights = append(values, shifts[i]), append(weights, sizes[i])
	}
	const efficiency = math.Pi / 2 // variance of a median relative to that of a mean
	return stat.Quantile(0.5, stat.Empirical, values, weights),
		efficiency * (varianceInflation*sampleVar/total + driftVariance/float64(len(values)))
}

// shiftRatio returns the likelihood ratio for a log latency shift with the
// given variance, averaged over the fault factors. The null hypothesis is the
// accepted shift closest to the observed one.
func shiftRatio(shift, variance float64) float64 {
	nullShift := min(shift, acceptedLogFactor)
	var sum float64
	for _, faultShift := range faultLogFactors {
		sum += math.Exp(min(300,
			((shift-nullShift)*(shift-nullShift)-(shift-faultShift)*(shift-faultShift))/(2*variance)))
	}
	return sum / float64(len(faultLogFactors))
}

// countRatios is latencyRatios for failures and truncated answers.
func (c *comparison) countRatios(m Metric) (newRatios, oldRatios []float64) {
	var faults, requests float64
	for g := range newVersionBit {
		faults += float64(c.oldCell(g).faultCount(m))
		requests += float64(c.oldCell(g).Requests)
	}
	if requests < MinComparedRequests {
		return nil, nil
	}
	t := newCountTest(faults, requests)
	for g := range newVersionBit {
		if o := c.oldCell(g); o.Requests >= minGroupRequests {
			oldRatios = append(oldRatios, t.ratio(float64(o.faultCount(m)), float64(o.Requests)))
		}
		if f := c.newCell(g); f.Requests > 0 {
			newRatios = append(newRatios, t.ratio(float64(f.faultCount(m)), float64(f.Requests)))
		}
	}
	return newRatios, oldRatios
}

// countTest compares a group's fault rate with that of the old version.
type countTest struct {
	acceptedRate float64
	logFault     [4]float64 // logarithms of the fault rates under the alternative hypothesis
	logNoFault   [4]float64 // logarithms of 1 minus the fault rates
}

func newCountTest(faults, total float64) *countTest {
	// 0.4 faults in 20 requests are a prior of 2% for an old version with few
	// requests. 1.5 times the old version's rate is accepted.
	t := &countTest{acceptedRate: min(0.98, 1.5*(faults+0.4)/(total+20)+0.005)}
	for i, rate := range faultRates {
		rate = max(rate, min(0.99, 3*t.acceptedRate))
		t.logFault[i], t.logNoFault[i] = math.Log(rate), math.Log(1-rate)
	}
	return t
}

// ratio returns the likelihood ratio for k faults in n requests, averaged over
// the fault rates.
func (t *countTest) ratio(k, n float64) float64 {
	p := min(k/n, t.acceptedRate)
	var logNull float64
	if k > 0 {
		logNull = k * math.Log(p)
	}
	if n > k {
		logNull += (n - k) * math.Log(1-p)
	}
	var sum float64
	for i := range faultRates {
		sum += math.Exp(min(300, k*t.logFault[i]+(n-k)*t.logNoFault[i]-logNull))
	}
	return sum / float64(len(faultRates))
}
