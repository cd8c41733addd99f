package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sardinefront.dev/gateway/rollout"
	"sardinefront.dev/moves/analysis"
)

const (
	service           = "llm"
	duration          = 12 * time.Second
	heartbeatInterval = 250 * time.Millisecond
	step              = 10 * time.Millisecond
	hosts             = 5
	targets           = 12 // of each version
)

var order = rollout.Order{Service: service, Version: "v2", Duration: duration, Revision: 7}

// sim simulates a fleet that serves requests of one service during a rollout.
type sim struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	began    time.Time
	trackers []*rollout.Tracker
	names    []string
	// failureProbability returns the probability that a request to a version fails.
	failureProbability func(version string, elapsed time.Duration) float64
	// slowdown returns the factor by which a version is slower than usual.
	slowdown func(version string, elapsed time.Duration) float64
	// listed returns the number of listed targets of the new version.
	listed func(elapsed time.Duration) int
	// requestsPerSecond is the rate of requests over all hosts.
	requestsPerSecond float64
	// streams makes the requests streams, if set.
	streams *streamModel

	all, exposed, failures int
	lastExposed            time.Duration // of the newest request at the new version
	rolledBackAt           time.Duration // on the first host
	stored                 rollout.State // the first final state, which the store keeps
	done                   bool
}

// listedTargets returns the numbers of targets of the service, and of those of the new version.
func listedTargets(string, string) (all, ofVersion int) { return 2 * targets, targets }

func (s *sim) listedTargets(string, string) (all, ofVersion int) {
	ofVersion = s.listed(s.now.Sub(s.began))
	return targets + ofVersion, ofVersion
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(5000, 0), requestsPerSecond: 70,
		failureProbability: func(string, time.Duration) float64 { return 0.004 },
		slowdown:           func(string, time.Duration) float64 { return 1 },
		listed:             func(time.Duration) int { return targets },
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

// run simulates the whole duration of the order.
func (s *sim) run() { s.runUntil(duration) }

// runUntil simulates until the given time after the order.
func (s *sim) runUntil(end time.Duration) {
	for ; s.now.Sub(s.began) < end; s.now = s.now.Add(step) {
		for n := s.requestsPerSecond * step.Seconds(); n > 0; n-- {
			if n >= 1 || s.rng.Float64() < n {
				s.request()
			}
		}
		if s.streams != nil {
			s.observePending()
		}
		if s.now.Sub(s.began)%heartbeatInterval == 0 {
			s.exchange()
		}
		if s.now.Sub(s.began)%(100*time.Millisecond) == 0 {
			s.decide()
		}
	}
}

func (s *sim) request() {
	host := s.rng.IntN(hosts)
	tr := s.trackers[host]
	elapsed := s.now.Sub(s.began)
	version := "v1"
	if split := tr.Split(service, s.now); s.rng.Float64() < split.Share {
		version = "v2"
		s.exposed++
		s.lastExposed = elapsed
	}
	s.all++
	if s.streams != nil {
		s.stream(host, version)
		return
	}
	n := s.rng.IntN(targets)
	speed := []float64{0.68, 0.68, 3}[n%3] // hardware generations, the same in both versions
	result := analysis.Answered
	if s.rng.Float64() < s.failureProbability(version, elapsed) {
		result = analysis.Failed
		if version == "v2" {
			s.failures++
		}
	}
	noise := 0.7 + 0.6*s.rng.Float64()
	first := time.Duration(speed * noise * s.slowdown(version, elapsed) * float64(90*time.Millisecond))
	tr.Observe(service, version, fmt.Sprintf("%s-%d", version, n), "route", result, first, first/8, s.now)
}

func (s *sim) exchange() {
	for i, from := range s.trackers {
		report := from.Reports(s.now)
		for j, to := range s.trackers {
			if i != j {
				if _, err := to.MergeReports(s.names[i], report, s.now); err != nil {
					s.t.Fatal(err)
				}
			}
		}
	}
}

func (s *sim) decide() {
	for i, tr := range s.trackers {
		for _, d := range tr.Decide(i == 0, s.listedTargets, s.now) {
			switch {
			case d.State == rollout.RolledBack && s.rolledBackAt == 0 && s.stored != rollout.Done:
				s.rolledBackAt = s.now.Sub(s.began)
			case d.State == rollout.Done && s.rolledBackAt == 0:
				s.done = true
			}
			if s.stored == rollout.Running {
				s.stored = d.State
			}
			tr.SetOutcome(service, order.Revision, s.stored, d.Reason)
		}
	}
}

// checkRolledBack checks that a bad version was rolled back, within the limit of its share and
// without requests to it afterwards.
func (s *sim) checkRolledBack(what string) {
	s.t.Helper()
	if s.rolledBackAt == 0 || s.done {
		s.t.Errorf("%s: rolled back after %s, done %v; %d of %d requests to the new version, %d failed", what, s.rolledBackAt, s.done, s.exposed, s.all, s.failures)
	}
	if limit := 0.1*float64(s.all) + 50; float64(s.exposed) > limit {
		s.t.Errorf("%s: %d of %d requests to the bad version, want at most %.0f", what, s.exposed, s.all, limit)
	}
	if s.rolledBackAt > 0 && s.lastExposed > s.rolledBackAt+heartbeatInterval+step {
		s.t.Errorf("%s: a request to the bad version %s after the rollback", what, s.lastExposed-s.rolledBackAt)
	}
}

// Guards against a good version that is rolled back or not completed in time.
func TestGoodVersionIsDone(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed)
		s.run()
		if !s.done || s.rolledBackAt != 0 {
			t.Errorf("seed %d: done %v, rolled back after %s", seed, s.done, s.rolledBackAt)
		}
		if got := s.trackers[0].Split(service, s.now).Share; got != 1 {
			t.Errorf("seed %d: share %v at the end", seed, got)
		}
	}
}

