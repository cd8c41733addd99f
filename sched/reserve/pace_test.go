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
