package limit

import "time"

func (l *Limiter) updateMinimum(v float64, now time.Time) {
	if !now.Before(l.minimumWindowEnd) {
		l.minimums[1], l.minimumSamples[1] = l.minimums[0], l.minimumSamples[0]
		l.minimums[0], l.minimumSamples[0] = v, 0
		l.minimumWindowEnd = now.Add(minimumWindow)
	}
	l.minimums[0] = min(l.minimums[0], v)
	l.minimumSamples[0]++
}

// Fit reports whether the target can meet the goal for the time between tokens
// at some load. It can as far as is known if it was not used lately.
func (l *Limiter) CanMeetGoal(now time.Time) bool {
	return !l.cannotMeetGoal() || now.Sub(l.lastSample) > minimumWindow/2
}

func (l *Limiter) cannotMeetGoal() bool {
	if l.cfg.PlainService || l.minimumSamples[0]+l.minimumSamples[1] < unfitMinSamples {
		return false
	}
	if start := l.minimumWindowEnd.Add(-minimumWindow); l.minimumSamples[1] == 0 && l.lastSample.Sub(start) < unfitMinDuration {
		return false
	}
	return l.recentMinimum() > l.cfg.InterTokenLatency.Seconds()
}

func (l *Limiter) recentMinimum() float64 {
	if l.minimumSamples[1] == 0 {
		return l.minimums[0]
	}
	return min(l.minimums[0], l.minimums[1])
}

func (l *Limiter) updateTail(v float64) {
	if l.tail == 0 {
		l.tail = v
	}
	step := tailStepFraction * l.cfg.InterTokenLatency.Seconds()
	if v > l.tail {
		l.tail += min(step*tailQuantile, v-l.tail)
	} else {
		l.tail -= min(step*(1-tailQuantile), l.tail-v)
	}
	l.tail = min(l.tail, tailMaxFactor*max(l.interToken.current, v))
}

// gapPressure returns the time between tokens relative to its goal.
func (l *Limiter) interTokenRatio() float64 {
	goal := l.interTokenGoal()
	return max(l.interToken.current/goal, l.tail/(goal*tailGoalFactor))
}