// Guards against a good version that is rolled back because many requests to either version reach
// their deadlines.
func TestCommonFailuresDoNotRollAGoodVersionBack(t *testing.T) {
	for _, p := range []float64{0.1, 0.3, 0.6} {
		rolledBack := 0
		for seed := range uint64(20) {
			s := newSim(t, seed)
			s.failureProbability = func(string, time.Duration) float64 { return p }
			s.run()
			if s.rolledBackAt > 0 || !s.done {
				rolledBack++
			}
		}
		if rolledBack > 0 {
			t.Errorf("%.0f%% failures: %d of 20 good versions rolled back", 100*p, rolledBack)
		}
	}
}

// Guards against a version that fails from the start, or from some time on, and is not rolled back
// or gets more than its share of requests.
func TestFailingVersionIsRolledBack(t *testing.T) {
	for _, from := range []time.Duration{0, 4 * time.Second, 8 * time.Second} {
		for seed := range uint64(10) {
			s := newSim(t, seed)
			s.failureProbability = func(version string, elapsed time.Duration) float64 {
				if version == "v2" && elapsed >= from {
					return 0.5
				}
				return 0.004
			}
			s.run()
			s.checkRolledBack(fmt.Sprintf("failing from %s, seed %d", from, seed))
		}
	}
}

// Guards against a version that is several times slower and is not rolled back because hardware
// generations differ by as much.
func TestSlowVersionIsRolledBack(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, seed)
		s.slowdown = func(version string, _ time.Duration) float64 {
			if version == "v2" {
				return 5
			}
			return 1
		}
		s.run()
		s.checkRolledBack(fmt.Sprintf("slow, seed %d", seed))
	}
}

// Guards against a bad version that is not rolled back because it works at low traffic. It only
// fails in the last second, in which it gets all requests.
func TestVersionThatFailsUnderLoadIsRolledBack(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, seed)
		s.failureProbability = func(version string, elapsed time.Duration) float64 {
			if version == "v2" && elapsed > duration-1200*time.Millisecond {
				return 0.6
			}
			return 0.004
		}
		s.run()
		s.checkRolledBack(fmt.Sprintf("failing under load, seed %d", seed))
	}
}

// Guards against a rollback that is undone by the report of a peer that has not received it yet, by
// the same order read again, or by a late completion.
func TestRollbackIsFinal(t *testing.T) {
	s := newSim(t, 1)
	tr := s.trackers[0]
	tr.SetOutcome(service, order.Revision, rollout.RolledBack, "test")
	tr.Start(order, 0, s.now)
	tr.SetOutcome(service, order.Revision, rollout.Done, "late")
	if _, err := tr.MergeReports("host-1", s.trackers[1].Reports(s.now), s.now); err != nil {
		t.Fatal(err)
	}
	if got := tr.Split(service, s.now.Add(duration)).Share; got != 0 {
		t.Errorf("share %v after the rollback, want 0", got)
	}
	if _, err := s.trackers[1].MergeReports("host-0", tr.Reports(s.now), s.now); err != nil {
		t.Fatal(err)
	}
	if got := s.trackers[1].Split(service, s.now).Share; got != 0 {
		t.Errorf("share %v on a peer after the rollback, want 0", got)
	}
}

