package limit

import "time"

func (l *Limiter) noteLeast(v float64, now time.Time) {
	if !now.Before(l.leastEnd) {
		l.least[1], l.counts[1] = l.least[0], l.counts[0]
		l.least[0], l.counts[0] = v, 0
		l.leastEnd = now.Add(leastWindow)
	}
	l.least[0] = min(l.least[0], v)
	l.counts[0]++
}

// Fit reports whether the target can meet the goal for the time between tokens
// at some load. It can as far as is known if it was not used lately.
func (l *Limiter) CanMeetGoal(now time.Time) bool {
	return !l.unfit() || now.Sub(l.lastOwn) > leastWindow/2
}

func (l *Limiter) unfit() bool {
	if l.cfg.PlainService || l.counts[0]+l.counts[1] < leastSamples {
		return false
	}
	if start := l.leastEnd.Add(-leastWindow); l.counts[1] == 0 && l.lastOwn.Sub(start) < leastTime {
		return false
	}
	return l.leastRecent() > l.cfg.InterTokenLatency.Seconds()
}

func (l *Limiter) leastRecent() float64 {
	if l.counts[1] == 0 {
		return l.least[0]
	}
	return min(l.least[0], l.least[1])
}

func (l *Limiter) moveTail(v float64) {
	if l.tail == 0 {
		l.tail = v
	}
	step := tailStep * l.cfg.InterTokenLatency.Seconds()
	if v > l.tail {
		l.tail += min(step*tailPart, v-l.tail)
	} else {
		l.tail -= min(step*(1-tailPart), l.tail-v)
	}
	l.tail = min(l.tail, tailMost*max(l.between.now, v))
}

// gapPressure returns the time between tokens relative to its goal.
func (l *Limiter) gapPressure() float64 {
	goal := l.betweenGoal()
	return max(l.between.now/goal, l.tail/(goal*tailGoal))
}
