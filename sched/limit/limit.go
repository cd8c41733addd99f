// Package limit adapts a concurrency limit per target: how many requests and tokens a target
// can have in progress while its time to first token and its inter-token latency meet their
// goals.
package limit

import (
	"math"
	"time"
)

// Config configures a Limiter.
type Config struct {
	// Initial, Min and Max are the initial limit and its bounds, in requests.
	Initial, Min, Max float64
	// InitialTokens is the initial limit in tokens; 0 disables the token limit.
	InitialTokens float64
	// TimeToFirstToken and InterTokenLatency are the goals. A target whose unloaded times
	// do not meet them gets a multiple of its unloaded times as goals instead.
	TimeToFirstToken, InterTokenLatency time.Duration
	// PlainService is true if responses have no tokens. Only the time to the first byte is
	// used, and its goal is a multiple of the target's own unloaded time.
	PlainService bool
}

const (
	// adaptInterval is the window after which the limit is adapted. Five windows a second
	// let the limit of a target that slows down threefold fall within a second.
	adaptInterval = 200 * time.Millisecond
	// goalFraction is the fraction of the goal that the mean must meet, because the goal
	// applies to the 95th percentile.
	goalFraction = 0.9
	// interTokenSlack and firstTokenSlack are the multiples of the unloaded times that
	// serve as goals where the configured goals are shorter.
	interTokenSlack = 1.3
	firstTokenSlack = 2.0
	// A plain service's goal is its unloaded time times serviceSlack plus
	// serviceSlackTime. The slack is wide because calls of one service differ a
	// hundredfold in length: the mean of serviceSamples of them varies by a fifth.
	// serviceStallFactor is the multiple of the mean from which one call counts as stuck.
	serviceSlack       = 3.0
	serviceSlackTime   = 50 * time.Millisecond
	serviceSamples     = 32
	serviceStallFactor = 10
	// growth is the relative growth per window while the limit is used and the goals are
	// met. It shrinks where less than fullGrowthMargin is left to the goal, and the limit
	// stays unchanged from growthMaxRatio of the goal to the goal.
	growth            = 0.05
	minGrowthRequests = 0.25
	fullGrowthMargin  = 0.2
	growthMaxRatio    = 0.97
	// gentleCutExponent is the exponent of the cut factor where the goal is missed by less
	// than gentleCutMaxRatio: the work in progress takes many windows to shrink to the limit.
	gentleCutExponent = 0.25
	gentleCutMaxRatio = 1.3
	// growthMinUse is the fraction of the limit that must be in use for it to grow. For
	// small limits, all but growthSpareRequests requests are enough, because hosts whose
	// shares are fractions of a request rarely use a limit of 3 at the same time.
	growthMinUse        = 0.75
	growthSpareRequests = 2
	// minCutFactor bounds the cut of one window, so that one outlier cannot reduce a target
	// to almost nothing.
	minCutFactor = 0.3
	// minFirstTokenCutFactor bounds cuts for late first tokens. It is milder, because a
	// burst of prompts lengthens first-token times without the limit being too high.
	minFirstTokenCutFactor = 0.8
	// firstTokenOverload is the multiple of the first-token goal from which the limit
	// counts as too high. Below it, the delay may come from one long prompt ahead, where
	// fewer requests in progress would not help.
	firstTokenOverload = 2.0
	// firstTokenSampleWeight is the weight of one first-token time in the moving average.
	firstTokenSampleWeight = 0.2
	// tailQuantile is the quantile of the inter-token latency that must meet the goal. A
	// caller notices the steps in which the target also computes a long prompt, which the
	// mean hides. tailStepFraction is the sum of the largest steps up and down of the
	// estimate, as a fraction of the goal.
	tailQuantile     = 0.98
	tailStepFraction = 0.03
	// tailGoalFactor is the goal of the tail quantile as a multiple of that of the mean.
	tailGoalFactor = 0.97
	// minimumWindow is the window over which the minimum inter-token latency is kept. If
	// the minimum of at least unfitMinSamples over at least unfitMinDuration exceeds the
	// goal, the target cannot meet the goal at any load; a slow target with one stream
	// gives two samples a second. unfitSlack is the multiple of the minimum that serves as
	// the goal of such a target, which then runs requests without a latency goal.
	minimumWindow    = 10 * time.Second
	unfitMinDuration = 2 * time.Second
	unfitMinSamples  = 6
	unfitSlack       = 2.5
	// tailMaxFactor bounds the tail quantile to this multiple of the current mean, so that
	// the tail of a target that was slow recovers with its mean. The slowest engines of the
	// benchmark have a ratio of 1.3.
	tailMaxFactor = 1.5
	// baselineDriftPerSecond lets a baseline that is too low, because of favourable
	// conditions or a single outlier, rise by 0.1% per second.
	baselineDriftPerSecond = 0.001
	// unloadedMaxRequests is the number of requests in progress up to which a target counts
	// as unloaded. Without it, the baseline of a target that is always full would rise to
	// its loaded times.
	unloadedMaxRequests = 2.5
	// minPrefillTokens is the number of uncached prompt tokens from which a request is
	// used to measure the prefill time per token. For shorter prompts, the fixed part of
	// the first-token time would dominate.
	minPrefillTokens = 64
	// smoothingTime is the time constant of the moving averages.
	smoothingTime = 300 * time.Millisecond
	// queuedGrowthPause is how long the limit does not grow after the target reported
	// requests in its queue.
	queuedGrowthPause = time.Second
)