// Guards against a restarted host that starts the order's duration anew, and against an order that
// stays active after it was withdrawn or replaced.
func TestElapsedTimeSurvivesARestart(t *testing.T) {
	s := newSim(t, 1)
	tr := s.trackers[0]
	tr.RecordElapsed(service, order.Revision, 11900*time.Millisecond, s.now)
	if got := tr.Split(service, s.now).Share; got != 0 {
		t.Errorf("share %v near the end of the order, of which the host has observed nothing", got)
	}
	if d := tr.Decide(true, listedTargets, s.now); len(d) != 1 || d[0].State != rollout.RolledBack {
		t.Errorf("decisions %+v near the end of the order, of which the host has observed nothing", d)
	}
	tr.Remove(service, order.Revision+1)
	if got := tr.Split(service, s.now); got.Version != "" {
		t.Errorf("split %+v after the order was withdrawn", got)
	}
}

// Guards against an outcome that is decided after the time limit: a host reads the order up to half
// a second after it was written.
func TestOutcomeIsDecidedInTimeAfterLateOrder(t *testing.T) {
	const orderDelay, writeTime = 450 * time.Millisecond, 50 * time.Millisecond
	written := time.Unix(5000, 0)
	tr := rollout.New("host-0", rollout.Limits{MaxShare: 0.1})
	tr.Start(order, 0, written.Add(orderDelay))
	limit := written.Add(duration - writeTime)
	for now := written.Add(orderDelay); !now.After(limit); now = now.Add(100 * time.Millisecond) {
		for _, d := range tr.Decide(true, listedTargets, now) {
			if d.State != rollout.Running {
				return
			}
		}
	}
	t.Errorf("no outcome %s before the time limit", writeTime)
}

// Guards against a good rollout that no host completes in time because the leader has ended, or is
// cut off from the store, just before it completes it.
func TestRolloutIsCompletedWithoutLeader(t *testing.T) {
	const orderDelay, writeTime = 100 * time.Millisecond, 50 * time.Millisecond
	written := time.Unix(5000, 0)
	tr := rollout.New("host-1", rollout.Limits{MaxShare: 0.1})
	tr.Start(order, orderDelay, written.Add(orderDelay))
	for now := written.Add(orderDelay); !now.After(written.Add(duration - writeTime)); now = now.Add(100 * time.Millisecond) {
		for _, d := range tr.Decide(false, listedTargets, now) {
			if d.State == rollout.Done {
				return
			}
		}
	}
	t.Errorf("not completed %s before the time limit", writeTime)
}

// Guards against one rollout with two outcomes: the store holds done, so the old targets stop, while
// a host that found a fault at the same moment keeps its rollback and passes it on. All hosts then
// refused all requests of the service.
func TestStoredCompletionReplacesARollbackOfOneHost(t *testing.T) {
	s := newSim(t, 1)
	found, completed, other := s.trackers[0], s.trackers[1], s.trackers[2]
	fault := s.trackers[3]
	fault.SetOutcome(service, order.Revision, rollout.RolledBack, "test")
	merge := func(to *rollout.Tracker, from string, tr *rollout.Tracker) {
		if _, err := to.MergeReports(from, tr.Reports(s.now), s.now); err != nil {
			t.Fatal(err)
		}
	}
	merge(found, "host-3", fault) // a rollback that the store does not hold
	if share := found.Split(service, s.now).Share; share != 0 {
		t.Fatalf("share %v of a version with a fault", share)
	}
	completed.SetOutcome(service, order.Revision, rollout.Done, "no fault detected")
	merge(completed, "host-0", found)
	merge(other, "host-0", found)
	merge(other, "host-1", completed)
	found.SetOutcome(service, order.Revision, rollout.Done, "in the store")
	for i, tr := range []*rollout.Tracker{found, completed, other} {
		if share := tr.Split(service, s.now).Share; share != 1 {
			t.Errorf("host %d: share %v of the version that the store holds as done", i, share)
		}
	}
}

// Guards against a rollout that is completed although no target of its version is left: the old
// targets stop, and the service has none.
func TestRolloutWithoutTargetsOfItsVersionIsRolledBack(t *testing.T) {
	s := newSim(t, 1)
	s.listed = func(elapsed time.Duration) int {
		if elapsed > 10*time.Second {
			return 0
		}
		return targets
	}
	s.run()
	s.checkRolledBack("without targets")
}
