package pool

import (
	"testing"
	"time"

	"sardinefront.dev/core/request"
)

// runLoad advances the zone by a number of steps at the given request rates per second.
func (z *simZone) runLoad(steps int, urgent, interactive, patient float64) {
	for range steps {
		z.offer(request.Urgent, urgent, 20*time.Second, "a")
		z.offer(request.Interactive, interactive, 20*time.Second, "a")
		z.offer(request.Patient, patient, time.Hour, "a")
		z.step()
	}
}

// Guards against refusing requests of a higher tier while lower ones are started on any
// host of the zone, against dispatching a request twice, and against refusing accepted
// patient requests. The zone serves about 22 requests per second.
func TestOverloadKeepsTheSheddingOrder(t *testing.T) {
	for seed := range uint64(4) {
		for _, sharing := range []Sharing{PeerDigests, HostShares, Probing} {
			z := newZone(seed, 6, 12, Config{Name: "p", Sharing: sharing})
			z.runLoad(1000, 4, 6, 20)
			z.runLoad(1500, 14, 30, 20)
			z.runLoad(1500, 60, 30, 20)
			z.runLoad(1000, 4, 6, 0)
			t.Logf("seed %d, sharing %d: in time %v, refused %v, paused %d", seed, sharing, z.inTime, z.refused, z.paused)
			z.check(t)
			if z.refused[request.Patient] > 0 {
				t.Errorf("seed %d, sharing %d: %d accepted patient requests were refused", seed, sharing, z.refused[request.Patient])
			}
			if z.paused == 0 || z.refused[request.Urgent] == 0 {
				t.Errorf("no overload: paused %d patient requests, refused %d urgent ones", z.paused, z.refused[request.Urgent])
			}
		}
	}
}

// Guards against an organisation that gets more than its share of the zone by sending more
// requests: both have waiting requests all the time, and one offers three times as many.
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
	z.tokensByOrganisation = map[string]float64{}
	run(4000)
	ratio := z.tokensByOrganisation["large"] / z.tokensByOrganisation["small"]
	t.Logf("organisation large got %.2f times as many tokens as small", ratio)
	if ratio < 0.9 || ratio > 1.1 {
		t.Errorf("organisation large got %.2f times as many tokens as small, want 0.9 to 1.1", ratio)
	}
}

// Guards against refusing urgent requests because lower tiers use the capacity. The urgent
// load fits into the zone, the load of all tiers does not.
func TestUrgentGoodputWhenUrgentFits(t *testing.T) {
	for seed := range uint64(3) {
		z := newZone(seed+10, 6, 12, Config{Name: "p"})
		z.runLoad(4000, 10, 40, 20)
		offered := z.inTime[0] + z.refused[0]
		for range 1500 {
			z.step()
		}
		t.Logf("seed %d: in time %v, refused %v", seed+10, z.inTime, z.refused)
		if z.refused[0]*100 > offered {
			t.Errorf("seed %d: %d urgent requests were refused of %d", seed+10, z.refused[0], offered)
		}
		z.check(t)
	}
}

// Guards against patient requests that stay paused after the overload has ended.
func TestPausedRequestsComplete(t *testing.T) {
	z := newZone(3, 6, 12, Config{Name: "p"})
	z.runLoad(1000, 0, 0, 10)
	z.runLoad(1000, 40, 0, 0)
	before := z.paused
	for range 6000 {
		z.step()
	}
	if before == 0 || z.completed[request.Patient] != len(z.dispatches)-z.completed[0] || len(z.runs) != 0 {
		t.Errorf("paused %d, completed %v of %d dispatched, %d unfinished", before, z.completed, len(z.dispatches), len(z.runs))
	}
	z.check(t)
}

