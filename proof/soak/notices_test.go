package soak

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/slotengine"
)

// Guards against a check that misses requests at a leaving server or in a back-off, or reports
// those of a host that was restarted meanwhile.
func TestRequestsAgainstNoticesAreFound(t *testing.T) {
	start := time.Now()
	h := &entryHost{name: "a"}
	exchanges := map[string]*exchange{}
	var leaving, backOff []slotengine.Arrival
	for i, offset := range []time.Duration{0, time.Second, 3 * time.Second, 3500 * time.Millisecond, 3600 * time.Millisecond} {
		id, at := fmt.Sprint("r-", i), start.Add(offset)
		exchanges[id] = &exchange{host: h, sentAt: at, endedAt: at, request: fleetuser.Request{ID: id}, response: fleetuser.Response{Status: 200}}
		leaving = append(leaving, slotengine.Arrival{RequestID: id, At: at, Leaving: true})
		backOff = append(backOff, slotengine.Arrival{RequestID: id, At: at, BackOffLeft: 5*time.Second - offset})
	}
	if found := checkLeaving("i-1", leaving, exchanges); len(found) != 3 {
		t.Errorf("leaving server: %v, want 3 violations", found)
	}
	if found := checkLeaving("i-1", leaving[:2], exchanges); len(found) != 0 {
		t.Errorf("leaving server: %v, want no violation within the grace time", found)
	}
	if found := checkBackOffs("i-1", backOff, exchanges); len(found) != 1 {
		t.Errorf("back-off: %v, want 1 violation", found)
	}
	if found := checkBackOffs("i-1", backOff[:3], exchanges); len(found) != 0 {
		t.Errorf("back-off: %v, want no violation for two late requests", found)
	}
	h.disturbances.list = []interval{{start.Add(500 * time.Millisecond), start.Add(600 * time.Millisecond)}}
	if found := append(checkLeaving("i-1", leaving, exchanges), checkBackOffs("i-1", backOff, exchanges)...); len(found) != 0 {
		t.Errorf("restarted host: %v, want no violation", found)
	}
}
