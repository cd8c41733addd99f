package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sardinefront.dev/gateway/quota"
)

// zoneFleet simulates the hosts of several availability zones. Reports within a zone come at
// the full rate, others every crossZoneTicks report intervals.
type zoneFleet struct {
	*fleet
	zones   int
	rnd     *rand.Rand
	refused []int // requests, by zone
}

const (
	zoneFleetHosts = 95
	zoneFleetZones = 5
	crossZoneTicks = 8
)

func newZoneFleet(limit quota.Limit) *zoneFleet {
	f := &fleet{now: time.Unix(1000, 0), start: time.Unix(1000, 0), partitioned: func(int, int) bool { return false }}
	for i := range zoneFleetHosts {
		m := quota.New(tolerance)
		m.SetLimits(map[string]quota.Limit{"org": limit}, f.now)
		f.hosts = append(f.hosts, m)
		f.names = append(f.names, fmt.Sprintf("h%d", i))
	}
	z := &zoneFleet{fleet: f, zones: zoneFleetZones, rnd: rand.New(rand.NewPCG(1, 2)), refused: make([]int, zoneFleetZones)}
	z.report(func(int, int) bool { return true })
	return z
}

// zone returns the zone of a host.
func (z *zoneFleet) zone(host int) int { return host % z.zones }

// report delivers the reports between all pairs of hosts for which due returns true.
func (z *zoneFleet) report(due func(from, to int) bool) {
	for i, from := range z.hosts {
		use, fleetUse := from.OwnUsage(time.Time{}), from.FleetUsage(z.now)
		for j, to := range z.hosts {
			if i == j || z.partitioned(i, j) || !due(i, j) {
				continue
			}
			interval := reportInterval
			if z.zone(i) != z.zone(j) {
				interval *= crossZoneTicks
			}
			to.RecordPeerUsage(quota.Report{
				From: z.names[i], Incarnation: z.start.UnixNano() + int64(i), Own: use, Fleet: fleetUse,
				Complete: true, Interval: interval, Uptime: z.now.Sub(z.start),
			}, z.now)
		}
	}
}

// run lets random hosts ask for units at the given rate, in units per second of all hosts. A
// host gets two requests, one after the other.
func (z *zoneFleet) run(d time.Duration, rate, units float64) {
	const step = 10 * time.Millisecond
	pending, host, asked := 0.0, 0, 0
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(step) {
		for pending += rate * step.Seconds(); pending >= units; pending -= units {
			if asked++; asked%2 == 1 {
				host = z.rnd.IntN(len(z.hosts))
			}
			if z.hosts[host].Acquire("org", units, z.now) == 0 {
				z.grants = append(z.grants, grant{z.now, units})
			} else {
				z.refused[z.zone(host)]++
			}
		}
		if tick := int(z.now.Sub(z.start) / reportInterval); z.now.Sub(z.start)%reportInterval == 0 {
			z.report(func(from, to int) bool { return z.zone(from) == z.zone(to) || (tick+from)%crossZoneTicks == 0 })
		}
	}
}

var zoneFleetLimit = quota.Limit{Rate: 100000, Burst: 100000}

// Guards against refusing an organisation that uses a third of its quota: a host that had just
// granted one request took its own rate for that of 94 hosts.
func TestSparseRequestsOfALargeFleetAreGranted(t *testing.T) {
	z := newZoneFleet(zoneFleetLimit)
	z.run(20*time.Second, maxAllowedUse(zoneFleetLimit)/window.Seconds()/3, 6000)
	for zone, n := range z.refused {
		if n > 0 {
			t.Errorf("%d requests refused in zone %d", n, zone)
		}
	}
}

// Guards against a zone that is cut off and refuses requests of organisations that use less than
// the zone's share of their quota.
func TestCutZoneGrantsItsShare(t *testing.T) {
	z := newZoneFleet(zoneFleetLimit)
	rate := maxAllowedUse(zoneFleetLimit) / window.Seconds() / 3
	z.run(10*time.Second, rate, 3000)
	z.partitioned = func(i, j int) bool { return (z.zone(i) == 0) != (z.zone(j) == 0) }
	z.run(6*time.Second, rate, 3000)
	for zone, n := range z.refused {
		if n > 0 {
			t.Errorf("%d requests refused in zone %d", n, zone)
		}
	}
}

// Guards against use beyond the window's limit where an organisation suddenly asks for ten times
// its usual load at many hosts, whose reports to other zones are rare, and against a quota that
// is not used in full by then.
func TestSuddenBurstInALargeFleetStaysWithinTheWindow(t *testing.T) {
	usual := maxAllowedUse(zoneFleetLimit) / window.Seconds() / 4
	for name, cut := range map[string]bool{"connected": false, "zone cut off": true} {
		t.Run(name, func(t *testing.T) {
			z := newZoneFleet(zoneFleetLimit)
			z.run(10*time.Second, usual, 3000)
			if cut {
				z.partitioned = func(i, j int) bool { return (z.zone(i) == 0) != (z.zone(j) == 0) }
				z.run(2*time.Second, usual, 3000)
			}
			z.run(10*time.Second, 10*usual, 3000)
			got, owed := maxWindowUse(z.grants), zoneFleetLimit.Rate*window.Seconds()
			if got > maxAllowedUse(zoneFleetLimit) || got < owed {
				t.Errorf("%.0f units in a window, allowed %.0f, owed %.0f", got, maxAllowedUse(zoneFleetLimit), owed)
			}
			t.Logf("%.3f of the allowed use", got/maxAllowedUse(zoneFleetLimit))
		})
	}
}
