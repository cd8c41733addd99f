package reserve_test

import (
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/reserve"
)

// zonedEngines returns two engines in north, e0 and e1, and two in south, e2 and e3.
func zonedEngines() []reserve.Target {
	list := engines(4, 1)
	for i := range list {
		list[i].Zone = []string{"north", "north", "south", "south"}[i]
	}
	return list
}

// Guards against requests that go to an evacuated zone under overload, also to targets that are
// listed again or have free slots, and against a zone that stays closed after its evacuation.
func TestOverloadDoesNotReachAnEvacuatedZone(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(zonedEngines())
	p.SetEvacuatedZones(reserve.Zones{"north": true}, start)
	p.SetTargets(zonedEngines()[2:])
	p.SetTargets(zonedEngines())
	for _, id := range []string{"a", "b", "c", "d"} {
		submit(t, p, waiter(id, request.Urgent, "o", start), start)
	}
	p.SlotFreed("e0")
	grants := grantsOnly(p.Dispatch(start))
	if len(grants) != 2 || p.Stats(start).Evacuated != 2 {
		t.Fatalf("grants %v, %d targets evacuated", grants, p.Stats(start).Evacuated)
	}
	for _, g := range grants {
		if g.Target == "e0" || g.Target == "e1" {
			t.Errorf("grant at %s", g.Target)
		}
	}
	p.SetEvacuatedZones(nil, start)
	if grants = grantsOnly(p.Dispatch(start)); len(grants) != 2 || p.Closure("e0", start) != drain.Open {
		t.Errorf("grants after the evacuation: %v", grants)
	}
}

// Guards against callers that wait for the end of an evacuation that may last for hours, and that
// learn too late that their requests did not run.
func TestEvacuationOfAllZonesRefusesAsNotRun(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(zonedEngines())
	submit(t, p, waiter("early", request.Urgent, "o", start), start)
	p.SetEvacuatedZones(reserve.Zones{"north": true, "south": true}, start)
	check := func(ref *refusal.Refusal) {
		t.Helper()
		if ref == nil || ref.RunState != refusal.NotRun || ref.RetryAfter <= 0 {
			t.Errorf("refusal %+v", ref)
		}
	}
	check(p.Submit(waiter("late", request.Urgent, "o", start), start))
	grants, expired := p.Dispatch(start.Add(time.Minute))
	if len(grants) != 0 || len(expired) != 1 {
		t.Fatalf("grants %v, expired %v", grants, expired)
	}
	check(expired[0].Refusal)
}
