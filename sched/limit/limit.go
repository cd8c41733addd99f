// Package limit learns how many requests and tokens a target can have in
// progress before its time to first token or between tokens leaves the goal.
package limit

import (
	"math"
	"time"
)

// Config sets the goals of a limiter.
type Config struct {
	// Initial, Min and Max bound the limit in requests.
	Initial, Min, Max float64
	// Tokens is the initial limit in tokens; 0 is unlimited until learned.
	InitialTokens float64
	// FirstToken and BetweenTokens are the goals. A target whose unloaded times
	// are longer is held to a multiple of those instead.
	TimeToFirstToken, InterTokenLatency time.Duration
	// Service says that answers have no tokens: only the first byte counts,
	// against the target's own unloaded time.
	PlainService bool
}

const (
	// window is how often the limit is adapted. Five windows a second let a
	// target that slows down threefold lose its share within a second.
	adaptInterval = 200 * time.Millisecond
	// goalPart keeps the mean below the goal, because the goal holds for the
	// 95th percentile.
	goalFraction = 0.9
	// betweenSlack and firstSlack are the multiples of the unloaded times that
	// are tolerated where the goal itself is shorter.
	interTokenSlack = 1.3
	firstTokenSlack = 2.0
	// serviceSlack is wide because calls of one service differ a hundredfold in
	// length: the mean of serviceSamples of them varies by a fifth. serviceStall
	// is the multiple of the mean from which one call counts as stuck.
	serviceSlack       = 3.0
	serviceSlackTime   = 50 * time.Millisecond
	serviceSamples     = 32
	serviceStallFactor = 10
	// growth per window while the limit is in use and the goals are met; it
	// shrinks where less than growFull is left to the goal, and nothing changes
	// from steady to the goal.
	growth            = 0.05
	minGrowthRequests = 0.25
	fullGrowthMargin  = 0.2
	growthMaxRatio    = 0.97
	// gentle is the exponent of a cut where the goal is missed by less than
	// farOff: the work in progress takes many windows to shrink to the limit.
	gentleCutExponent = 0.25
	gentleCutMaxRatio = 1.3
	// used is the part of the limit that must be in use for it to grow. For
	// small limits all but spare requests suffice, because hosts that hold
	// fractions of a request rarely use a limit of 3 at the same time.
	growthMinUse        = 0.75
	growthSpareRequests = 2
	// maxCut bounds the cut of one window, so that one outlier cannot close a
	// target.
	minCutFactor = 0.3
	// maxFirstCut is milder: a burst of prompts at once lengthens first-token
	// times without the limit being too high.
	minFirstTokenCutFactor = 0.8
	// firstOver is the multiple of the first-token goal from which the limit is
	// too high: one long prompt ahead delays first tokens as well, and fewer
	// requests in progress would not help then.
	firstTokenOverload = 2.0
	// firstWeight is the weight of one first-token time.
	firstTokenSampleWeight = 0.2
	// tailPart is the quantile of the time between tokens that is held to the
	// goal. A caller notices the steps in which the target also computes a long
	// prompt, which the mean hides. tailStep is the part of the goal by which the
	// estimate moves up or down in all.
	tailQuantile     = 0.98
	tailStepFraction = 0.03
	// tailGoal is the goal of the tail as a multiple of that of the mean.
	tailGoalFactor = 0.97
	// leastWindow is the time over which the least time between tokens is kept.
	// leastSamples in leastTime or more say that a target cannot meet the goal at
	// any load if even the least exceeds it; a slow target with one stream gives
	// two samples a second. unfitSlack is the multiple of that time up to which
	// such a target is filled with work that has no goal.
	minimumWindow    = 10 * time.Second
	unfitMinDuration = 2 * time.Second
	unfitMinSamples  = 6
	unfitSlack       = 2.5
	// tailMost bounds the tail by the current mean, so that a target which was slow
	// recovers with its mean; the slowest engines of the benchmark have 1.3.
	tailMaxFactor = 1.5
	// drift lets an unloaded value that was learned in a good hour, or from one
	// lucky sample, rise by 0.1% per second.
	baselineDriftPerSecond = 0.001
	// unloadedAt is the work in progress up to which a target counts as
	// unloaded. Without it, a target that is always full would make its loaded
	// times the measure.
	unloadedMaxRequests = 2.5
	// minPrefill keeps the fixed part of the first-token time out of the
	// prefill time per token.
	minPrefillTokens = 64
	// fast is the time constant of the current values.
	smoothingTime = 300 * time.Millisecond
	// queuePause stops growth after the target reported requests in its queue.
	queuedGrowthPause = time.Second
)

