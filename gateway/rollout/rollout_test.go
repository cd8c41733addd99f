package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sardinefront.dev/gateway/rollout"
	"sardinefront.dev/moves/judge"
)

const (
	service = "llm"
	over    = 12 * time.Second
	beat    = 250 * time.Millisecond
	step    = 10 * time.Millisecond
	hosts   = 5
	targets = 12 // of each version
)

var order = rollout.Order{Service: service, Version: "v2", Duration: over, Revision: 7}

// sim is a fleet that serves requests of one service while an order runs.
type sim struct {
	t        *testing.T
	rnd      *rand.Rand
	now      time.Time
	began    time.Time
	trackers []*rollout.Tracker
	names    []string
	// fails is the probability that an answer of a version is a failure.
	fails func(version string, elapsed time.Duration) float64
	// factor is how many times slower a version is.
	factor func(version string, elapsed time.Duration) float64
	// perSecond is the rate of requests over all hosts.
	perSecond float64

	all, exposed, bad int
	lastExposed       time.Duration // of the newest request at the new version
	badAt             time.Duration // of the first host that took it back
	done              bool
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(5000, 0), perSecond: 70,
		fails:  func(string, time.Duration) float64 { return 0.004 },
		factor: func(string, time.Duration) float64 { return 1 },
	}
	s.began = s.now
	for i := range hosts {
		s.names = append(s.names, fmt.Sprintf("host-%d", i))
		tr := rollout.New(s.names[i], rollout.Limits{MaxShare: 0.1})
		tr.Start(order, 0, s.now)
		s.trackers = append(s.trackers, tr)
	}
	return s
}

// run plays the order's time.
func (s *sim) run() {
	for ; s.now.Sub(s.began) < over; s.now = s.now.Add(step) {
		for n := s.perSecond * step.Seconds(); n > 0; n-- {
			if n >= 1 || s.rnd.Float64() < n {
				s.request()
			}
		}
		if s.now.Sub(s.began)%beat == 0 {
			s.exchange()
		}
		if s.now.Sub(s.began)%(100*time.Millisecond) == 0 {
			s.decide()
		}
	}
}

func (s *sim) request() {
	tr := s.trackers[s.rnd.IntN(hosts)]
	elapsed := s.now.Sub(s.began)
	version := "v1"
	if split := tr.Split(service, s.now); s.rnd.Float64() < split.Share {
		version = "v2"
		s.exposed++
		s.lastExposed = elapsed
	}
	s.all++
	n := s.rnd.IntN(targets)
	speed := []float64{0.68, 0.68, 3}[n%3] // hardware generations, alike in both versions
	result := judge.Answered
	if s.rnd.Float64() < s.fails(version, elapsed) {
		result = judge.Failed
		if version == "v2" {
			s.bad++
		}
	}
	noise := 0.7 + 0.6*s.rnd.Float64()
	first := time.Duration(speed * noise * s.factor(version, elapsed) * float64(90*time.Millisecond))
	tr.Observe(service, version, fmt.Sprintf("%s-%d", version, n), "route", result, first, first/8, s.now)
}

func (s *sim) exchange() {
	for i, from := range s.trackers {
		report := from.Reports(s.now)
		for j, to := range s.trackers {
			if i != j {
				if err := to.MergeReports(s.names[i], report, s.now); err != nil {
					s.t.Fatal(err)
				}
			}
		}
	}
}

func (s *sim) decide() {
	for i, tr := range s.trackers {
		for _, d := range tr.Decide(i == 0, func(string) int { return 2 * targets }, s.now) {
			switch {
			case d.State == rollout.RolledBack && s.badAt == 0:
				s.badAt = s.now.Sub(s.began)
			case d.State == rollout.Done && s.badAt == 0:
				s.done = true
			}
		}
	}
}

