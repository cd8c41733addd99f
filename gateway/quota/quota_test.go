package quota_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"sardinefront.dev/gateway/quota"
)

const (
	window = 8 * time.Second
	report = 250 * time.Millisecond
	// slowReport is the pause between reports to other zones in a large fleet.
	slowReport = 1500 * time.Millisecond
	// checkpointEvery is the pause between checkpoints.
	checkpointEvery = time.Second
	// downFor is how long all hosts are down; they start just after an exchange.
	downFor = 1510 * time.Millisecond
)

var tolerance = quota.Tolerance{Window: window, Ratio: 0.1, Slack: 190000}

// grant is a use of the quota somewhere in the fleet.
type grant struct {
	at    time.Time
	units float64
}

// most returns the largest use within any window.
func most(grants []grant) float64 {
	best := 0.0
	for i := range grants {
		sum := 0.0
		for _, g := range grants[i:] {
			if g.at.Sub(grants[i].at) < window {
				sum += g.units
			}
		}
		best = max(best, sum)
	}
	return best
}

// fleet drives several hosts with reports between them.
type fleet struct {
	hosts  []*quota.Meter
	names  []string
	now    time.Time
	start  time.Time // of the hosts
	grants []grant
	cut    func(from, to int) bool
	every  time.Duration // between reports
}

func newFleet(n int, limit quota.Limit) *fleet {
	f := &fleet{now: time.Unix(1000, 0), start: time.Unix(1000, 0), cut: func(int, int) bool { return false }, every: report}
	for i := range n {
		m := quota.New(tolerance)
		m.SetLimits(map[string]quota.Limit{"org": limit}, f.now)
		f.hosts = append(f.hosts, m)
		f.names = append(f.names, string(rune('a'+i)))
	}
	f.exchange()
	return f
}

func (f *fleet) exchange() {
	for i, from := range f.hosts {
		for j, to := range f.hosts {
			if i != j && !f.cut(i, j) {
				to.RecordPeerUsage(f.names[i], f.start.UnixNano()+int64(i), from.OwnUsage(), from.FleetUsage(f.now), f.every, f.now.Sub(f.start), f.now)
			}
		}
	}
}

// run lets every host ask for units every step, with reports in between.
func (f *fleet) run(d time.Duration, units float64) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, m := range f.hosts {
			if m.Acquire("org", units, f.now) == 0 {
				f.grants = append(f.grants, grant{f.now, units})
			}
		}
		if f.now.Sub(time.Unix(1000, 0))%f.every == 0 {
			f.exchange()
		}
	}
}

func allowed(l quota.Limit) float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+tolerance.Ratio) + tolerance.Slack
}

// Guards against hosts that each grant the whole quota, and against one that is not
// used: nine hosts with a hot organisation.
func TestHotOrganisationOverManyHosts(t *testing.T) {
	limit := quota.Limit{Rate: 146000, Burst: 146000}
	f := newFleet(9, limit)
	f.run(20*time.Second, 800)
	if got := most(f.grants); got > allowed(limit) || got < limit.Rate*window.Seconds() {
		t.Errorf("%.0f units in a window, allowed %.0f, owed %.0f", got, allowed(limit), limit.Rate*window.Seconds())
	}
}

// Guards against a large fleet in which reports take so long that an organisation which
// begins to send many times its usual exceeds the window before they come.
func TestSeldomReportsDoNotExceedTheWindow(t *testing.T) {
	limit := quota.Limit{Rate: 500000, Burst: 500000}
	f := newFleet(24, limit)
	f.every = slowReport
	f.run(9*time.Second, 160)
	f.run(9*time.Second, 1000)
	if got := most(f.grants); got > allowed(limit) || got < limit.Rate*window.Seconds() {
		t.Errorf("%.0f units in a window, allowed %.0f, owed %.0f", got, allowed(limit), limit.Rate*window.Seconds())
	}
}