// Limiter holds the limits of one target and the measurements they depend on. It is not safe
// for concurrent use.
type Limiter struct {
	cfg          Config
	requestLimit float64
	tokenLimit   float64
	interToken   measurement
	// tail estimates the tailQuantile quantile of the inter-token latency, in seconds.
	tail float64
	// minimums holds the minimum inter-token latency of the current and the previous
	// minimumWindow, in seconds, and minimumSamples the numbers of their samples.
	minimums         [2]float64
	minimumSamples   [2]int
	minimumWindowEnd time.Time
	// firstToken is the time to the first byte relative to its goal, which depends on the
	// prompt.
	firstToken measurement
	// prefill is the time per prompt token, and callTime the mean call time of a plain
	// service, in seconds. Only their baselines are used.
	prefill  measurement
	callTime measurement
	// meanCallTime is the moving average of a plain service's call time in seconds, from
	// callCount calls.
	meanCallTime   float64
	callCount      int
	windowEnd      time.Time
	sampledWindows int
	lastSample     time.Time
	noGrowthUntil  time.Time
	peakRequests   float64
	peakTokens     float64
}

// New returns a limiter at its initial limit.
func New(c Config) *Limiter {
	c.Min = max(c.Min, 1)
	c.Max = max(c.Max, c.Min)
	return &Limiter{cfg: c, requestLimit: min(max(c.Initial, c.Min), c.Max), tokenLimit: c.InitialTokens}
}

// RequestLimit returns the limit of requests in progress at the target over all hosts.
func (l *Limiter) RequestLimit() float64 { return l.requestLimit }

// TokenLimit returns the limit of tokens in progress over all hosts; 0 is unlimited.
func (l *Limiter) TokenLimit() float64 { return l.tokenLimit }

// SampledWindows returns how many windows of this host's own samples have adapted the limit.
func (l *Limiter) SampledWindows() int { return l.sampledWindows }

// LastSample returns when this host last measured the target itself.
func (l *Limiter) LastSample() time.Time { return l.lastSample }

// RecordInterTokenLatency records that a stream's last tokenCount tokens took d, while the
// target had the given requests and tokens in progress over all hosts.
func (l *Limiter) RecordInterTokenLatency(d time.Duration, tokenCount int, requests, tokens float64, now time.Time) {
	if tokenCount <= 0 || d < 0 {
		return
	}
	v := d.Seconds() / float64(tokenCount)
	l.interToken.addSample(v, requests <= unloadedMaxRequests, now)
	l.updateTail(v)
	l.updateMinimum(v, now)
	l.adapt(requests, tokens, now)
}

// RecordFirstByte records the time to the first byte of a request, of whose prompt uncached
// tokens were not in the prefix cache.
func (l *Limiter) RecordFirstByte(d time.Duration, uncached int, requests, tokens float64, now time.Time) {
	s := d.Seconds()
	if l.cfg.PlainService {
		l.recordCall(s, requests, now)
		l.adapt(requests, tokens, now)
		return
	}
	if uncached >= minPrefillTokens {
		l.prefill.updateBaseline(s/float64(uncached), requests <= unloadedMaxRequests, now)
	}
	l.firstToken.addWeighted(s/l.firstByteGoal(uncached), firstTokenSampleWeight, now)
	l.adapt(requests, tokens, now)
}