// checkTakenBack checks the promises about a bad version.
func (s *sim) checkTakenBack(what string) {
	s.t.Helper()
	if s.badAt == 0 || s.done {
		s.t.Errorf("%s: taken back after %s, done %v; %d of %d at the new version, %d bad", what, s.badAt, s.done, s.exposed, s.all, s.bad)
	}
	if most := 0.1*float64(s.all) + 50; float64(s.exposed) > most {
		s.t.Errorf("%s: %d of %d requests at the bad version, at most %.0f", what, s.exposed, s.all, most)
	}
	if s.badAt > 0 && s.lastExposed > s.badAt+beat+step {
		s.t.Errorf("%s: a request at the bad version %s after it was taken back", what, s.lastExposed-s.badAt)
	}
}

// Guards against a good version that is taken back or not done by its time.
func TestGoodVersionIsDone(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed)
		s.run()
		if !s.done || s.badAt != 0 {
			t.Errorf("seed %d: done %v, taken back after %s", seed, s.done, s.badAt)
		}
		if got := s.trackers[0].Split(service, s.now).Share; got != 1 {
			t.Errorf("seed %d: share %v at the end", seed, got)
		}
	}
}

// Guards against a version that fails from the start, or later, and is kept or gets
// more than its share.
func TestFailingVersionIsTakenBack(t *testing.T) {
	for _, from := range []time.Duration{0, 4 * time.Second, 8 * time.Second} {
		for seed := range uint64(10) {
			s := newSim(t, seed)
			s.fails = func(version string, elapsed time.Duration) float64 {
				if version == "v2" && elapsed >= from {
					return 0.5
				}
				return 0.004
			}
			s.run()
			s.checkTakenBack(fmt.Sprintf("failing from %s, seed %d", from, seed))
		}
	}
}

// Guards against a version that answers several times slower and is kept, beside
// hardware generations that differ by as much.
func TestSlowVersionIsTakenBack(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, seed)
		s.factor = func(version string, _ time.Duration) float64 {
			if version == "v2" {
				return 5
			}
			return 1
		}
		s.run()
		s.checkTakenBack(fmt.Sprintf("slow, seed %d", seed))
	}
}

// Guards against a bad version that looks good while it gets little traffic: only the
// last second, in which it gets all of it, shows the fault.
func TestVersionThatFailsUnderLoadIsTakenBack(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, seed)
		s.fails = func(version string, elapsed time.Duration) float64 {
			if version == "v2" && elapsed > over-1200*time.Millisecond {
				return 0.6
			}
			return 0.004
		}
		s.run()
		s.checkTakenBack(fmt.Sprintf("failing under load, seed %d", seed))
	}
}

// Guards against a decision that is undone: by a peer that has not heard of it, by the
// same order read again, or by a late end.
func TestTakingBackIsFinal(t *testing.T) {
	s := newSim(t, 1)
	tr := s.trackers[0]
	tr.SetOutcome(service, order.Revision, rollout.RolledBack, "test")
	tr.Start(order, 0, s.now)
	tr.SetOutcome(service, order.Revision, rollout.Done, "late")
	if err := tr.MergeReports("host-1", s.trackers[1].Reports(s.now), s.now); err != nil {
		t.Fatal(err)
	}
	if got := tr.Split(service, s.now.Add(over)).Share; got != 0 {
		t.Errorf("share %v after it was taken back", got)
	}
	if err := s.trackers[1].MergeReports("host-0", tr.Reports(s.now), s.now); err != nil {
		t.Fatal(err)
	}
	if got := s.trackers[1].Split(service, s.now).Share; got != 0 {
		t.Errorf("share %v at a peer", got)
	}
}

// Guards against a host that restarts and begins the order's time anew, and against an
// order that goes on after it was withdrawn or replaced.
func TestClockComesFromTheOrder(t *testing.T) {
	s := newSim(t, 1)
	tr := s.trackers[0]
	tr.RecordElapsed(service, order.Revision, 11900*time.Millisecond, s.now)
	if got := tr.Split(service, s.now).Share; got != 1 {
		t.Errorf("share %v near the end of the order", got)
	}
	tr.Remove(service, order.Revision+1)
	if got := tr.Split(service, s.now); got.Version != "" {
		t.Errorf("split %+v after the order was withdrawn", got)
	}
}