// Guards against a host that grants the whole quota once it no longer hears its
// peers: they go on using their part of it.
func TestCutHostSharesTheQuota(t *testing.T) {
	limit := quota.Limit{Rate: 146000, Burst: 146000}
	f := newFleet(7, limit)
	f.run(8*time.Second, 800)
	f.cut = func(i, j int) bool { return i < 2 != (j < 2) }
	f.run(10*time.Second, 800)
	if got := most(f.grants); got > allowed(limit) {
		t.Errorf("%.0f units in a window during a cut, allowed %.0f", got, allowed(limit))
	}
}

// Guards against a burst that both sides of a cut grant in full: nothing was used
// before the cut.
func TestCutBeforeTheBurstSharesTheBurst(t *testing.T) {
	limit := quota.Limit{Rate: 146000, Burst: 146000}
	f := newFleet(6, limit)
	f.run(2*time.Second, 0)
	f.cut = func(i, j int) bool { return i%3 != j%3 }
	f.run(1500*time.Millisecond, 0)
	f.run(10*time.Second, 800)
	if got := most(f.grants); got > allowed(limit) {
		t.Errorf("%.0f units in a window on three sides of a cut, allowed %.0f", got, allowed(limit))
	}
}

// Guards against a bucket that refuses a burst after a busy time although the window
// has room: 330,000 units in two bursts, of 388,800 that a window grants.
func TestBurstsWithinTheWindowAreGranted(t *testing.T) {
	limit := quota.Limit{Rate: 20000, Burst: 60000}
	f := newFleet(5, limit)
	f.run(8*time.Second, 0) // the time before the first requests of a day
	for burst, d := range []time.Duration{2 * time.Second, time.Second} {
		before := len(f.grants)
		f.run(d, 200)
		if asked := int(d/(10*time.Millisecond)) * 5; len(f.grants)-before < asked*9/10 {
			t.Errorf("burst %d: %d of %d requests granted", burst, len(f.grants)-before, asked)
		}
		f.run(2*time.Second, 20)
	}
}

// restart replaces all hosts by ones that know only what a checkpoint tells, and of
// each other nothing until the next exchange.
func (f *fleet) restart(limit quota.Limit, used map[string]quota.History, age time.Duration) {
	for i := range f.hosts {
		m := quota.New(tolerance)
		m.ExpectPeers(len(f.hosts)-1, f.now)
		m.Restore(used, age, checkpointEvery, f.now)
		m.SetLimits(map[string]quota.Limit{"org": limit}, f.now)
		f.hosts[i] = m
	}
	f.start = f.now
}

// Guards against hosts that all lose power together and grant a window once more, with
// a checkpoint of use near the limit and, for little use, without one.
func TestAllRestartedStayWithinTheWindow(t *testing.T) {
	limit := quota.Limit{Rate: 146000, Burst: 146000}
	f := newFleet(9, limit)
	f.run(8*time.Second, 0)
	f.run(3*time.Second, 800)
	if !f.hosts[0].CheckpointNeeded(f.now) {
		t.Fatal("no checkpoint is due near the limit")
	}
	used := f.hosts[0].Histories(f.now)
	f.run(checkpointEvery, 800) // the record is as old as it gets when all stop
	f.now = f.now.Add(downFor)
	f.restart(limit, used, checkpointEvery+downFor)
	f.run(10*time.Second, 800)
	if got := most(f.grants); got > allowed(limit) {
		t.Errorf("%.0f units in a window after a restart with a checkpoint, allowed %.0f", got, allowed(limit))
	}

	f = newFleet(9, limit)
	f.run(8*time.Second, 0)
	for !f.hosts[0].CheckpointNeeded(f.now) {
		f.run(50*time.Millisecond, 300)
	}
	f.now = f.now.Add(downFor)
	f.restart(limit, nil, 0)
	f.run(10*time.Second, 800)
	if got := most(f.grants); got > allowed(limit) {
		t.Errorf("%.0f units in a window after a restart without a checkpoint, allowed %.0f", got, allowed(limit))
	}
}

