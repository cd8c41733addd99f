package limit

import "time"

// updateMinimum adds an inter-token latency to the minimum of the current window.
func (l *Limiter) updateMinimum(v float64, now time.Time) {
	if !now.Before(l.minimumWindowEnd) {
		l.minimums[1], l.minimumSamples[1] = l.minimums[0], l.minimumSamples[0]
		l.minimums[0], l.minimumSamples[0] = v, 0
		l.minimumWindowEnd = now.Add(minimumWindow)
	}
	l.minimums[0] = min(l.minimums[0], v)
	l.minimumSamples[0]++
}

// CanMeetGoal reports whether the target can meet the inter-token goal at some load. It also
// returns true if this host has no sample of the last half minimumWindow.
func (l *Limiter) CanMeetGoal(now time.Time) bool {
	return !l.cannotMeetGoal() || now.Sub(l.lastSample) > minimumWindow/2
}

// cannotMeetGoal reports whether even the recent minimum inter-token latency exceeds the goal.
// It returns false if there are too few samples.
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

// updateTail moves the tail estimate towards a sample: up by at most tailQuantile of a step,
// down by at most the rest of it, so that it settles at the tailQuantile quantile.
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

// interTokenRatio returns the higher ratio to their goals of the mean and the tail of the
// inter-token latency.
func (l *Limiter) interTokenRatio() float64 {
	goal := l.interTokenGoal()
	return max(l.interToken.current/goal, l.tail/(goal*tailGoalFactor))
}
