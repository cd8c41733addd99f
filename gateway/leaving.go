package gateway

import (
	"cmp"
	"slices"
	"time"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/sched/reserve"
)

// leavingHeartbeats is how many heartbeats to the same peer repeat that a target is leaving,
// since datagrams may be lost.
const leavingHeartbeats = 4

// leavingAges returns, by target, how many milliseconds ago a response stated that the target is
// leaving, for heartbeats at the given interval. An initial heartbeat includes statements of any
// age. If there are more than peers.MaxLeaving, the newest are returned.
func (g *Gateway) leavingAges(interval time.Duration, initial bool, now time.Time) map[string]uint32 {
	var since time.Time
	if !initial {
		since = now.Add(-leavingHeartbeats * interval)
	}
	leaving := g.schedulers.LeavingSince(since)
	slices.SortFunc(leaving, func(a, b reserve.Leaving) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target))
	})
	out := make(map[string]uint32, len(leaving))
	for _, l := range leaving[:min(len(leaving), peers.MaxLeaving)] {
		out[l.Target] = uint32(max(0, now.Sub(l.At).Milliseconds()))
	}
	return out
}

// recordLeavingAges records what a peer says about leaving targets.
func (g *Gateway) recordLeavingAges(ages map[string]uint32, now time.Time) {
	targets := make([]reserve.Leaving, 0, len(ages))
	for name, age := range ages {
		targets = append(targets, reserve.Leaving{Target: name, At: now.Add(-time.Duration(age) * time.Millisecond)})
	}
	g.schedulers.RecordPeerLeaving(targets, now)
}
