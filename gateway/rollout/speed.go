package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/moves/analysis"
)

const (
	// A log gap is the natural logarithm of a gap between events relative to logGapReference, in
	// seconds, which keeps the reported numbers short.
	logGapReference = 0.015
	// maxReportedSpeeds bounds the speeds in one heartbeat. If there are more, each heartbeat
	// holds an arbitrary selection.
	maxReportedSpeeds = 40
)

// speedSum summarises the log gaps between events that were measured at one target.
type speedSum struct {
	count uint64
	// floor is the smallest log gap, which is close to that of the idle target. recent is a
	// moving average.
	floor, recent float64
}

// recentWeight is the weight of a new log gap in speedSum.recent.
const recentWeight = 0.2

// add counts one gap. Its logarithm is bounded, so that a single outlier cannot decide.
func (s *speedSum) add(gap time.Duration) {
	x := max(-peers.MaxLogGap, min(peers.MaxLogGap, math.Log(gap.Seconds()/logGapReference)))
	if s.count == 0 {
		s.floor, s.recent = x, x
	}
	s.count++
	s.floor = min(s.floor, x)
	s.recent += recentWeight * (x - s.recent)
}

// merge adds what another host has measured.
func (s *speedSum) merge(o speedSum) {
	if s.count == 0 {
		*s = o
		return
	}
	s.floor = min(s.floor, o.floor)
	s.recent = (float64(s.count)*s.recent + float64(o.count)*o.recent) / float64(s.count+o.count)
	s.count += o.count
}

// targetKey identifies a target while it runs one version. A target may be replaced in place, under
// the same name.
type targetKey struct {
	nameHash   uint32
	newVersion bool
}

// speeds holds the sums of one order since its start, by host and target. The counts of a host only
// grow, so a lost or repeated report does no harm.
type speeds map[string]map[targetKey]speedSum

// observe counts a gap that the host has measured at a target.
func (s speeds) observe(host, target string, newVersion bool, gap time.Duration) {
	key := targetKey{uint32(xxhash.Sum64String(target)), newVersion}
	sum := s.of(host)[key]
	sum.add(gap)
	s[host][key] = sum
}

func (s speeds) of(host string) map[targetKey]speedSum {
	if s[host] == nil {
		s[host] = map[targetKey]speedSum{}
	}
	return s[host]
}

// report returns the sums of the host for a heartbeat, at most maxReportedSpeeds.
func (s speeds) report(host string) []peers.TargetSpeed {
	var out []peers.TargetSpeed
	for key, v := range s[host] {
		if len(out) == maxReportedSpeeds {
			break
		}
		out = append(out, peers.TargetSpeed{
			Target: key.nameHash, NewVersion: key.newVersion, Count: v.count,
			Floor: int64(math.Round(v.floor * peers.LogGapScale)), Recent: int64(math.Round(v.recent * peers.LogGapScale)),
		})
	}
	return out
}

// mergeReport replaces older sums of a peer.
func (s speeds) mergeReport(from string, reported []peers.TargetSpeed) {
	for _, r := range reported {
		key := targetKey{r.Target, r.NewVersion}
		if r.Count > s.of(from)[key].count {
			s[from][key] = speedSum{r.Count, float64(r.Floor) / peers.LogGapScale, float64(r.Recent) / peers.LogGapScale}
		}
	}
}

// byVersion returns the sums over all hosts of the targets of each version, ordered by target.
func (s speeds) byVersion() (oldTargets, newTargets []speedSum) {
	sums := map[targetKey]speedSum{}
	for _, byTarget := range s {
		for key, v := range byTarget {
			sum := sums[key]
			sum.merge(v)
			sums[key] = sum
		}
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b targetKey) int { return cmp.Compare(a.nameHash, b.nameHash) })
	for _, key := range keys {
		if key.newVersion {
			newTargets = append(newTargets, sums[key])
		} else {
			oldTargets = append(oldTargets, sums[key])
		}
	}
	return oldTargets, newTargets
}

