package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	start = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	bound = Bound{PerSecond: 8, Duration: 3 * time.Second}
)

// hostState is one host's state of a cold target, with the number of hosts that it assumes.
type hostState struct {
	cold  Cold
	hosts int
}

// coldSends returns the times since start at which hosts that always have waiting requests send to
// one target that is cold for the given time.
func coldSends(hosts []hostState, coldFor time.Duration, seed uint64) []time.Duration {
	const round = 50 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 0))
	for i := range hosts {
		hosts[i].cold.Extend(start.Add(coldFor))
	}
	var sends []time.Duration
	for at := time.Duration(0); at < coldFor; at += round {
		for i := range hosts {
			h := &hosts[i]
			now := start.Add(at)
			if !h.cold.Allows(bound, h.hosts, rnd, now) {
				continue
			}
			h.cold.Admit(bound, h.hosts, rnd, now)
			if h.cold.Spend(bound, now) {
				sends = append(sends, at)
			}
		}
	}
	return sends
}

// maxPerSecond returns the largest number of sends within any second.
func maxPerSecond(sends []time.Duration) int {
	most, first := 0, 0
	for i, at := range sends {
		for at-sends[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func newHosts(n, assumed int) []hostState {
	out := make([]hostState, n)
	for i := range out {
		out[i].hosts = assumed
	}
	return out
}

// Load pattern: many hosts, one cold target. Guards against hosts that each send one request at once,
// and against a target that gets nothing.
func TestManyHostsOneColdTarget(t *testing.T) {
	const limit = 1.5*8 + 5
	for _, n := range []int{1, 3, 72, 300} {
		total := 0
		for seed := range uint64(200) {
			sends := coldSends(newHosts(n, n), 3*time.Second, seed)
			if got := maxPerSecond(sends); got > limit {
				t.Errorf("%d hosts, seed %d: %d requests in a second, the limit is %v", n, seed, got, limit)
			}
			total += len(sends)
		}
		if mean := float64(total) / 200 / 3; mean < 0.25*bound.PerSecond || mean > bound.PerSecond {
			t.Errorf("%d hosts: %.1f requests a second, want a good part of %v", n, mean, bound.PerSecond)
		}
	}
}

// Guards against waits that are cut at a common bound: all hosts would then send together when a
// target stays cold for longer than it.
func TestTargetThatStaysCold(t *testing.T) {
	for seed := range uint64(20) {
		if got := maxPerSecond(coldSends(newHosts(72, 72), time.Minute, seed)); got > 17 {
			t.Errorf("seed %d: %d requests in a second, the limit is 17", seed, got)
		}
	}
}

// Load pattern: partition during the cold time. Guards against both sides of a partition using the
// whole bound, because each counts only the hosts that it hears.
func TestPartitionDuringTheColdTime(t *testing.T) {
	var m Membership
	m.Observe(72, start)
	if got := m.Observe(72, start.Add(settlingTime)); got != 72 {
		t.Fatalf("%d hosts after the settling time, want 72", got)
	}
	cut := start.Add(settlingTime)
	if got := m.Observe(36, cut.Add(50*time.Second)); got != 72 {
		t.Errorf("%d hosts during the partition, want 72", got)
	}
	if got := m.Observe(36, cut.Add(membershipMemory+time.Second)); got != 36 {
		t.Errorf("%d hosts a minute after the others were last known, want 36", got)
	}
}

// Guards against a host that has just started and takes itself for the only one.
func TestStartingHostDoesNotKnowItsShare(t *testing.T) {
	var m Membership
	if got := m.Observe(1, start); got != 0 {
		t.Errorf("%d hosts at the start, want unknown", got)
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	var c Cold
	c.Extend(start.Add(time.Hour))
	for at := start; at.Before(start.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
		if c.Allows(bound, 0, rnd, at) {
			t.Fatal("a host that does not know its share sends to a cold target")
		}
	}
}

// Load pattern: a zone that returns cold at once. Guards against requests that were granted before
// their targets became cold, and against admissions that are sent late or twice.
func TestZoneThatReturnsColdAtOnce(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var c Cold
	if !c.Allows(bound, 72, rnd, start) || !c.Spend(bound, start) {
		t.Fatal("a target that is not cold is limited")
	}
	c.Extend(start.Add(time.Hour))
	if c.Spend(bound, start) {
		t.Error("a request that was granted before the target became cold is sent")
	}
	c.Admit(bound, 72, rnd, start)
	if c.Spend(bound, start.Add(maxSendDelay+1)) {
		t.Error("an admission is sent late")
	}
	c.Admit(bound, 72, rnd, start)
	if !c.Spend(bound, start) || c.Spend(bound, start) {
		t.Error("an admission must be sent exactly once")
	}
}

// Guards against opportunities that idle hosts keep until a burst arrives.
func TestIdleHostsKeepNoOpportunities(t *testing.T) {
	sent := 0
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		for range 72 {
			var c Cold
			c.Extend(start.Add(time.Hour))
			c.Allows(bound, 72, rnd, start)
			if c.Allows(bound, 72, rnd, start.Add(time.Minute)) {
				sent++
			}
		}
	}
	if sent > 50*4 {
		t.Errorf("%d requests at the start of 50 bursts after idle times", sent)
	}
}

// Guards against a service without a bound being limited.
func TestNoBound(t *testing.T) {
	for _, b := range []Bound{{}, {PerSecond: 8}, {Duration: time.Second}} {
		var c Cold
		c.Extend(start.Add(time.Hour))
		if !c.Allows(b, 0, nil, start) || !c.Spend(b, start) {
			t.Errorf("%+v limits requests", b)
		}
	}
}