// Limiter holds what was learned about one target. It is not safe for
// concurrent use.
type Limiter struct {
	cfg          Config
	requestLimit float64
	tokenLimit   float64
	interToken   measurement
	// tail estimates the tailPart quantile of the time between tokens.
	tail float64
	// least holds the least time between tokens of the current and the previous
	// leastWindow.
	minimums         [2]float64
	minimumSamples   [2]int
	minimumWindowEnd time.Time
	// first is relative to its goal, which depends on the prompt.
	firstToken measurement
	// prefill is the time per prompt token, and unloaded the time of a plain
	// service; both keep only their least values, in seconds.
	prefill  measurement
	callTime measurement
	// mean is the smoothed time of a plain service in seconds, from calls answers.
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

// Requests returns the limit of requests in progress over all hosts.
func (l *Limiter) RequestLimit() float64 { return l.requestLimit }

// Tokens returns the limit of tokens in progress over all hosts; 0 is none.
func (l *Limiter) TokenLimit() float64 { return l.tokenLimit }

// Windows returns how many windows of own samples shaped the limit.
func (l *Limiter) SampledWindows() int { return l.sampledWindows }

// LastSample returns when the host last saw the target itself.
func (l *Limiter) LastSample() time.Time { return l.lastSample }

// Between records that a stream's last n tokens took d, while the target had
// the given work in progress over all hosts.
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

// First records the time to the first byte of a request with the given number
// of prompt tokens that were not in the prefix cache.
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

// serve records the time of a call to a plain service. Only the mean of many
// calls is compared with the least mean so far: a single long call says nothing
// about the load.
func (l *Limiter) recordCall(s, requests float64, now time.Time) {
	l.callCount++
	l.meanCallTime += (s - l.meanCallTime) / float64(min(l.callCount, serviceSamples))
	if l.callCount < serviceSamples {
		return
	}
	l.callTime.updateBaseline(l.meanCallTime, requests <= unloadedMaxRequests, now)
	l.firstToken.current, l.firstToken.sampledAt = l.meanCallTime/l.firstByteGoal(0), now
}

// Stalled records that a request has waited d for its first byte so far, or
// that a stream has waited d for its next token where n is 1. It only ever
// lowers the limit.
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

// firstGoal returns the goal for the first byte in seconds.
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

// betweenGoal returns the goal between tokens in seconds.
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

// Pressure returns the current times relative to their goals; above 1 the
// target is too slow.
func (l *Limiter) MaxGoalRatio() float64 {
	p := l.firstToken.current / l.firstByteOverload()
	if !l.cfg.PlainService && l.interToken.current > 0 {
		p = max(p, l.interTokenRatio())
	}
	return p
}

// firstOver returns the multiple of the first-token goal that counts as too
// much work in progress.
func (l *Limiter) firstByteOverload() float64 {
	if l.cfg.PlainService {
		return 1
	}
	return firstTokenOverload
}

// Slow returns how far the target itself misses its goals, 0 if nothing is
// known: the time between tokens of an engine, or the whole time of a plain
// service, relative to the goal. Late first tokens of an engine are left out,
// because a burst causes them too.
func (l *Limiter) GoalRatio() float64 {
	if l.cfg.PlainService {
		return l.firstToken.current
	}
	return l.interToken.current / l.interTokenGoal()
}

// Measured reports whether Slow rests on a measurement of the last 200 ms
// rather than on a wait, which one silent connection causes too.
func (l *Limiter) RecentlyMeasured(now time.Time) bool {
	at := l.interToken.sampledAt
	if l.cfg.PlainService {
		at = l.firstToken.sampledAt
	}
	return now.Sub(at) < adaptInterval
}

// adapt moves the limit once per window.
func (l *Limiter) adapt(requests, tokens float64, now time.Time) {
	l.lastSample = now
	l.peakRequests = max(l.peakRequests, requests)
	l.peakTokens = max(l.peakTokens, tokens)
	if now.Before(l.windowEnd) {
		return
	}
	peak, peakTok := max(l.peakRequests, 1), l.peakTokens
	l.peakRequests, l.peakTokens = 0, 0
	l.windowEnd = now.Add(adaptInterval)
	l.sampledWindows++
	p := l.MaxGoalRatio()
	switch {
	case p > 1:
		cut := l.cutFactor()
		l.requestLimit = cutLimit(l.requestLimit, peak, cut)
		if l.tokenLimit > 0 {
			l.tokenLimit = cutLimit(l.tokenLimit, peakTok, cut)
		}
	case p < growthMaxRatio && now.After(l.noGrowthUntil):
		l.grow(peak, peakTok, growth*min(1, (1-p)/fullGrowthMargin))
	}
	l.clamp()
}

// cut returns the factor for a target that misses a goal.
func (l *Limiter) cutFactor() float64 {
	cut := 1.0
	if p := l.firstToken.current / l.firstByteOverload(); p > 1 {
		cut = max(minFirstTokenCutFactor, 1/p)
	}
	if p := l.interTokenRatio(); p > 1 {
		cut = min(cut, max(minCutFactor, 1/p))
	}
	return cut
}

func (l *Limiter) grow(peak, peakTok, fraction float64) {
	if peak >= min(growthMinUse*l.requestLimit, l.requestLimit-growthSpareRequests) {
		l.requestLimit += max(minGrowthRequests*fraction/growth, fraction*l.requestLimit)
	}
	if l.tokenLimit > 0 && peakTok >= growthMinUse*l.tokenLimit {
		l.tokenLimit *= 1 + fraction
	}
}

func (l *Limiter) clamp() {
	l.requestLimit = min(max(l.requestLimit, l.cfg.Min), l.cfg.Max)
}

// lower cuts a limit. Repeated cuts while the same work drains do not go below
// what the work in progress calls for. That work is an estimate, which may be
// far too low, so one cut goes no further than by its factor.
func cutLimit(limit, inProgress, factor float64) float64 {
	step := factor
	if factor > 1/gentleCutMaxRatio {
		step = math.Pow(factor, gentleCutExponent)
	}
	return min(limit, max(limit*step, inProgress*factor))
}

// Queued records that the target reported requests in its queue: more in
// progress than running has no use, because engines admit in arrival order and
// a queued urgent request cannot overtake there.
func (l *Limiter) RecordQueued(running, queued int, now time.Time) {
	if queued < 2 || running < 1 {
		return
	}
	l.requestLimit = min(l.requestLimit, max(float64(running), l.cfg.Min))
	l.noGrowthUntil = now.Add(queuedGrowthPause)
	l.clamp()
}

// Adopt moves the limit to that of peers or of targets of the same class, with
// the given weight in 0..1. It is meant for targets without own samples.
func (l *Limiter) BlendLimit(limit, weight float64) {
	l.requestLimit += (limit - l.requestLimit) * weight
	l.clamp()
}

// Lower lowers the limit to that of a peer that sees the target miss its goals.
func (l *Limiter) CapLimit(limit float64) {
	l.requestLimit = min(l.requestLimit, limit)
	l.clamp()
}

// Slowdown returns how many times slower than unloaded the target is, at
// least 1.
func (l *Limiter) Slowdown() float64 {
	if l.cfg.PlainService {
		return max(1, l.firstToken.current)
	}
	if l.interToken.baseline == 0 {
		return 1
	}
	return max(1, l.interToken.current/l.interToken.baseline)
}

// Speeds returns the current time between tokens and the unloaded prefill time
// per prompt token, in seconds, or the given defaults where nothing is known.
func (l *Limiter) TokenTimes(interToken, prefill float64) (float64, float64) {
	if l.interToken.current > 0 {
		interToken = l.interToken.current
	}
	if l.prefill.baseline > 0 {
		prefill = l.prefill.baseline
	}
	return interToken, prefill
}