// Guards against a restart that grants a full burst once more.
func TestRestartedHostLearnsWhatIsSpent(t *testing.T) {
	limit := quota.Limit{Rate: 1000, Burst: 1000}
	f := newFleet(2, limit)
	for f.hosts[0].Acquire("org", 500, f.now) == 0 {
	}
	fresh := quota.New(tolerance)
	fresh.SetLimits(map[string]quota.Limit{"org": limit}, f.now)
	fresh.RecordPeerUsage("a", 1, f.hosts[0].OwnUsage(), f.hosts[0].FleetUsage(f.now), report, time.Hour, f.now)
	if fresh.Acquire("org", 500, f.now) == 0 {
		t.Error("a restarted host grants a burst that its peers have used up")
	}
}

// Guards against units that stay used though the request did not run, and against
// a large request that no burst ever covers.
func TestReturnedAndLargeUnits(t *testing.T) {
	now := time.Unix(1000, 0)
	m := quota.New(quota.Tolerance{})
	m.SetLimits(map[string]quota.Limit{"org": {Rate: 10, Burst: 100}}, now)
	if m.Acquire("org", 100, now) != 0 || m.Acquire("org", 1, now) == 0 {
		t.Fatal("the burst is not the limit")
	}
	m.Release("org", 100, now)
	if m.Acquire("org", 500, now) != 0 {
		t.Error("a request above the burst is refused by a full bucket")
	}
	if wait := m.Acquire("org", 1, now); wait < 40*time.Second {
		t.Errorf("a large request is not paid off: wait %s", wait)
	}
}

// Guards against callers that are all told to come back at the same moment, when only
// one of them finds units.
func TestRefusedCallersComeBackOneAfterTheOther(t *testing.T) {
	now := time.Unix(1000, 0)
	m := quota.New(quota.Tolerance{})
	m.SetLimits(map[string]quota.Limit{"org": {Rate: 100, Burst: 100}}, now)
	m.Acquire("org", 100, now)
	for i := range 5 {
		want := time.Duration(i+1) * 500 * time.Millisecond
		if got := m.Acquire("org", 50, now); got < want-time.Millisecond || got > want+time.Millisecond {
			t.Errorf("caller %d is told %s, want %s", i, got, want)
		}
	}
}

// Guards against a bucket whose grants within a window exceed the promise for some
// pattern of requests, on one host.
func TestNoPatternExceedsTheTolerance(t *testing.T) {
	p := gopter.DefaultTestParameters()
	p.Rng.Seed(1)
	properties := gopter.NewProperties(p)
	properties.Property("grants stay within the tolerance", prop.ForAll(func(gaps []int, units []int) bool {
		limit := quota.Limit{Rate: 1000, Burst: 2000}
		now := time.Unix(1000, 0)
		m := quota.New(quota.Tolerance{Window: window, Ratio: 0.1, Slack: 500})
		m.SetLimits(map[string]quota.Limit{"org": limit}, now)
		var grants []grant
		for i := range min(len(gaps), len(units)) {
			now = now.Add(time.Duration(gaps[i]) * time.Millisecond)
			if u := float64(units[i]); m.Acquire("org", u, now) == 0 {
				grants = append(grants, grant{now, u})
			}
		}
		return most(grants) <= (limit.Rate*window.Seconds()+limit.Burst)*1.1+500
	}, gen.SliceOfN(200, gen.IntRange(0, 120)), gen.SliceOfN(200, gen.IntRange(1, 1500))))
	properties.TestingRun(t)
}

// Guards against a host that refuses requests for the quota of peers that it does not hear
// and does not say so, or says so for ever.
func TestSilentPeersAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	m := quota.New(tolerance)
	expect := func(silent, peers int) {
		t.Helper()
		if s, p := m.UnresponsivePeers(now); s != silent || p != peers {
			t.Errorf("%d of %d peers are silent, want %d of %d", s, p, silent, peers)
		}
	}
	hear := func(name string) { m.RecordPeerUsage(name, 1, nil, nil, report, time.Minute, now) }
	hear("a")
	hear("b")
	expect(0, 2)
	now = now.Add(time.Second)
	hear("a")
	expect(1, 2)
	now = now.Add(time.Minute)
	hear("a")
	expect(0, 1)
}
