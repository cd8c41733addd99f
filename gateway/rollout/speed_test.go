package rollout_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sardinefront.dev/moves/analysis"
)

// streamModel makes the simulated requests streams: their speed is known after a few events, their
// result at the end. Targets bear load that delays events.
type streamModel struct {
	slowdown  float64 // of the new version
	loadDelay float64 // mean increase of a log gap by load at the old targets
	pending   []pendingSample
}

type pendingSample struct {
	at      time.Time
	observe func(now time.Time)
}

const (
	firstEvents = 4 // after which the speed is known
	allEvents   = 60
)

// newStreamSim returns a fleet that serves streams, on a pool of unlike hardware.
func newStreamSim(t *testing.T, seed uint64, slowdown, loadDelay float64) *sim {
	s := newSim(t, seed)
	s.streams = &streamModel{slowdown: slowdown, loadDelay: loadDelay}
	return s
}

// stream starts a stream at a target of the version.
func (s *sim) stream(host int, version string) {
	n := s.rng.IntN(targets)
	speed := []float64{0.68, 0.68, 3}[n%3]
	target := fmt.Sprintf("%s-%d", version, n)
	delay := s.streams.loadDelay * s.rng.ExpFloat64()
	if version == order.Version {
		speed *= s.streams.slowdown
		delay /= 4 // the new targets bear little load
	}
	gap := time.Duration(speed * math.Exp(delay) * float64(15*time.Millisecond))
	first := 10 * gap
	tr := s.trackers[host]
	s.streams.pending = append(s.streams.pending,
		pendingSample{s.now.Add(first + firstEvents*gap), func(time.Time) { tr.ObserveSpeed(service, version, target, gap) }},
		pendingSample{s.now.Add(first + allEvents*gap), func(now time.Time) {
			tr.Observe(service, version, target, "route", analysis.Answered, first, gap, now)
		}})
}

// observePending records the samples that are due.
func (s *sim) observePending() {
	kept := s.streams.pending[:0]
	for _, p := range s.streams.pending {
		if p.at.After(s.now) {
			kept = append(kept, p)
		} else {
			p.observe(s.now)
		}
	}
	s.streams.pending = kept
}

// Guards against a slow version that is completed, or found only at the end of the rollout: its
// streams end late, and hardware of unlike speeds hid the difference.
func TestSlowStreamsAreRolledBackEarly(t *testing.T) {
	for _, slowdown := range []float64{2, 3, 4.4, 8} {
		for seed := range uint64(5) {
			s := newStreamSim(t, seed, slowdown, 0.15)
			s.run()
			what := fmt.Sprintf("slower by %.1f, seed %d", slowdown, seed)
			s.checkRolledBack(what)
			if s.rolledBackAt > duration*5/6 {
				t.Errorf("%s: rolled back after %s of %s", what, s.rolledBackAt, duration)
			}
		}
	}
}

// Guards against a good version that is rolled back because the hardware of a pool is unlike, or
// because the old targets bear more load.
func TestGoodStreamsAreDone(t *testing.T) {
	for _, loadDelay := range []float64{0.03, 0.15, 0.5} {
		for seed := range uint64(8) {
			s := newStreamSim(t, seed, 1, loadDelay)
			s.run()
			if !s.done || s.rolledBackAt != 0 {
				t.Errorf("load delay %v, seed %d: done %v, rolled back after %s", loadDelay, seed, s.done, s.rolledBackAt)
			}
		}
	}
}
