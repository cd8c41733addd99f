package gateway

import (
	"time"

	"sardinefront.dev/gateway/peers"
	"sardinefront.dev/gateway/quota"
)

const (
	// completeUsageInterval is the time between heartbeats at the full rate with the use of all
	// organisations. Those between hold only what has changed, so that their size does not grow
	// with the number of organisations.
	completeUsageInterval = 2 * time.Second
	// usageRepeats is how many heartbeats repeat a changed use, since datagrams may be lost.
	usageRepeats = 4
)

// usageReports selects the quota use that goes into heartbeats.
type usageReports struct {
	// completeAt is the time of the last complete heartbeat at the full rate.
	completeAt time.Time
}

// fill sets the use in a heartbeat. Heartbeats with FleetUsage are complete reports.
func (u *usageReports) fill(h *peers.Heartbeat, m *quota.Meter, initial bool, now time.Time) {
	interval := time.Duration(h.IntervalMs) * time.Millisecond
	fullRate := interval == peers.HeartbeatInterval
	complete := initial
	if fullRate && now.Sub(u.completeAt) >= completeUsageInterval {
		complete, u.completeAt = true, now
	}
	var since time.Time
	if fullRate && !complete {
		since = now.Add(-usageRepeats * interval)
	}
	h.OwnUsage = m.OwnUsage(since)
	if complete {
		h.FleetUsage = m.FleetUsage(now)
	}
}

// usageReport returns the quota use in a peer's heartbeat.
func usageReport(h *peers.Heartbeat) quota.Report {
	return quota.Report{
		From: h.Name, Incarnation: h.Incarnation, Own: h.OwnUsage, Fleet: h.FleetUsage, Complete: h.FleetUsage != nil,
		Interval: time.Duration(h.IntervalMs) * time.Millisecond, Uptime: time.Duration(h.UptimeMs) * time.Millisecond,
	}
}
