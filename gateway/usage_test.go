package gateway

import (
	"fmt"
	"testing"
	"time"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/quota"
)

// Guards against heartbeats that grow with the number of organisations, and against a peer that
// then counts another use than this host has had: after datagrams are lost, and with a use that
// began before the peer knew this host.
func TestHeartbeatsHoldChangedUsage(t *testing.T) {
	const organisations = 100
	tolerance := quota.Tolerance{Window: 8 * time.Second}
	start := time.Unix(1000, 0)
	limits := map[string]quota.Limit{}
	for i := range organisations {
		limits[fmt.Sprintf("org-%d", i)] = quota.Limit{Rate: 1000, Burst: 1000}
	}
	sender, receiver := quota.New(tolerance), quota.New(tolerance)
	sender.SetLimits(limits, start)
	receiver.SetLimits(limits, start)
	for name := range limits {
		sender.Acquire(name, 100, start)
	}
	var reports usageReports
	now := start.Add(10 * time.Second) // the use until now has left every window
	small := 0
	for tick := range 40 {
		now = now.Add(peers.HeartbeatInterval)
		if tick%4 == 0 {
			sender.Acquire(fmt.Sprintf("org-%d", tick), 50, now)
		}
		h := &peers.Heartbeat{Name: "a", Incarnation: 1, IntervalMs: peers.HeartbeatInterval.Milliseconds(), UptimeMs: now.Sub(start).Milliseconds()}
		reports.fill(h, sender, false, now)
		if len(h.OwnUsage) <= usageRepeats {
			small++
		}
		if tick%3 != 1 { // each third datagram is lost
			receiver.RecordPeerUsage(usageReport(h), now)
		}
	}
	if small < 30 {
		t.Errorf("%d of 40 heartbeats hold few organisations", small)
	}
	counted := receiver.FleetUsage(now)
	for name, units := range sender.FleetUsage(now) {
		if counted[name] != units {
			t.Errorf("%s: the peer counts %.0f units of %.0f", name, counted[name], units)
		}
	}
}