// recordCall records the time s, in seconds, of a call to a plain service. Only the mean of
// many calls is compared with the minimum of the mean: a single long call does not
// indicate high load.
func (l *Limiter) recordCall(s, requests float64, now time.Time) {
	l.callCount++
	l.meanCallTime += (s - l.meanCallTime) / float64(min(l.callCount, serviceSamples))
	if l.callCount < serviceSamples {
		return
	}
	l.callTime.updateBaseline(l.meanCallTime, requests <= unloadedMaxRequests, now)
	l.firstToken.current, l.firstToken.sampledAt = l.meanCallTime/l.firstByteGoal(0), now
}

// RecordStall records an unfinished wait: a request has waited d for its first byte if
// received is 0, else a stream has waited d for its next token. It only ever raises the
// measured times and so lowers the limit.
func (l *Limiter) RecordStall(d time.Duration, received, uncached int, requests, tokens float64, now time.Time) {
	if l.cfg.PlainService {
		if ratio := d.Seconds() / (serviceStallFactor * l.meanCallTime); l.callCount >= serviceSamples && ratio > 1 {
			l.firstToken.raiseTo(ratio)
			l.adapt(requests, tokens, now)
		}
		return
	}
	if received == 0 {
		ratio := d.Seconds() / l.firstByteGoal(uncached)
		if ratio > 1 {
			l.firstToken.raiseTo(ratio)
			l.adapt(requests, tokens, now)
		}
		return
	}
	if d.Seconds() > l.interToken.current {
		l.interToken.raiseTo(d.Seconds())
		l.adapt(requests, tokens, now)
	}
}

// firstByteGoal returns the goal for the time to the first byte, in seconds.
func (l *Limiter) firstByteGoal(uncached int) float64 {
	if l.cfg.PlainService {
		if l.callTime.baseline == 0 {
			return l.cfg.TimeToFirstToken.Seconds()
		}
		return l.callTime.baseline*serviceSlack + serviceSlackTime.Seconds()
	}
	prefillTime := firstTokenSlack * l.prefill.baseline * float64(uncached)
	return max(l.cfg.TimeToFirstToken.Seconds()*goalFraction, prefillTime)
}

// interTokenGoal returns the goal for the inter-token latency, in seconds.
func (l *Limiter) interTokenGoal() float64 {
	goal := l.cfg.InterTokenLatency.Seconds() * goalFraction
	if l.cannotMeetGoal() {
		return unfitSlack * l.recentMinimum()
	}
	if !l.interToken.baselineUnloaded {
		return goal
	}
	return max(goal, l.interToken.baseline*interTokenSlack)
}

// MaxGoalRatio returns the highest ratio of a current time to its goal. Above 1, the target
// has too much work in progress.
func (l *Limiter) MaxGoalRatio() float64 {
	ratio := l.firstToken.current / l.firstByteOverload()
	if !l.cfg.PlainService && l.interToken.current > 0 {
		ratio = max(ratio, l.interTokenRatio())
	}
	return ratio
}

// firstByteOverload returns the multiple of the first-byte goal from which the limit counts as
// too high.
func (l *Limiter) firstByteOverload() float64 {
	if l.cfg.PlainService {
		return 1
	}
	return firstTokenOverload
}

// GoalRatio returns the current latency of the target relative to its goal: the inter-token
// latency of an engine, or the mean call time of a plain service. It is 0 without samples.
// Late first tokens of an engine are left out, because a burst causes them too.
func (l *Limiter) GoalRatio() float64 {
	if l.cfg.PlainService {
		return l.firstToken.current
	}
	return l.interToken.current / l.interTokenGoal()
}

// RecentlyMeasured reports whether GoalRatio includes a completed measurement of the last
// 200 ms, rather than only an unfinished wait, which one unresponsive connection causes too.
func (l *Limiter) RecentlyMeasured(now time.Time) bool {
	at := l.interToken.sampledAt
	if l.cfg.PlainService {
		at = l.firstToken.sampledAt
	}
	return now.Sub(at) < adaptInterval
}

