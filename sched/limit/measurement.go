package limit

import (
	"math"
	"time"
)

// measurement is one measured quantity: a moving average and a slowly rising minimum.
type measurement struct {
	current, baseline     float64
	sampledAt, baselineAt time.Time
	// baselineUnloaded is true if a sample of the unloaded target was included in baseline.
	baselineUnloaded bool
}

// addSample adds a sample that is weighted by the time since the previous one.
func (s *measurement) addSample(v float64, unloaded bool, now time.Time) {
	s.updateBaseline(v, unloaded, now)
	if s.current == 0 {
		s.current, s.sampledAt = v, now
		return
	}
	dt := max(now.Sub(s.sampledAt).Seconds(), 0.01)
	s.current += (v - s.current) * (1 - math.Exp(-dt/smoothingTime.Seconds()))
	s.sampledAt = now
}

// addWeighted adds a sample with a fixed weight, for values that are rare and vary widely. It
// does not update the baseline.
func (s *measurement) addWeighted(v, weight float64, now time.Time) {
	if s.current == 0 {
		weight = 1
	}
	s.current += (v - s.current) * weight
	s.sampledAt = now
}

// raiseTo raises the current value to at least v, the duration of an unfinished wait. It keeps
// the time of the last sample, so that the next sample weighs more the longer the wait was.
func (s *measurement) raiseTo(v float64) {
	s.current = max(s.current, v)
}

// updateBaseline lowers the baseline to the value if that is lower. A higher value of an
// unloaded target raises it slowly.
func (s *measurement) updateBaseline(v float64, unloaded bool, now time.Time) {
	s.baselineUnloaded = s.baselineUnloaded || unloaded
	switch {
	case s.baseline == 0 || v < s.baseline:
		s.baseline = v
	case unloaded:
		s.baseline = min(v, s.baseline*(1+baselineDriftPerSecond*min(1, max(0, now.Sub(s.baselineAt).Seconds()))))
	default:
		return
	}
	s.baselineAt = now
}