const (
	// hardwareStdDev is the standard deviation of the log gaps of idle targets of the same
	// hardware.
	hardwareStdDev = 0.08
	// unseenHardwareStdDev is the standard deviation of the log gaps of hardware that no old
	// target has. Such hardware has the weight of one old target.
	unseenHardwareStdDev = 1.0
	// minLoadDelay is the lower bound of the mean increase of a log gap by load.
	minLoadDelay = 0.05
	// The Beta prior (mean 1/3) of the probability that a target is slow independently of its
	// version.
	priorSlow, priorNotSlow = 0.5, 1.0
	// unaffectedShare is the assumed share of the targets of a slow version that are as fast as
	// those of the old one.
	unaffectedShare = 0.05
	// maxComparedTargets bounds the targets of each version that represent its distribution, and so
	// the cost of a comparison in large pools.
	maxComparedTargets = 32
	// logPriorSpeedup is the logarithm of the assumed probability of a version that is much faster,
	// relative to one of about the same speed. Without it, a slow version could pass for a faster
	// one on slower hardware.
	logPriorSpeedup = -5.0
	// minOldTargets is the number of measured old targets from which versions are compared.
	minOldTargets = 2
)

var (
	// faultFactors are the slowdowns that are tested.
	faultFactors = []float64{1.4, 1.7, 2, 2.5, 3.2, 4, 5, 6.5, 8, 12, 20}
	// acceptedFactors are the slowdowns without a fault.
	acceptedFactors = []float64{0.9, 0.95, 1, 1.05, 1.1}
	// speedupFactors are those of faster versions. Neighbours differ by less than two
	// hardwareStdDev, so that each speed-up is close to one of them.
	speedupFactors = []float64{0.1, 0.115, 0.13, 0.15, 0.17, 0.2, 0.23, 0.26, 0.3, 0.35, 0.4, 0.45, 0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85}
)

// SpeedEvidence is the result of a comparison of the speeds of both versions.
type SpeedEvidence struct {
	// LogRatio is the natural logarithm of the likelihood ratio of "slower" to "not slower".
	LogRatio float64
	// Factor is the most likely slowdown of a slow version.
	Factor float64
	// OldTargets and NewTargets are the numbers of measured targets, OldSamples and NewSamples
	// those of their samples.
	OldTargets, NewTargets int
	OldSamples, NewSamples uint64
}

// sufficient reports whether the evidence shows a slow version.
func (e SpeedEvidence) sufficient() bool { return e.LogRatio >= -math.Log(analysis.DefaultErrorRate) }

// suspect reports whether a slow version is 3 times more likely than one that is as fast as the
// old one. That suffices at the end of a rollout, where completing it is a decision too.
func (e SpeedEvidence) suspect() bool { return e.LogRatio >= math.Log(3) }

// reason states the evidence as the reason for a rollback.
func (e SpeedEvidence) reason() string {
	return fmt.Sprintf("time between events is %.1f times that of the old version (evidence e^%.1f, %d samples of %d targets)", e.Factor, e.LogRatio, e.NewSamples, e.NewTargets)
}

// compareSpeeds compares each new target with the distribution of the old ones, since a pool may
// mix hardware of very different speeds. Without a fault, the log gap of a new target is drawn
// from the smoothed distribution of the old ones; with a fault, it is drawn from the same
// distribution shifted by the logarithm of one factor, common to all new targets.
func compareSpeeds(oldTargets, newTargets []speedSum) SpeedEvidence {
	e := SpeedEvidence{OldTargets: len(oldTargets), NewTargets: len(newTargets), OldSamples: samples(oldTargets), NewSamples: samples(newTargets)}
	if len(oldTargets) < minOldTargets || len(newTargets) == 0 {
		return e
	}
	newTargets = quantiles(newTargets, maxComparedTargets)
	p := newSpeedPrior(oldTargets)
	e.LogRatio, e.Factor = p.evidence(newTargets, acceptedFactors)
	if ratio, factor := p.evidence(newTargets, speedupFactors); ratio-logPriorSpeedup < e.LogRatio {
		e.LogRatio, e.Factor = ratio-logPriorSpeedup, factor
	}
	return e
}