// adapt updates the limits once per adaptInterval. requests and tokens are the work in
// progress over all hosts; the window's highest values are used.
func (l *Limiter) adapt(requests, tokens float64, now time.Time) {
	l.lastSample = now
	l.peakRequests = max(l.peakRequests, requests)
	l.peakTokens = max(l.peakTokens, tokens)
	if now.Before(l.windowEnd) {
		return
	}
	peak, peakTokens := max(l.peakRequests, 1), l.peakTokens
	l.peakRequests, l.peakTokens = 0, 0
	l.windowEnd = now.Add(adaptInterval)
	l.sampledWindows++
	ratio := l.MaxGoalRatio()
	switch {
	case ratio > 1:
		cut := l.cutFactor()
		l.requestLimit = cutLimit(l.requestLimit, peak, cut)
		if l.tokenLimit > 0 {
			l.tokenLimit = cutLimit(l.tokenLimit, peakTokens, cut)
		}
	case ratio < growthMaxRatio && now.After(l.noGrowthUntil):
		l.grow(peak, peakTokens, growth*min(1, (1-ratio)/fullGrowthMargin))
	}
	l.clamp()
}

// cutFactor returns the factor by which the limits of a target that misses a goal are cut.
func (l *Limiter) cutFactor() float64 {
	cut := 1.0
	if ratio := l.firstToken.current / l.firstByteOverload(); ratio > 1 {
		cut = max(minFirstTokenCutFactor, 1/ratio)
	}
	if ratio := l.interTokenRatio(); ratio > 1 {
		cut = min(cut, max(minCutFactor, 1/ratio))
	}
	return cut
}

// grow raises those limits that the window's peak work has used, by the given fraction.
func (l *Limiter) grow(peak, peakTokens, fraction float64) {
	if peak >= min(growthMinUse*l.requestLimit, l.requestLimit-growthSpareRequests) {
		l.requestLimit += max(minGrowthRequests*fraction/growth, fraction*l.requestLimit)
	}
	if l.tokenLimit > 0 && peakTokens >= growthMinUse*l.tokenLimit {
		l.tokenLimit *= 1 + fraction
	}
}

func (l *Limiter) clamp() {
	l.requestLimit = min(max(l.requestLimit, l.cfg.Min), l.cfg.Max)
}

// cutLimit returns a limit reduced by the factor. Repeated cuts while the same work drains do
// not go below factor times the work in progress. The work in progress is an estimate that may
// be far too low, so one cut never goes below factor times the limit.
func cutLimit(limit, inProgress, factor float64) float64 {
	step := factor
	if factor > 1/gentleCutMaxRatio {
		step = math.Pow(factor, gentleCutExponent)
	}
	return min(limit, max(limit*step, inProgress*factor))
}

// RecordQueued records that the target reported requests in its queue, and cuts the limit to
// the running requests. Queueing at the target has no use: engines admit requests in arrival
// order, so a queued urgent request cannot overtake others there.
func (l *Limiter) RecordQueued(running, queued int, now time.Time) {
	if queued < 2 || running < 1 {
		return
	}
	l.requestLimit = min(l.requestLimit, max(float64(running), l.cfg.Min))
	l.noGrowthUntil = now.Add(queuedGrowthPause)
	l.clamp()
}

// BlendLimit moves the limit towards that of a peer or of targets of the same class, with the
// given weight in 0..1. It is meant for targets without samples of this host.
func (l *Limiter) BlendLimit(limit, weight float64) {
	l.requestLimit += (limit - l.requestLimit) * weight
	l.clamp()
}

// CapLimit lowers the limit to at most the given one, from a peer that measures that the
// target misses its goals.
func (l *Limiter) CapLimit(limit float64) {
	l.requestLimit = min(l.requestLimit, limit)
	l.clamp()
}

// Slowdown returns the ratio of the target's current time to its baseline, or to its goal for
// a plain service. It is at least 1.
func (l *Limiter) Slowdown() float64 {
	if l.cfg.PlainService {
		return max(1, l.firstToken.current)
	}
	if l.interToken.baseline == 0 {
		return 1
	}
	return max(1, l.interToken.current/l.interToken.baseline)
}

// TokenTimes returns the current inter-token latency and the baseline of the prefill time per
// prompt token, in seconds, or the given defaults where there is no sample.
func (l *Limiter) TokenTimes(interToken, prefill float64) (float64, float64) {
	if l.interToken.current > 0 {
		interToken = l.interToken.current
	}
	if l.prefill.baseline > 0 {
		prefill = l.prefill.baseline
	}
	return interToken, prefill
}
