package reserve_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sardinefront.dev/sched/reserve"
)

// limitedCalls simulates requests with a time limit at targets that are chosen at random.
type limitedCalls struct {
	targets []reserve.Target
	pool    *reserve.Pool
	rng     *rand.Rand
	now     time.Time
	silent  map[string]bool // targets that never respond
	// ejected counts the ejections by target.
	ejected   map[string]int
	ejections int
}

func newLimitedCalls(targets int, seed uint64, silent ...string) *limitedCalls {
	s := &limitedCalls{
		targets: engines(targets, 4), pool: reserve.New(reserve.Config{Seed: seed}), rng: rand.New(rand.NewPCG(seed, 7)), now: start,
		silent: map[string]bool{}, ejected: map[string]int{},
	}
	for _, name := range silent {
		s.silent[name] = true
	}
	s.pool.SetTargets(s.targets)
	return s
}

// call makes one request that takes the given time at a sound target.
func (s *limitedCalls) call(route string, work, limit time.Duration) {
	s.now = s.now.Add(10 * ms)
	s.pool.Dispatch(s.now) // starts the trials of ejected targets
	var usable []string
	for _, target := range s.targets {
		if !slices.Contains(s.pool.Ejected(), target.Name) {
			usable = append(usable, target.Name)
		}
	}
	if len(usable) == 0 {
		return
	}
	name := usable[s.rng.IntN(len(usable))]
	outcome, sample := reserve.OK, reserve.Sample{}
	if work <= limit && !s.silent[name] {
		s.pool.RecordFirstByte(name, route, work, s.now)
	} else {
		outcome, sample = reserve.DeadlineReached, reserve.Sample{Route: route, Unanswered: limit + time.Duration(s.rng.IntN(int(2*ms)))}
	}
	if change := s.pool.EndGrant(name, outcome, sample, s.now); change.EjectionReason != "" {
		s.ejected[name]++
		s.ejections++
	}
}

// work returns an exponentially distributed time that exceeds the limit with the given probability.
func (s *limitedCalls) work(limit time.Duration, exceeds float64) time.Duration {
	return 10*ms + time.Duration(s.rng.ExpFloat64()*float64(limit-10*ms)/-math.Log(max(exceeds, 1e-9)))
}

// Guards against sound targets that are ejected because requests have shorter time limits than their
// work takes: on a route whose limit part of the requests exceed, and of callers of their own.
func TestTimeLimitsDoNotEjectSoundTargets(t *testing.T) {
	const limit = 400 * ms
	for _, exceeds := range []float64{0.05, 0.2, 0.4, 0.6, 0.8, 0.95} {
		t.Run(fmt.Sprint(exceeds), func(t *testing.T) {
			ejections := 0
			for seed := range uint64(20) {
				s := newLimitedCalls(3, seed)
				for range 2000 {
					s.call("limited", s.work(limit, exceeds), limit)
				}
				ejections += s.ejections
			}
			if ejections > 1 {
				t.Errorf("%d ejections in 20 runs", ejections)
			}
		})
	}
	t.Run("impatient callers", func(t *testing.T) {
		ejections := 0
		for seed := range uint64(20) {
			s := newLimitedCalls(3, seed)
			for i := range 2000 {
				limit := 2 * time.Second
				if i%4 != 0 {
					limit = 100 * ms
				}
				s.call("mixed", 150*ms+time.Duration(s.rng.IntN(int(100*ms))), limit)
			}
			ejections += s.ejections
		}
		if ejections > 1 {
			t.Errorf("%d ejections in 20 runs", ejections)
		}
	})
}

// Guards against targets that never respond and are not ejected: one or most of a service, also
// where part of the requests at sound targets exceed their time limits.
func TestSilentTargetsAreEjectedAtTheirDeadlines(t *testing.T) {
	const limit = 400 * ms
	for _, silent := range [][]string{{"e0"}, {"e0", "e1"}} {
		for exceeds, calls := range map[float64]int{0: 40, 0.05: 60, 0.3: 150} {
			t.Run(fmt.Sprint(len(silent), exceeds), func(t *testing.T) {
				for seed := range uint64(20) {
					s := newLimitedCalls(3, seed)
					for range 200 {
						s.call("limited", s.work(limit, exceeds), limit)
					}
					for _, name := range silent {
						s.silent[name] = true
					}
					clear(s.ejected)
					for range calls {
						s.call("limited", s.work(limit, exceeds), limit)
					}
					for _, name := range silent {
						if s.ejected[name] == 0 && !slices.Contains(s.pool.Ejected(), name) {
							t.Errorf("seed %d: %s is not ejected within %d requests", seed, name, calls)
						}
					}
				}
			})
		}
	}
}

// Guards against a target that never responds and stays in use where the host knows of no other
// request.
func TestSilentTargetIsEjectedWithoutComparison(t *testing.T) {
	s := newLimitedCalls(1, 1, "e0")
	for range 11 {
		s.call("limited", 20*ms, 400*ms)
	}
	if len(s.ejected) != 1 {
		t.Error("not ejected after eleven requests")
	}
}
