package reserve_test

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/reserve"
)

// goalWaiter returns a patient request with a goal of 500 ms whose caller states how long it waits.
func goalWaiter(id string, at time.Time, stated time.Duration) *reserve.Waiter {
	w := waiter(id, request.Patient, "o", at)
	w.LatencyGoal, w.StatedTimeout = 500*ms, stated
	return w
}

// overload sends twice as many requests as one slot can take, 20 ms per start, until the given time.
// It returns the waiting time of each one that was started, by its number, and the refused ones.
func overload(p *reserve.Pool, until time.Duration) (waits map[string]time.Duration, refused int) {
	waits = map[string]time.Duration{}
	var arrived []time.Time
	for at := time.Duration(0); at < until; at += 10 * ms {
		now := start.Add(at)
		arrived = append(arrived, now)
		if p.Submit(goalWaiter(fmt.Sprint(len(arrived)), now, 0), now) != nil {
			refused++
		}
		if at%(20*ms) == 0 {
			p.EndGrant("e0", reserve.OK, reserve.Sample{}, now)
		}
		grants, expired := p.Dispatch(now)
		refused += len(expired)
		for _, g := range grants {
			p.RecordReserved(g.Target)
			waits[g.Waiter.Request.ID] = now.Sub(g.Waiter.Request.Arrived)
		}
	}
	return waits, refused
}

// Load pattern: twice as many requests as slots for 3 s. Guards against a queue that serves each
// request just as it becomes late, and against refusing new requests for the wait of late ones.
func TestFreshRequestsAreServedInTimeUnderOverload(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	waits, refused := overload(p, 3*time.Second)
	early, inTime := 0, 0
	for _, wait := range waits {
		if wait <= 250*ms {
			early++
		}
		if wait < 500*ms {
			inTime++
		}
	}
	if inTime < 140 || early < 100 {
		t.Errorf("of 150 starts, %d are within the goal and %d within half of it", inTime, early)
	}
	if refused > 110 {
		t.Errorf("%d of 300 requests are refused", refused)
	}
}

// Load pattern: callers that return after a refusal while fresh requests wait. Guards against starting
// them before requests that can still meet their goal, and after late ones that came later.
func TestReturningRequestsGoFirstAmongTheLate(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	submit(t, p, goalWaiter("running", start, 12*time.Second), start)
	expectIDs(t, dispatchedIDs(p, start), "running")
	submit(t, p, goalWaiter("late", start, 12*time.Second), start)
	now := start.Add(600 * ms)
	dispatchedIDs(p, now)
	submit(t, p, goalWaiter("returned", now, 9*time.Second), now)
	submit(t, p, goalWaiter("fresh", now, 12*time.Second), now)
	for _, want := range []string{"fresh", "returned", "late"} {
		p.EndGrant("e0", reserve.OK, reserve.Sample{}, now)
		expectIDs(t, dispatchedIDs(p, now), want)
	}
}

// Load pattern: targets whose first event takes most of the goal. Guards against starting a request
// that is late by then before one that is not.
func TestLatestStartLeavesTimeForTheFirstEvent(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	submit(t, p, goalWaiter("running", start, 0), start)
	expectIDs(t, dispatchedIDs(p, start), "running")
	p.RecordFirstByte("e0", "", 200*ms, start)
	submit(t, p, goalWaiter("old", start, 0), start)
	now := start.Add(350 * ms)
	submit(t, p, goalWaiter("new", now, 0), now)
	p.EndGrant("e0", reserve.OK, reserve.Sample{}, now)
	expectIDs(t, dispatchedIDs(p, now), "new")
}
