package simulate

import (
	"testing"
	"time"

	"sardinefront.dev/fleet/member"
)

const memberSeed = 11

// newFleet starts a converged fleet and runs it for 5 s.
func newFleet(t *testing.T, zones, perZone int, loss float64) *World {
	t.Helper()
	t.Logf("seed %d", memberSeed)
	w := New(memberSeed, Layout{Zones: zones, HostsPerZone: perZone, LossRate: loss})
	w.StartConverged()
	w.Run(5 * time.Second)
	return w
}

// countDeaths counts, from now on, the events that declare a host dead, by that host.
func countDeaths(w *World) map[string]int {
	count := make(map[string]int)
	w.OnEvent = func(_ *Host, e Event) {
		if e.Kind == member.BecameDead {
			count[e.Member.Name]++
		}
	}
	return count
}

// allSee returns a function that reports whether every running host other than o has o in
// the given state.
func allSee(w *World, o *Host, s member.State) func() bool {
	return func() bool {
		for _, h := range w.Hosts {
			if h == o || !h.Up() {
				continue
			}
			if m, ok := h.LookupHost(o); !ok || m.State != s {
				return false
			}
		}
		return true
	}
}

// within fails the test if done does not return true within the limit of virtual time.
func within(t *testing.T, w *World, limit time.Duration, what string, done func() bool) {
	t.Helper()
	took, ok := w.RunUntil(limit, done)
	if !ok {
		t.Errorf("%s: not within %v", what, limit)
		return
	}
	t.Logf("%s: after %v", what, took)
}

// Guards against hosts that are declared dead only because messages are lost.
func TestMessageLossCausesNoDeaths(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 12, 0.02)
	dead := countDeaths(w)
	w.Run(5 * time.Minute)
	if len(dead) != 0 {
		t.Errorf("declared dead: %v", dead)
	}
}

// Guards against late detection of a crash: the zone needs it to take over the host's
// requests within 10 s.
func TestCrashIsDetected(t *testing.T) {
	t.Parallel()
	for _, shape := range [][2]int{{3, 3}, {3, 40}, {9, 40}} {
		w := newFleet(t, shape[0], shape[1], 0.001)
		dead := countDeaths(w)
		h := w.Hosts[1]
		h.Crash()
		within(t, w, 8*time.Second, "first declared dead", func() bool { return dead[h.Name] > 0 })
		within(t, w, 8*time.Second, "declared dead everywhere", allSee(w, h, member.Dead))
		h.Start()
		within(t, w, 10*time.Second, "alive again everywhere", allSee(w, h, member.Alive))
		if len(dead) != 1 {
			t.Errorf("declared dead: %v", dead)
		}
	}
}

// Guards against declaring hosts dead that some peers cannot reach but others can.
func TestPartialPartitionsCauseNoDeaths(t *testing.T) {
	t.Parallel()
	cases := map[string]func(w *World){
		"one way inside a zone":   func(w *World) { w.Partition(w.Hosts[0], w.Hosts[1], false) },
		"both ways in a zone":     func(w *World) { w.Partition(w.Hosts[0], w.Hosts[1], true) },
		"one way between zones":   func(w *World) { partitionZones(w, 0, 1, false) },
		"both ways, third relays": func(w *World) { partitionZones(w, 0, 1, true) },
	}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			w := newFleet(t, 3, 8, 0)
			dead := countDeaths(w)
			cut(w)
			w.Run(3 * time.Minute)
			if len(dead) != 0 {
				t.Errorf("declared dead: %v", dead)
			}
		})
	}
}

func partitionZones(w *World, a, b int, both bool) {
	for _, x := range w.Hosts {
		for _, y := range w.Hosts {
			if x.zone == a && y.zone == b {
				w.Partition(x, y, both)
			}
		}
	}
}

