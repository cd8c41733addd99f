package reserve_test

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/reserve"
)

// closeTargets makes targets leave (all but the first) and back off (the first) for d.
func closeTargets(p *reserve.Pool, d time.Duration, now time.Time, names ...string) {
	p.RecordBackOff(names[0], d, now)
	for _, name := range names[1:] {
		p.RecordLeaving(name, drain.FromResponse, true, now)
	}
}

// Guards against panic mode and exhausted exclusions, which make ejected and excluded targets
// available, that do so for targets that are leaving or in a back-off.
func TestClosedTargetsStayClosedInPanicModeAndWhenAllAreExcluded(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(3, 4))
	for range 20 { // ejects e2
		p.EndGrant("e2", reserve.BrokenResponse, reserve.Sample{}, start)
	}
	closeTargets(p, 5*time.Second, start, "e0", "e1")
	w := waiter("w", request.Urgent, "o", start)
	w.Exclude("e2")
	submit(t, p, w, start)
	if g := grantsOnly(p.Dispatch(start)); len(g) != 1 || g[0].Target != "e2" {
		t.Errorf("grants %v, want one at e2, the only open target", g)
	}
	p = reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(2, 4))
	p.RecordLeaving("e0", drain.FromPeer, true, start)
	p.RecordLeaving("e1", drain.FromResponse, true, start)
	for range 20 {
		p.EndGrant("e0", reserve.BrokenResponse, reserve.Sample{}, start)
		p.EndGrant("e1", reserve.BrokenResponse, reserve.Sample{}, start)
	}
	submit(t, p, waiter("v", request.Urgent, "o", start), start)
	expectIDs(t, dispatchedIDs(p, start))
}

// Guards against a slot that a peer offers, or that a finished request frees, at a closed target
// and that is used for a new request.
func TestFreedSlotOfClosedTargetIsNotUsed(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 1))
	submit(t, p, waiter("running", request.Urgent, "o", start), start)
	expectIDs(t, dispatchedIDs(p, start), "running")
	submit(t, p, waiter("next", request.Urgent, "o", start), start)
	p.RecordLeaving("e0", drain.FromResponse, true, start)
	p.EndGrant("e0", reserve.OK, reserve.Sample{}, start)
	p.SlotFreed("e0")
	expectIDs(t, dispatchedIDs(p, start))
}

// Guards against a closure that is forgotten when an outage of the store removes the target
// from the list and lists it again, and against one that its successor inherits.
func TestRelistedTargetStaysClosed(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(2, 4))
	closeTargets(p, time.Minute, start, "e0", "e1")
	p.SetTargets(nil)
	if p.Closure("e1", start) != drain.Leaving {
		t.Error("a removed target is open")
	}
	p.SetTargets(append(engines(2, 4), reserve.Target{Name: "e1-restarted", Slots: 4}))
	submit(t, p, waiter("w", request.Urgent, "o", start), start)
	if g := grantsOnly(p.Dispatch(start)); len(g) != 1 || g[0].Target != "e1-restarted" {
		t.Errorf("grants %v, want one at the new incarnation", g)
	}
}

// Guards against a target that stays closed after the list has withdrawn its leaving, and
// against an entry without the leaving that reopens it before.
func TestListReopensOnlyWhatItHasClosed(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	list := func(draining bool, at time.Time) []reserve.ClosureChange {
		return p.SetTargets([]reserve.Target{{Name: "e0", Slots: 4, Draining: draining, ListedAt: at}})
	}
	list(false, start)
	p.RecordLeaving("e0", drain.FromResponse, true, start.Add(ms))
	if c := list(false, start.Add(2*ms)); len(c) != 0 || p.Closure("e0", start.Add(2*ms)) != drain.Leaving {
		t.Errorf("changes %v by an entry that may be older than the response", c)
	}
	list(true, start.Add(3*ms))
	if c := list(false, start.Add(4*ms)); len(c) != 1 || c[0].Closure != drain.Open || c[0].Source != drain.FromList {
		t.Errorf("changes %v, want the target reopened by the list", c)
	}
}

// Guards against requests that all start in the instant in which a back-off ends, and against
// a dispatcher that sleeps past it. Requests that wait are served in the order of their lanes.
func TestRequestsReturnOneByOneAfterTheBackOff(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 4))
	c, changed := p.RecordBackOff("e0", 100*ms, start)
	if !changed || c.Until.Before(start.Add(100*ms)) {
		t.Fatalf("change %+v, %t", c, changed)
	}
	for i, tier := range []request.Tier{request.Patient, request.Interactive, request.Urgent} {
		submit(t, p, waiter(fmt.Sprint(tier), tier, "o", start.Add(time.Duration(i))), start)
	}
	var order []string
	now := start
	for now.Before(start.Add(time.Second)) && len(order) == 0 {
		if next := p.NextWake(now); next.After(now) {
			now = next
		} else {
			t.Fatalf("wake at %s, not after now", next.Sub(start))
		}
		order = dispatchedIDs(p, now)
	}
	expectIDs(t, order, fmt.Sprint(request.Urgent))
	if !now.Equal(c.Until) {
		t.Errorf("first request %s after the start, the back-off ends after %s", now.Sub(start), c.Until.Sub(start))
	}
	expectIDs(t, dispatchedIDs(p, now.Add(ms)))
	p.RecordReserved("e0")
	expectIDs(t, dispatchedIDs(p, now.Add(2*ms)), fmt.Sprint(request.Interactive), fmt.Sprint(request.Patient))
}

