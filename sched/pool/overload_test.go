package pool

import (
	"testing"
	"time"

	"sardinefront.dev/core/request"
)

// offered runs the zone for some steps at the given rates per second.
func (z *zone) offered(steps int, urgent, interactive, patient float64) {
	for range steps {
		z.offer(request.Urgent, urgent, 20*time.Second, "a")
		z.offer(request.Interactive, interactive, 20*time.Second, "a")
		z.offer(request.Patient, patient, time.Hour, "a")
		z.step()
	}
}

// Guards against shedding a higher tier while a lower one is started anywhere
// in the zone, against second dispatches, and against losing patient work. The
// zone serves about 22 requests per second.
func TestOverloadKeepsTheSheddingOrder(t *testing.T) {
	for seed := range uint64(4) {
		for _, way := range []Sharing{PeerDigests, HostShares, Probing} {
			z := newZone(seed, 6, 12, Config{Name: "p", Sharing: way})
			z.offered(1000, 4, 6, 20)
			z.offered(1500, 14, 30, 20)
			z.offered(1500, 60, 30, 20)
			z.offered(1000, 4, 6, 0)
			t.Logf("seed %d way %d: good %v refused %v paused %d", seed, way, z.good, z.refused, z.paused)
			z.check(t)
			if z.refused[request.Patient] > 0 {
				t.Errorf("%d accepted patient requests were refused", z.refused[request.Patient])
			}
			if z.paused == 0 || z.refused[request.Urgent] == 0 {
				t.Error("the test does not reach overload")
			}
		}
	}
}

// Guards against an organisation that takes another's share of the zone with
// more requests: both wait all the time, one offers three times as much.
func TestOrganisationsShareTheZone(t *testing.T) {
	z := newZone(4, 6, 12, Config{Name: "p"})
	run := func(steps int) {
		for range steps {
			z.offer(request.Interactive, 96, 20*time.Second, "large")
			z.offer(request.Interactive, 32, 20*time.Second, "small")
			z.step()
		}
	}
	run(1500)
	z.byOrg = map[string]float64{}
	run(4000)
	ratio := z.byOrg["large"] / z.byOrg["small"]
	t.Logf("large got %.2f times as much as small", ratio)
	if ratio < 0.9 || ratio > 1.1 {
		t.Errorf("ratio %.2f", ratio)
	}
}

// Guards against urgent requests that lose capacity to lower tiers.
func TestUrgentGoodputWhenUrgentFits(t *testing.T) {
	for seed := range uint64(3) {
		z := newZone(seed+10, 6, 12, Config{Name: "p"})
		z.offered(4000, 10, 40, 20)
		offered := z.good[0] + z.refused[0]
		for range 1500 {
			z.step()
		}
		t.Logf("seed %d: good %v refused %v", seed+10, z.good, z.refused)
		if z.refused[0]*100 > offered {
			t.Errorf("seed %d: %d urgent requests were refused of %d", seed+10, z.refused[0], offered)
		}
		z.check(t)
	}
}

// Guards against patient work that stays paused once there is room again.
func TestPausedWorkEnds(t *testing.T) {
	z := newZone(3, 6, 12, Config{Name: "p"})
	z.offered(1000, 0, 0, 10)
	z.offered(1000, 40, 0, 0)
	before := z.paused
	for range 6000 {
		z.step()
	}
	if before == 0 || z.done[request.Patient] != len(z.started)-z.done[0] || len(z.runs) != 0 {
		t.Errorf("paused %d, done %v of %d started, %d unfinished", before, z.done, len(z.started), len(z.runs))
	}
	z.check(t)
}

// Guards against a slowed target that keeps its share of new work, where one
// host sees it all and where most hosts have nothing in progress there, and
// against one that gets no work after it has recovered.
func TestSlowedTargetLosesItsShare(t *testing.T) {
	for _, c := range []struct{ hosts, engines int }{{1, 12}, {6, 12}, {20, 80}} {
		z := newZone(5, c.hosts, c.engines, Config{Name: "p"})
		f := float64(c.engines) / 12
		share := func(steps int) float64 {
			z.byEngine = map[string]int{}
			z.offered(steps, 5*f, 5*f, 10*f)
			all := 0
			for _, n := range z.byEngine {
				all += n
			}
			return float64(z.byEngine["e004"]) / (float64(all) / float64(c.engines))
		}
		share(2000)
		z.engines[4].slow = 3
		share(150)
		slow := share(1000)
		z.engines[4].slow = 1
		share(2000)
		after := share(1000)
		t.Logf("%d hosts: %.2f of an equal share from 1.5 s on, %.2f from 20 s after recovery", c.hosts, slow, after)
		if slow > 0.5 || after < 0.2 {
			t.Errorf("%d hosts: want at most 0.5 when slow and at least 0.2 when recovered", c.hosts)
		}
	}
}

// Guards against work for a leaving target, against pausing work there, and
// against interrupting it.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	z := newZone(6, 3, 12, Config{Name: "p"})
	z.offered(1000, 4, 4, 4)
	left := z.now
	var ts []Target
	for i, e := range z.engines {
		ts = append(ts, Target{Name: e.name, Version: "1", Local: true, Draining: i == 2})
	}
	for h, p := range z.hosts {
		z.act(h, p.SetTargets(ts, z.now))
	}
	z.onDispatch = func(a Action) {
		if a.Target == "e002" && !a.Resume {
			t.Errorf("dispatch to a leaving target %s after the notice", z.now.Sub(left))
		}
	}
	z.offered(2000, 10, 10, 10)
	if n := len(z.engine("e002").work); n > 0 {
		t.Errorf("%d requests still at the leaving target after 20 s", n)
	}
}

// Guards against digests that take more than their part of the 5 KB/s of
// control traffic per host, at the size of a zone: 40 hosts, 300 targets, each
// host sends one digest a second to one random peer and answers one on average.
func TestDigestBytesAtZoneSize(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 40 hosts")
	}
	z := newZone(8, 40, 300, Config{Name: "p"})
	z.offered(400, 60, 90, 150)
	z.digests, z.floorsSent = 0, 0
	z.offered(400, 60, 90, 150)
	// A floor message is the pool's name, tier and time: 64 bytes with framing.
	perHost := (z.digests + 64*z.floorsSent) / 40 / 4
	t.Logf("%d bytes per second and host, %d floor messages", perHost, z.floorsSent)
	if perHost > 4500 {
		t.Errorf("%d bytes per second and host", perHost)
	}
}