// evidence returns the log likelihood ratio of a slow version to the most likely of the slowdowns
// without a fault, and the most likely slowdown of a slow version.
func (p speedPrior) evidence(targets []speedSum, withoutFault []float64) (logRatio, factor float64) {
	best, accepted := math.Inf(-1), []float64(nil)
	for _, f := range withoutFault {
		densities := p.densities(targets, math.Log(f))
		if l := logLikelihood(densities); l > best {
			best, accepted = l, densities
		}
	}
	best = math.Inf(-1)
	sum := 0.0
	for _, f := range faultFactors {
		ratio := p.logRatio(p.densities(targets, math.Log(f)), accepted)
		sum += math.Exp(min(300, ratio)) // bounded, since math.Exp overflows above 709
		if ratio > best {
			best, factor = ratio, f
		}
	}
	return math.Log(sum / float64(len(faultFactors))), factor
}

func samples(targets []speedSum) uint64 {
	var n uint64
	for _, t := range targets {
		n += t.count
	}
	return n
}

// speedPrior models the distribution of the log gaps of the old targets.
type speedPrior struct {
	old []speedSum
	// mean is that of the floors, loadDelay the mean increase of a log gap by load.
	mean, loadDelay float64
}

func newSpeedPrior(old []speedSum) speedPrior {
	p := speedPrior{}
	for _, t := range old {
		p.mean += t.floor / float64(len(old))
		p.loadDelay += float64(t.count) * (t.recent - t.floor) / float64(samples(old))
	}
	p.loadDelay = max(minLoadDelay, p.loadDelay)
	p.old = quantiles(old, maxComparedTargets)
	return p
}

// quantiles returns at most n of the targets, which represent the distribution of their floors.
func quantiles(targets []speedSum, n int) []speedSum {
	if len(targets) <= n {
		return targets
	}
	sorted := slices.SortedFunc(slices.Values(targets), func(a, b speedSum) int { return cmp.Compare(a.floor, b.floor) })
	out := make([]speedSum, n)
	for i := range out {
		out[i] = sorted[(2*i+1)*len(sorted)/(2*n)]
	}
	return out
}

// density returns the density of the target's smallest log gap in the distribution of the old
// targets, shifted. A delay by load is included, since a target with few samples may never have
// been measured idle.
func (p speedPrior) density(t speedSum, shift float64) float64 {
	x := t.floor - p.mean - shift
	sum := math.Exp(-x*x/(2*unseenHardwareStdDev*unseenHardwareStdDev)) / (unseenHardwareStdDev * math.Sqrt(2*math.Pi))
	for _, o := range p.old {
		sum += delayedDensity(t.floor-o.floor-shift, hardwareStdDev, p.loadDelay)
	}
	return sum / float64(len(p.old)+1)
}

// negligibleDeviations is the number of standard deviations below the mean at which a density is
// negligible.
const negligibleDeviations = 6

// delayedDensity returns the density at x of the sum of a normal variable with mean 0 and an
// exponential one with the given mean.
func delayedDensity(x, stdDev, mean float64) float64 {
	if x < -negligibleDeviations*stdDev {
		return 0
	}
	ratio := stdDev / mean
	return math.Exp(ratio*ratio/2-x/mean) * math.Erfc((ratio-x/stdDev)/math.Sqrt2) / (2 * mean)
}

func (p speedPrior) densities(targets []speedSum, shift float64) []float64 {
	out := make([]float64, len(targets))
	for i, t := range targets {
		out[i] = p.density(t, shift)
	}
	return out
}

func logLikelihood(densities []float64) float64 {
	var sum float64
	for _, density := range densities {
		sum += math.Log(density)
	}
	return sum
}

// logRatio returns the log likelihood ratio of a fault to no fault, given the densities of the new
// targets in both cases. A target may also be slow independently of its version. The assumed
// probability of that rises with each slower target.
func (p speedPrior) logRatio(fault, accepted []float64) float64 {
	ratios := make([]float64, len(fault))
	for i := range fault {
		ratios[i] = fault[i] / accepted[i]
	}
	slices.SortFunc(ratios, func(a, b float64) int { return cmp.Compare(b, a) })
	var sum float64
	for i, ratio := range ratios {
		slow := (priorSlow + float64(i)) / (priorSlow + priorNotSlow + float64(len(p.old)+i))
		sum += math.Log(((1-unaffectedShare)*ratio + unaffectedShare) / (1 - slow + slow*ratio))
	}
	return sum
}