// Guards against refusals that make callers return too early, or all at once, or that hit
// requests which can wait for the end of the first back-off.
func TestRefusalsNameTheEndOfTheFirstBackOff(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(3, 4))
	p.RecordLeaving("e0", drain.FromResponse, true, start)
	p.RecordBackOff("e1", 20*time.Second, start)
	submit(t, p, waiter("one target is open", request.Patient, "o", start), start)
	first, _ := p.RecordBackOff("e2", 10*time.Second, start)
	delays := map[time.Duration]bool{}
	for i := range 20 {
		ref := p.Submit(waiter(fmt.Sprint(i), request.Urgent, "o", start), start)
		if ref == nil || ref.Reason != refusal.TargetsBackedOff || ref.RunState != refusal.NotRun {
			t.Fatalf("refusal %v", ref)
		}
		if left := first.Until.Sub(start); ref.RetryAfter < left || ref.RetryAfter > left+2*time.Second {
			t.Errorf("Retry-After of %s, the first back-off ends in %s", ref.RetryAfter, left)
		}
		delays[ref.RetryAfter] = true
	}
	if len(delays) < 15 {
		t.Errorf("only %d different delays among 20 refusals", len(delays))
	}
	// The latest start of a request is 2.6 s after its arrival.
	late := first.Until.Add(-2 * time.Second)
	_, expired := p.Dispatch(start.Add(3 * time.Second))
	submit(t, p, waiter("can wait", request.Patient, "o", late), late)
	if len(expired) != 1 || expired[0].Refusal.Reason != refusal.TargetsBackedOff || expired[0].Refusal.RetryAfter < 7*time.Second {
		t.Errorf("expired %v", expired)
	}
}

// Guards against a floor that blocks other hosts' less urgent requests although this host could
// not use a slot that they leave free.
func TestNoFloorWithoutOpenTargets(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, 4))
	submit(t, p, waiter("w", request.Urgent, "o", start), start)
	now := start
	for range 10 {
		for _, g := range grantsOnly(p.Dispatch(now)) {
			p.RecordFull(g.Target, now)
			p.Resubmit(g.Waiter)
		}
		now = now.Add(100 * ms)
	}
	if p.StarvedLane(now) == reserve.LaneCount {
		t.Fatal("the request is not starved")
	}
	p.RecordLeaving("e0", drain.FromResponse, true, now)
	if l := p.StarvedLane(now); l != reserve.LaneCount {
		t.Errorf("starved lane %d without an open target", l)
	}
}

// Guards against targets that push back and thereby delay attempts at the open ones: their
// refusals don't indicate that others are full.
func TestPushBackDoesNotPaceOtherTargets(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetHostCount(1000) // makes the pauses long
	list := engines(11, 1)
	list[10].Slots = 2
	p.SetTargets(list)
	for i := range 11 {
		submit(t, p, waiter(fmt.Sprint(i), request.Urgent, "o", start), start)
	}
	var rejected []*reserve.Waiter
	for _, g := range grantsOnly(p.Dispatch(start)) {
		if g.Target != "e10" {
			p.RecordBackOff(g.Target, time.Second, start)
			p.RecordFull(g.Target, start)
			rejected = append(rejected, g.Waiter)
		}
	}
	if len(rejected) < 9 {
		t.Fatalf("%d requests rejected, want at least 9", len(rejected))
	}
	p.Resubmit(rejected[0])
	expectIDs(t, dispatchedIDs(p, start), rejected[0].Request.ID)
}

// Guards against more requests at a target than it takes: those that ran there while it was not
// listed were not counted after it was listed again, and the end of one was counted for another.
func TestRelistedTargetKeepsItsRunningRequests(t *testing.T) {
	const slots = 2
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetTargets(engines(1, slots))
	for i := range slots + 3 {
		submit(t, p, waiter(fmt.Sprint(i), request.Urgent, "o", start), start)
	}
	expectIDs(t, dispatchedIDs(p, start), "0", "1")
	p.SetTargets(nil)
	p.EndGrant("e0", reserve.OK, reserve.Sample{}, start)
	p.SetTargets(engines(1, slots))
	expectIDs(t, dispatchedIDs(p, start), "2")
	p.EndGrant("e0", reserve.OK, reserve.Sample{}, start)
	expectIDs(t, dispatchedIDs(p, start), "3")
}
