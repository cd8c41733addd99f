package limit

import (
	"math"
	"time"
)

// signal is one measured quantity: its current value and its least value.
type measurement struct {
	current, baseline     float64
	sampledAt, baselineAt time.Time
	// unloaded says that base was measured on an unloaded target.
	baselineUnloaded bool
}

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

// blend is add with a fixed weight, for values that come rarely and vary much.
func (s *measurement) addWeighted(v, weight float64, now time.Time) {
	if s.current == 0 {
		weight = 1
	}
	s.current += (v - s.current) * weight
	s.sampledAt = now
}

// raise moves the current value up to a lower bound that an unfinished wait
// proves. The time of the last sample stays, so that the next one weighs more
// the longer the wait was.
func (s *measurement) raiseTo(v float64) {
	s.current = max(s.current, v)
}

// learnBase keeps the least value. Values of an unloaded target also let it
// rise slowly.
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
