package soak

import (
	"testing"
	"time"

	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/slotengine"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// arrival returns an arrival at a server, ms after start.
func arrival(id, connection string, ms int, backOffLeft time.Duration) slotengine.Arrival {
	return slotengine.Arrival{RequestID: id, Connection: connection, At: at(ms), BackOffLeft: backOffLeft}
}

// Guards against a check that misses requests at a leaving server, or reports those that were
// sent in time, came through another host or followed a restart.
func TestLateRequestsAtALeavingServerAreFound(t *testing.T) {
	a, b := &entryHost{name: "a"}, &entryHost{name: "b"}
	seen := observations{exchanges: []exchange{
		{host: a, sentAt: at(0), request: fleetuser.Request{ID: "told"}, response: fleetuser.Response{Server: "i-0", Leaving: true, HeaderAt: at(10)}},
		{host: a, sentAt: at(2000), request: fleetuser.Request{ID: "in-time"}},
		{host: a, sentAt: at(2100), request: fleetuser.Request{ID: "late"}},
		{host: b, sentAt: at(2100), request: fleetuser.Request{ID: "other-host"}},
	}}
	arrivals := []slotengine.Arrival{arrival("told", "1", 5, 0), arrival("in-time", "1", 2050, 0), arrival("late", "1", 2150, 0), arrival("other-host", "2", 2150, 0)}
	if found := checkLeavingAt("i-0", arrivals, passedOnLeaving(seen), seen.exchangesByID()); len(found) != 1 {
		t.Errorf("%v, want one violation", found)
	}
	a.outages.list = []interval{{at(-1000), at(-500)}}
	if found := checkLeavingAt("i-0", arrivals, passedOnLeaving(seen), seen.exchangesByID()); len(found) != 1 {
		t.Errorf("after an earlier restart: %v, want one violation", found)
	}
	a.outages.list = []interval{{at(500), at(600)}}
	if found := checkLeavingAt("i-0", arrivals, passedOnLeaving(seen), seen.exchangesByID()); len(found) != 0 {
		t.Errorf("after a restart: %v, want no violation", found)
	}
}

// Guards against a check that misses requests during a back-off, also reservations, or reports
// those of the first half second, after the end, of other hosts or of a host that was cut off.
func TestRequestsDuringABackOffAreFound(t *testing.T) {
	a, b := &entryHost{name: "a"}, &entryHost{name: "b"}
	seen := observations{exchanges: []exchange{{host: a, request: fleetuser.Request{ID: "a"}}, {host: b, request: fleetuser.Request{ID: "b"}}}}
	late := func(count int) []slotengine.Arrival {
		arrivals := []slotengine.Arrival{arrival("a", "1", 0, 0), arrival("b", "2", 0, 0), arrival("a", "1", 100, 2*time.Second), arrival("", "1", 400, 1700*time.Millisecond)}
		for range count {
			arrivals = append(arrivals, arrival("", "1", 1000, 1100*time.Millisecond))
		}
		return append(arrivals, arrival("b", "2", 1200, 900*time.Millisecond), arrival("a", "1", 2200, 0), arrival("a", "1", 2300, 0), arrival("a", "1", 2400, 0))
	}
	s := &server{id: "i-0"}
	if found := checkBackOffsAt(s, late(2), seen.exchangesByID()); len(found) != 0 {
		t.Errorf("two requests: %v, want no violation", found)
	}
	if found := checkBackOffsAt(s, late(3), seen.exchangesByID()); len(found) != 1 {
		t.Errorf("three requests: %v, want one violation", found)
	}
	s.linkDisturbances.list = []interval{{at(500), at(600)}}
	if found := checkBackOffsAt(s, late(3), seen.exchangesByID()); len(found) != 0 {
		t.Errorf("while the link was disturbed: %v, want no violation", found)
	}
}

// Guards against servers that leave or push back and change the faults of a seed that has found
// a failure.
func TestClosuresLeaveTheFaultsOfASeedAlone(t *testing.T) {
	cfg := Config{HostCount: 4, FaultDuration: 12 * time.Second}
	faults := plan(cfg, 7)
	cfg.TargetClosures = true
	all := plan(cfg, 7)
	if len(all) <= len(faults) {
		t.Fatalf("%d actions with closures, %d without", len(all), len(faults))
	}
	i := 0
	for _, a := range all {
		if i < len(faults) && a.offset == faults[i].offset && a.description == faults[i].description {
			i++
		}
	}
	if i != len(faults) {
		t.Errorf("%d of %d faults found in order", i, len(faults))
	}
}
