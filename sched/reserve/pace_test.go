package reserve_test

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/pace"
	"sardinefront.dev/sched/reserve"
)

var coldBound = pace.Bound{PerSecond: 8, Duration: 3 * time.Second}

// Load pattern: a zone that returns cold at once, to many hosts with waiting requests. Guards against
// a target that gets more than its bound in some second, and against one that gets nothing. The
// bound holds for the targets of each zone alike: targets that are not cold serve as before.
func TestRequestsOfAllHostsToAColdTargetStayWithinTheBound(t *testing.T) {
	const hosts, limit = 72, 17
	list := engines(3, 4)
	list[0].WarmUpUntil, list[1].WarmUpUntil = start.Add(3*time.Second), start.Add(3*time.Second)
	sends := map[string][]time.Duration{}
	var pools []*reserve.Pool
	for i := range hosts {
		p := reserve.New(reserve.Config{Seed: uint64(i)})
		p.SetColdBound(coldBound)
		p.SetKnownHosts(hosts)
		p.SetTargets(list)
		pools = append(pools, p)
	}
	for at := time.Duration(0); at < 3*time.Second; at += 50 * ms {
		now := start.Add(at)
		for i, p := range pools {
			for j := range 8 {
				_ = p.Submit(waiter(fmt.Sprint(i, at, j), request.Urgent, "o", now), now)
			}
			for _, g := range grantsOnly(p.Dispatch(now)) {
				if p.StartSend(g.Target, now) {
					sends[g.Target] = append(sends[g.Target], at)
				}
				p.EndGrant(g.Target, reserve.OK, reserve.Sample{Latency: 10 * ms}, now)
			}
		}
	}
	for _, name := range []string{"e0", "e1"} {
		most := 0
		for i, at := range sends[name] {
			n := 0
			for _, other := range sends[name][i:] {
				if other-at < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		if most > limit || most == 0 {
			t.Errorf("%s: %d requests in the busiest second, the limit is %d", name, most, limit)
		}
	}
	if len(sends["e2"]) < 60*hosts {
		t.Errorf("%d requests at the target that is not cold", len(sends["e2"]))
	}
}

// Guards against requests that were granted, or reserved, before the target turned out to be cold.
func TestGrantedRequestIsNotSentToATargetThatHasBecomeCold(t *testing.T) {
	p := reserve.New(reserve.Config{Reservations: true})
	p.SetColdBound(coldBound)
	p.SetKnownHosts(72)
	p.SetTargets(engines(1, 4))
	submit(t, p, waiter("w", request.Urgent, "o", start), start)
	expectIDs(t, dispatchedIDs(p, start), "w")
	p.RecordCold("e0", start.Add(time.Second))
	if p.MaySend("e0", start) || p.StartSend("e0", start) {
		t.Error("the request may be reserved or sent")
	}
	if c := p.PaceChanges(start); len(c) != 1 || !c[0].Paced || p.Stats(start).Paced != 1 {
		t.Errorf("changes %v, want the begin of the pace", c)
	}
	if c := p.PaceChanges(start.Add(time.Second)); len(c) != 1 || c[0].Paced || !p.StartSend("e0", start.Add(time.Second)) {
		t.Errorf("changes %v, want the end of the pace", c)
	}
}

// dispatched returns how many of 20 new requests are dispatched to a target.
func dispatched(t *testing.T, p *reserve.Pool, target string, now time.Time) (n int) {
	t.Helper()
	for i := range 20 {
		submit(t, p, waiter(fmt.Sprint(now, i), request.Urgent, "o", now), now)
	}
	for _, g := range grantsOnly(p.Dispatch(now)) {
		if g.Target == target {
			n++
		}
	}
	return n
}

// respond ends requests at a target whose responses began after the given wait.
func respond(p *reserve.Pool, target string, n int, wait time.Duration, now time.Time) {
	for range n {
		p.RecordFirstByte(target, "r", wait, now)
		p.EndGrant(target, reserve.OK, reserve.Sample{Latency: wait}, now)
	}
}

// Load pattern: a started target among busy ones. Guards against a target that gets as many requests at
// once as those that are warm, and against one that is still limited after responses in time.
func TestStartedTargetIsNotFlooded(t *testing.T) {
	p := reserve.New(reserve.Config{})
	list := engines(2, 4)
	list[1].WarmUpUntil = start.Add(3 * time.Second)
	p.SetTargets(list)
	if n := dispatched(t, p, "e1", start); n != 1 {
		t.Errorf("%d requests at the started target, want 1", n)
	}
	respond(p, "e0", 6, 20*ms, start.Add(20*ms))
	respond(p, "e1", 1, 20*ms, start.Add(20*ms))
	for range 2 {
		respond(p, "e1", 1, 20*ms, start.Add(20*ms))
	}
	if p.Stats(start.Add(20*ms)).Paced != 0 {
		t.Error("the target is still paced after three responses in time")
	}
	if n := dispatched(t, p, "e1", start.Add(40*ms)); n != 6 {
		t.Errorf("%d requests at the target at full pace, want 6", n)
	}
}

// Load pattern: a recovered target that is still slow. Guards against a target that is flooded as
// soon as its trial has ended.
func TestRecoveredTargetThatIsStillSlow(t *testing.T) {
	p := reserve.New(reserve.Config{})
	p.SetTargets(engines(3, 4))
	for range 6 {
		p.EndGrant("e0", reserve.BrokenResponse, reserve.Sample{}, start)
	}
	respond(p, "e1", 6, 20*ms, start)
	now := start.Add(6 * time.Second)
	p.Dispatch(now)
	respond(p, "e1", 6, 20*ms, now)
	respond(p, "e0", 3, 400*ms, now)
	if n := dispatched(t, p, "e0", now); n != 1 {
		t.Errorf("%d requests at the recovered target, want 1", n)
	}
	respond(p, "e0", 3, 20*ms, now)
	if p.Stats(now).Paced != 0 {
		t.Error("the target is still paced after responses in time")
	}
}

// Guards against a started target that no host tries while others are free: requests that can wait
// find its pace.
func TestPacedTargetIsNotLeftIdle(t *testing.T) {
	p := reserve.New(reserve.Config{})
	p.SetHostCount(3)
	p.SetTargets(engines(2, 4))
	respond(p, "e0", 3, 5*ms, start)
	list := append(engines(2, 4), reserve.Target{Name: "new", Slots: 4, WarmUpUntil: start.Add(time.Minute)})
	p.SetTargets(list)
	submit(t, p, waiter("w", request.Patient, "o", start), start)
	if g := grantsOnly(p.Dispatch(start)); len(g) != 1 || g[0].Target != "new" {
		t.Errorf("grants %v, want one at the started target", g)
	}
	submit(t, p, waiter("v", request.Patient, "o", start), start)
	if g := grantsOnly(p.Dispatch(start.Add(ms))); len(g) != 1 || g[0].Target == "new" {
		t.Errorf("grants %v, want one at another target", g)
	}
}

// Load pattern: a zone that returns cold at once. Guards against hosts that hear of the return before
// they read that the targets are cold.
func TestReturnedTargetsCountAsColdUntilTheListIsRead(t *testing.T) {
	p := reserve.New(reserve.Config{})
	p.SetColdBound(coldBound)
	p.SetTargets(engines(1, 4))
	p.RecordReturned("e0", start)
	if p.StartSend("e0", start.Add(time.Second)) {
		t.Error("a request is sent although the target may be cold")
	}
	if n := dispatched(t, p, "e0", start.Add(2*time.Second)); n != 1 {
		t.Errorf("%d requests at once after the list was read, want 1", n)
	}
}
