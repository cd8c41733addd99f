package limit

import (
	"math"
	"time"
)

// signal is one measured quantity: its current value and its least value.
type signal struct {
	now, base  float64
	at, baseAt time.Time
	// unloaded says that base was measured on an unloaded target.
	unloaded bool
}

func (s *signal) add(v float64, unloaded bool, now time.Time) {
	s.learnBase(v, unloaded, now)
	if s.now == 0 {
		s.now, s.at = v, now
		return
	}
	dt := max(now.Sub(s.at).Seconds(), 0.01)
	s.now += (v - s.now) * (1 - math.Exp(-dt/fast.Seconds()))
	s.at = now
}

// blend is add with a fixed weight, for values that come rarely and vary much.
func (s *signal) blend(v, weight float64, now time.Time) {
	if s.now == 0 {
		weight = 1
	}
	s.now += (v - s.now) * weight
	s.at = now
}

// raise moves the current value up to a lower bound that an unfinished wait
// proves. The time of the last sample stays, so that the next one weighs more
// the longer the wait was.
func (s *signal) raise(v float64) {
	s.now = max(s.now, v)
}

// learnBase keeps the least value. Values of an unloaded target also let it
// rise slowly.
func (s *signal) learnBase(v float64, unloaded bool, now time.Time) {
	s.unloaded = s.unloaded || unloaded
	switch {
	case s.base == 0 || v < s.base:
		s.base = v
	case unloaded:
		s.base = min(v, s.base*(1+drift*min(1, max(0, now.Sub(s.baseAt).Seconds()))))
	default:
		return
	}
	s.baseAt = now
}
