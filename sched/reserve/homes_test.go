package reserve_test

import (
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/reserve"
)

// Guards against homes that bind only if the route or only if the organisation has them, and against
// an unknown region that counts as a home.
func TestHomesOfRouteAndOrganisationBothBind(t *testing.T) {
	for _, c := range []struct {
		homes  reserve.Homes
		region string
		want   bool
	}{
		{reserve.Homes{}, "", true},
		{reserve.Homes{}, "a", true},
		{reserve.Homes{Route: []string{"a", "b"}}, "b", true},
		{reserve.Homes{Route: []string{"a"}}, "", false},
		{reserve.Homes{Organisation: []string{"a", ""}}, "", false},
		{reserve.Homes{Route: []string{"a", "b"}, Organisation: []string{"b", "c"}}, "b", true},
		{reserve.Homes{Route: []string{"a", "b"}, Organisation: []string{"b", "c"}}, "a", false},
		{reserve.Homes{Route: []string{"a", "b"}, Organisation: []string{"b", "c"}}, "c", false},
	} {
		if got := c.homes.Allow(c.region); got != c.want {
			t.Errorf("%+v allow %q: %t", c.homes, c.region, got)
		}
	}
}

// homed returns a request that is bound to a region.
func homed(id, region string) *reserve.Waiter {
	w := waiter(id, request.Urgent, "o", start)
	w.Homes.Route = []string{region}
	return w
}

// Guards against requests that leave a full home region under overload, or after they have excluded
// all targets there, and against those that hold up the requests behind them meanwhile.
func TestFullHomeRegionIsNotLeft(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	list := engines(2, 1)
	list[0].Region, list[1].Region = "a", "b"
	p.SetTargets(list)
	submit(t, p, homed("runs", "a"), start)
	expectIDs(t, dispatchedIDs(p, start), "runs")
	waits := homed("waits", "a")
	waits.Exclude("e0")
	submit(t, p, waits, start)
	submit(t, p, waiter("free", request.Urgent, "o", start), start)
	grants := grantsOnly(p.Dispatch(start))
	if len(grants) != 1 || grants[0].Waiter.Request.ID != "free" || grants[0].Target != "e1" {
		t.Errorf("grants %v", grants)
	}
	later := start.Add(2 * time.Second)
	if ref := p.Submit(waiter("next", request.Urgent, "o", later), later); ref != nil {
		t.Errorf("a request without homes is refused because one with homes waits: %v", ref)
	}
}

// Guards against callers that wait in vain for a target in a region that has none, or only one in an
// evacuated zone.
func TestNoTargetAtHomeRefusesAsNotRun(t *testing.T) {
	p := reserve.New(reserve.Config{})
	list := zonedEngines()
	for i := range list {
		list[i].Region = list[i].Zone
	}
	p.SetTargets(list)
	p.SetEvacuatedZones(reserve.Zones{"north": true}, start)
	for _, region := range []string{"west", "north"} {
		if ref := p.Submit(homed("r", region), start); ref == nil || ref.RunState != refusal.NotRun || ref.RetryAfter <= 0 {
			t.Errorf("region %s: refusal %+v", region, ref)
		}
	}
	if ref := p.Submit(homed("r", "south"), start); ref != nil {
		t.Error(ref)
	}
}
