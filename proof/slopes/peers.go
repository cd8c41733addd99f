package slopes

import (
	"fmt"
	"time"

	"sardinefront.dev/fleet"
	"sardinefront.dev/fleet/member"
	"sardinefront.dev/fleet/simulate"
)

// peerSeed is the seed of the simulated fleets.
const peerSeed = 7

// peerMeasureTime is the virtual time for which a fleet of 360 hosts is measured.
// Smaller fleets are measured for longer, because their figures vary more and they
// are cheaper to simulate.
const peerMeasureTime = 100 * time.Second

// peerLayouts are fleets from the current size up to the target scale.
var peerLayouts = []simulate.Layout{
	{Zones: 3, HostsPerZone: 3}, {Zones: 4, HostsPerZone: 10},
	{Zones: 3, HostsPerZone: 40}, {Zones: fleetZones, HostsPerZone: hostsPerZone},
}

func measurePeers(Options) ([]Cost, error) {
	traffic := Cost{
		Name: "peer-bytes", Unit: "B/s sent and received per host",
		SizeUnit: "hosts", TargetScale: fleetHosts,
		Budget: maxPeerBytesPerSecond, BudgetSource: "section 6",
	}
	busiest := Cost{
		Name: "peer-bytes-busiest", Unit: "B/s of the busiest host, restarts included",
		SizeUnit: "hosts", TargetScale: fleetHosts,
	}
	messages := Cost{
		Name: "peer-messages", Unit: "messages sent/s per host",
		SizeUnit: "hosts", TargetScale: fleetHosts,
	}
	propagation := Cost{
		Name: "config-in-force", Unit: "s until active on all hosts, virtual",
		SizeUnit: "hosts", TargetScale: fleetHosts,
		Budget: maxRulesPropagationSeconds, BudgetSource: "section 1.5",
	}
	reads := Cost{
		Name: "config-store-reads", Unit: "reads/s of the fleet, waiting watches not counted",
		SizeUnit: "watching hosts", TargetScale: 2 * fleetZones,
	}
	memory := Cost{
		Name: "fleet-memory", Unit: "B of heap per host for members, configuration and simulation",
		SizeUnit: "hosts", TargetScale: fleetHosts,
	}
	work := Cost{
		Name: "fleet-time", Unit: "part of a core per host, simulation included",
		SizeUnit: "hosts", TargetScale: fleetHosts,
		MachineDependent: true, Budget: maxCoreFraction, BudgetSource: "section 1.5",
	}
	for _, l := range peerLayouts {
		l.DigestBytes = fleet.MaxDigest
		n := l.Zones * l.HostsPerZone
		span := peerMeasureTime * time.Duration(max(1, fleetHosts/n/2))
		warmUp := 50 * time.Second
		start := time.Now()
		r := simulate.Measure(peerSeed, l, warmUp, span)
		took := time.Since(start)
		if r.FalsePositives > 0 {
			return nil, fmt.Errorf("%d of %d hosts were declared dead while running, seed %d",
				r.FalsePositives, n, peerSeed)
		}
		x := float64(n)
		traffic.addPoint(x, r.BytesOutPerSecond+r.BytesInPerSecond)
		busiest.addPoint(x, r.BusiestBytesPerSecond)
		messages.addPoint(x, r.MessagesPerSecond)
		propagation.addPoint(x, r.SlowestChange.Seconds())
		reads.addPoint(float64(2*l.Zones), r.StoreReadsPerSecond)
		memory.addPoint(x, float64(r.HeapBytesPerHost))
		work.addPoint(x, took.Seconds()/(warmUp+span).Seconds()/x)
	}
	return []Cost{traffic, busiest, messages, propagation, reads, memory, work}, nil
}

func (c *Cost) addPoint(x, y float64) { c.Points = append(c.Points, Point{x, y}) }

func measureMembership(Options) ([]Cost, error) {
	memory := Cost{
		Name: "member-memory", Unit: "B of one host's member table",
		SizeUnit: "members", TargetScale: fleetHosts,
		Budget: maxHostMemoryBytes, BudgetSource: "section 1.5",
	}
	receive := Cost{
		Name: "member-message", Unit: "s per probe received and answered",
		SizeUnit: "members", TargetScale: fleetHosts,
		MachineDependent: true,
	}
	for _, n := range []int{40, 120, 360, 1000} {
		now := time.Unix(1_800_000_000, 0)
		list := memberList(n)
		build := func() *member.Machine {
			m := member.New(member.Config{Name: "host-0", Zone: "zone-0", Address: "10.0.0.1:7400", Incarnation: 1, Seed: 1}, now)
			m.UpdateHostList(list, now)
			m.OtherZones()
			return m
		}
		memory.addPoint(float64(n), retainedBytes(build))
		m := build()
		peer := member.New(member.Config{Name: "host-9", Zone: "zone-0", Address: "10.0.0.9:7400", Incarnation: 1, Seed: 2}, now)
		peer.UpdateHostList(list, now)
		probes := firstProbes(peer, now)
		if len(probes) == 0 {
			return nil, fmt.Errorf("host-9 sent no probe in 10 s with %d members", n)
		}
		seconds, _ := timePerRun(2000, func(i int) { m.Receive(probes[i%len(probes)], now) })
		receive.addPoint(float64(n), seconds)
	}
	return []Cost{memory, receive}, nil
}

func memberList(n int) []member.ListedHost {
	list := make([]member.ListedHost, n)
	for i := range list {
		list[i] = member.ListedHost{Name: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%fleetZones),
			Address: fmt.Sprintf("10.%d.%d.1:7400", i/250, i%250)}
	}
	return list
}

// firstProbes returns the messages that a machine sends in its first 10 s.
func firstProbes(m *member.Machine, now time.Time) []member.Message {
	var found []member.Message
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, s := range m.Tick(now).Messages {
			found = append(found, s.Message)
		}
	}
	return found
}