// Guards against a host that receives nothing and therefore suspects all others: the
// suspicions that it sends must not lead to other hosts being declared dead.
func TestHostThatReceivesNothingCausesNoOtherDeaths(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 8, 0)
	receivesNothing := w.Hosts[0]
	for _, h := range w.Hosts[1:] {
		w.Partition(h, receivesNothing, false)
	}
	dead := make(map[string]int)
	w.OnEvent = func(at *Host, e Event) {
		if e.Kind == member.BecameDead && at != receivesNothing {
			dead[e.Member.Name]++
		}
	}
	within(t, w, 15*time.Second, "host that receives nothing dead", allSee(w, receivesNothing, member.Dead))
	w.Run(2 * time.Minute)
	delete(dead, receivesNothing.Name)
	if len(dead) != 0 {
		t.Errorf("others declared dead: %v", dead)
	}
	w.Heal()
	within(t, w, 20*time.Second, "alive after the partition", allSee(w, receivesNothing, member.Alive))
}

// Guards the recovery of a paused process: it must refute its own suspicion, and must not
// declare others dead because it received no responses during the pause.
func TestPausedHostRefutes(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{2 * time.Second, 20 * time.Second, 5 * time.Minute} {
		w := newFleet(t, 3, 8, 0)
		dead := countDeaths(w)
		h := w.Hosts[3]
		h.Pause()
		w.Run(pause)
		h.Resume()
		within(t, w, 15*time.Second, "alive again everywhere", allSee(w, h, member.Alive))
		w.Run(time.Minute)
		delete(dead, h.Name)
		if len(dead) != 0 {
			t.Errorf("after %v others were declared dead: %v", pause, dead)
		}
	}
}

// Guards against a restart that is not detected because the host was down too briefly to
// be suspected: all hosts must receive the new incarnation.
func TestQuickRestartIsDetected(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 8, 0)
	h := w.Hosts[5]
	h.Crash()
	w.Run(300 * time.Millisecond)
	h.Start()
	within(t, w, 10*time.Second, "new incarnation everywhere", func() bool {
		for _, o := range w.Hosts {
			if m, _ := o.LookupHost(h); m.Incarnation != h.Incarnation() || m.State != member.Alive {
				return false
			}
		}
		return true
	})
}

// Guards the detection of several hosts that fail at once, as behind a failed switch: they
// must be declared dead, and no other host.
func TestSimultaneousCrashes(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 20, 0.001)
	dead := countDeaths(w)
	for _, h := range w.Hosts[4:12] {
		h.Crash()
	}
	within(t, w, 20*time.Second, "failed hosts dead everywhere", func() bool {
		for _, h := range w.Hosts[4:12] {
			if !allSee(w, h, member.Dead)() {
				return false
			}
		}
		return true
	})
	w.Run(time.Minute)
	if len(dead) != 8 {
		t.Errorf("declared dead: %v", dead)
	}
}

// Guards the recovery after a zone was partitioned for longer than records of dead members
// are kept.
func TestZonePartitionHeals(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 6, 0)
	w.PartitionZone(1)
	w.Run(12 * time.Minute)
	inside, outside := w.Hosts[6], w.Hosts[0]
	if m, _ := outside.LookupHost(inside); m.State != member.Dead {
		t.Errorf("the partitioned zone is seen as %v", m.State)
	}
	if m, _ := inside.LookupHost(w.Hosts[7]); m.State != member.Alive {
		t.Errorf("inside the zone its own hosts are seen as %v", m.State)
	}
	w.Heal()
	within(t, w, 30*time.Second, "all alive everywhere", func() bool {
		for _, h := range w.Hosts {
			if !allSee(w, h, member.Alive)() {
				return false
			}
		}
		return true
	})
}

// Guards the events for hosts that the platform lists as leaving, and planned stops.
func TestLeaving(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 3, 6, 0)
	leaving := 0
	w.OnEvent = func(_ *Host, e Event) {
		if e.Kind == member.BecameLeaving {
			leaving++
		}
	}
	h := w.Hosts[2]
	h.Leaving = true
	w.Run(11 * time.Second)
	if leaving != len(w.Hosts)-1 {
		t.Errorf("%d events for the leaving host", leaving)
	}
	h.Stop()
	within(t, w, 6*time.Second, "left everywhere", allSee(w, h, member.Left))
	h.Unlisted = true
	within(t, w, 12*time.Minute, "record removed", func() bool {
		for _, o := range w.Hosts {
			if _, known := o.LookupHost(h); known && o != h {
				return false
			}
		}
		return true
	})
}
