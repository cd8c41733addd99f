package soak

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/standin/fleetuser"
	"sardinefront.dev/standin/slotengine"
)

var start = time.Unix(1000, 0)

func eventStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString("id: " + string(rune('0'+i)) + "\ndata: piece-" + string(rune('0'+i)) + "\n\n")
	}
	return b.String()
}

// Guards against checks that cannot fail: each exchange violates one guarantee.
func TestChecksFindViolations(t *testing.T) {
	run := slotengine.Run{RequestID: "r"}
	okResponse := fleetuser.Response{Status: http.StatusOK, ID: "r", Body: "plain from i-1", Complete: true}
	cases := []struct {
		guarantee string
		path      string
		response  fleetuser.Response
		runs      []slotengine.Run
	}{
		{"run limit", fleetuser.PathUnsafe, okResponse, []slotengine.Run{run, run}},
		{"run limit", fleetuser.PathSafe, okResponse, []slotengine.Run{run, run, run}},
		{"not run", fleetuser.PathUnsafe, fleetuser.Response{Status: http.StatusServiceUnavailable, Complete: true}, []slotengine.Run{run}},
		{"own response", fleetuser.PathSafe, okResponse, nil},
		{"own response", fleetuser.PathSafe, fleetuser.Response{Status: http.StatusOK, ID: "other", Complete: true}, []slotengine.Run{run}},
		{"own response", fleetuser.PathSafe, fleetuser.Response{Status: http.StatusOK, ID: "r", Body: "not yours", Complete: true}, []slotengine.Run{run}},
		{"complete events", fleetuser.PathResumableStream, fleetuser.Response{Status: http.StatusOK, ID: "r", Body: eventStream(2) + "id: 3\nda"}, []slotengine.Run{run}},
		{"each event once", fleetuser.PathResumableStream, fleetuser.Response{Status: http.StatusOK, ID: "r", Body: eventStream(2) + eventStream(1)}, []slotengine.Run{run}},
		{"truncation is detectable", fleetuser.PathResumableStream, fleetuser.Response{Status: http.StatusOK, ID: "r", Body: eventStream(3), Complete: true}, []slotengine.Run{run}},
	}
	for _, c := range cases {
		x := &exchange{request: fleetuser.Request{ID: "r", Path: c.path + "x"}, response: c.response}
		found := append(checkRuns(x, c.runs), checkResponse(x)...)
		if len(found) != 1 || found[0].Guarantee != c.guarantee {
			t.Errorf("%s: found %v, want one violation", c.guarantee, found)
		}
	}
	x := &exchange{request: fleetuser.Request{ID: "r", Path: fleetuser.PathSafe}, response: okResponse}
	if found := append(checkRuns(x, []slotengine.Run{run, run}), checkResponse(x)...); len(found) != 0 {
		t.Errorf("violations in a correct exchange: %v", found)
	}
}

// Guards against late or cut exchanges that are accepted although no disturbance of the
// host overlaps them, and against violations reported for the effects of a disturbance.
func TestOnlyDisturbancesExcuseLateOrCutExchanges(t *testing.T) {
	w, h := &world{}, &entryHost{name: "a"}
	x := &exchange{
		host: h, dialedAt: start, sentAt: start, endedAt: start.Add(4 * time.Second),
		request: fleetuser.Request{ID: "r", Timeout: time.Second}, err: errors.New("unexpected EOF"),
	}
	if found := w.checkCompletion(x); len(found) != 2 {
		t.Errorf("late and cut exchange: %v, want 2 violations", found)
	}
	h.disturbances.list = []interval{{start.Add(-3 * time.Second), start.Add(-2 * time.Second)}}
	if found := w.checkCompletion(x); len(found) != 2 {
		t.Errorf("late and cut exchange after an earlier disturbance: %v, want 2 violations", found)
	}
	h.disturbances.list = []interval{{start.Add(time.Second), start.Add(2 * time.Second)}}
	if found := w.checkCompletion(x); len(found) != 0 {
		t.Errorf("exchange during a disturbance: %v, want no violation", found)
	}
}

// Guards against a check that misses requests at a server long after it was listed as
// draining, or reports those of a host whose connection to the store was disturbed.
func TestLateRequestsAtADrainingServerAreFound(t *testing.T) {
	e, err := slotengine.Start(slotengine.Config{ID: "i-1", Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	c, err := fleetuser.Dial(e.Address(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Do(fleetuser.Request{ID: "r", Method: http.MethodGet, Path: "/", Timeout: time.Second}, 0); err != nil {
		t.Fatal(err)
	}
	s := &server{id: "i-1", Server: e, drainingAt: time.Now().Add(-drainingGrace - time.Second)}
	h := &entryHost{name: "a"}
	w := &world{servers: []*server{s}}
	seen := observations{exchanges: []exchange{{host: h, request: fleetuser.Request{ID: "r"}}}}
	if found := w.checkDraining(seen); len(found) != 1 {
		t.Errorf("late request: %v, want 1 violation", found)
	}
	h.storeDisturbances.list = []interval{{from: time.Now().Add(-time.Second)}}
	if found := w.checkDraining(seen); len(found) != 0 {
		t.Errorf("late request of a host without the store: %v, want no violation", found)
	}
}

// Guards against a schedule that differs between two runs with the same seed.
func TestSameSeedPlansSameSchedule(t *testing.T) {
	a, b := planFaults(7, 4, 10*time.Second), planFaults(7, 4, 10*time.Second)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d and %d actions", len(a), len(b))
	}
	for i := range a {
		if a[i].offset != b[i].offset || a[i].description != b[i].description {
			t.Errorf("action %d: %s at %s, then %s at %s", i, a[i].description, a[i].offset, b[i].description, b[i].offset)
		}
	}
}