// Guards against a slowed target that keeps its share of new requests, and against one
// that gets none after it has recovered. With one host, that host observes all of the
// target's requests; with 20, most hosts have none in progress there.
func TestSlowedTargetLosesItsShare(t *testing.T) {
	for _, c := range []struct{ hosts, engines int }{{1, 12}, {6, 12}, {20, 80}} {
		z := newZone(5, c.hosts, c.engines, Config{Name: "p"})
		f := float64(c.engines) / 12
		share := func(steps int) float64 {
			z.dispatchesByEngine = map[string]int{}
			z.runLoad(steps, 5*f, 5*f, 10*f)
			all := 0
			for _, n := range z.dispatchesByEngine {
				all += n
			}
			return float64(z.dispatchesByEngine["e004"]) / (float64(all) / float64(c.engines))
		}
		share(2000)
		z.engines[4].slowdown = 3
		share(150)
		slow := share(1000)
		z.engines[4].slowdown = 1
		share(2000)
		after := share(1000)
		t.Logf("%d hosts: %.2f of an equal share 1.5 s after the slowdown, %.2f 20 s after recovery", c.hosts, slow, after)
		if slow > 0.5 || after < 0.2 {
			t.Errorf("%d hosts: got %.2f of an equal share when slow and %.2f when recovered, want at most 0.5 and at least 0.2", c.hosts, slow, after)
		}
	}
}

// Guards against new dispatches to a draining target, and against pausing or interrupting
// the requests in progress there.
func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	z := newZone(6, 3, 12, Config{Name: "p"})
	z.runLoad(1000, 4, 4, 4)
	markedAt := z.now
	var ts []Target
	for i, e := range z.engines {
		ts = append(ts, Target{Name: e.name, Version: "1", Local: true, Draining: i == 2})
	}
	for h, p := range z.hosts {
		z.perform(h, p.SetTargets(ts, z.now))
	}
	z.onDispatch = func(a Action) {
		if a.Target == "e002" && !a.Resume {
			t.Errorf("request dispatched to a draining target %s after it was marked", z.now.Sub(markedAt))
		}
	}
	z.runLoad(2000, 10, 10, 10)
	if n := len(z.engine("e002").queue); n > 0 {
		t.Errorf("%d requests in progress at the draining target after 20 s", n)
	}
}

// Guards against digests that exceed their part of the budget for control traffic, 5 KB/s
// per host. The zone has 40 hosts and 300 targets. Each host sends one digest per second to
// a random peer and replies to one on average.
func TestDigestBytesAtZoneSize(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 40 hosts")
	}
	z := newZone(8, 40, 300, Config{Name: "p"})
	z.runLoad(400, 60, 90, 150)
	z.digests, z.floorsSent = 0, 0
	z.runLoad(400, 60, 90, 150)
	// A floor message holds the pool's name, the tier and the time: 64 bytes with framing.
	perHost := (z.digests + 64*z.floorsSent) / 40 / 4
	t.Logf("%d bytes per second and host, %d floor messages", perHost, z.floorsSent)
	if perHost > 4500 {
		t.Errorf("%d bytes per second and host, want at most 4500", perHost)
	}
}

// Guards against urgent requests that are refused or late while half of the engines ask for a
// back-off of 5 s in every 10 s, and against requests that keep reaching these engines. The
// urgent load fits into the other half, the load of all tiers does not.
func TestUrgentGoodputWhileHalfOfTheEnginesPushBack(t *testing.T) {
	const hosts, cycles = 6, 4
	for seed := range uint64(3) {
		z := newZone(seed+20, hosts, 12, Config{Name: "p"})
		z.runLoad(1000, 5, 8, 8)
		for range cycles {
			for _, e := range z.engines[:6] {
				e.pushBackUntil = z.now.Add(5 * time.Second)
			}
			z.runLoad(1000, 5, 8, 8)
		}
		offered := z.inTime[0] + z.refused[0]
		for range 2500 {
			z.step()
		}
		t.Logf("seed %d: in time %v, refused %v, %d requests turned away", seed+20, z.inTime, z.refused, z.rejected)
		if z.refused[0]*100 > offered {
			t.Errorf("seed %d: %d urgent requests were refused of %d", seed+20, z.refused[0], offered)
		}
		if bound := 2 * hosts * 6 * cycles; z.rejected > bound {
			t.Errorf("seed %d: %d requests reached engines in their back-off, at most %d allowed", seed+20, z.rejected, bound)
		}
		z.check(t)
	}
}
