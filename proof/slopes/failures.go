package slopes

import (
	"time"

	"sardinefront.dev/fleet"
	"sardinefront.dev/fleet/simulate"
)

const (
	// settleSpan is the time for which a fleet runs before a failure, in which
	// it opens its connections, and failureSpan that for which it is measured
	// after it.
	settleTime         = 50 * time.Second
	failureMeasureTime = time.Minute
	// regionHosts is the number of hosts of a region.
	regionHosts = fleetHosts / 3
)

func measureFailures(Options) ([]Cost, error) {
	over := func(name, unit string) Cost {
		return Cost{Name: name, Unit: unit, SizeUnit: "hosts of 360 lost", DesignSize: hostsPerZone}
	}
	known := over("loss-known", "s until all other hosts hold the lost ones for dead, virtual")
	lost := over("loss-bytes", "B/s sent and received per host in the minute after the loss")
	apart := over("apart-bytes", "B/s sent and received per host in the minute after a partition")
	healed := over("apart-healed", "s until all hosts hold all for alive after it, virtual")
	for _, n := range []int{1, hostsPerZone, regionHosts} {
		took, bytes := measureLoss(n)
		known.addPoint(float64(n), took)
		lost.addPoint(float64(n), bytes)
		took, bytes = measurePartition(n)
		healed.addPoint(float64(n), took)
		apart.addPoint(float64(n), bytes)
	}
	return []Cost{known, lost, apart, healed}, nil
}

func newSettledFleet() *simulate.World {
	w := simulate.New(peerSeed, simulate.Layout{Zones: fleetZones, HostsPerZone: hostsPerZone, DigestBytes: fleet.MaxDigest, LossRate: 0.001})
	w.StartConverged()
	w.Run(settleTime)
	w.ResetTraffic()
	return w
}

// loss crashes the first n hosts, which fill a zone or a region.
func measureLoss(n int) (known, bytes float64) {
	w := newSettledFleet()
	for _, h := range w.Hosts[:n] {
		h.Crash()
	}
	rest := w.Hosts[n:]
	done := func() bool { return allConsiderGone(rest, w.Hosts[:n], true) }
	took := runUntil(w, failureMeasureTime, done)
	w.Run(failureMeasureTime - took)
	bytes = bytesPerSecondPerHost(rest)
	if took >= failureMeasureTime {
		took += runUntil(w, 5*time.Minute, done)
	}
	return took.Seconds(), bytes
}

// partitioned cuts the first n hosts off from the others and connects them
// again after the span.
func measurePartition(n int) (healed, bytes float64) {
	w := newSettledFleet()
	for _, a := range w.Hosts[:n] {
		for _, b := range w.Hosts[n:] {
			w.Partition(a, b, true)
		}
	}
	w.Run(failureMeasureTime)
	bytes = bytesPerSecondPerHost(w.Hosts)
	w.Heal()
	took := runUntil(w, 5*time.Minute, func() bool {
		return allConsiderGone(w.Hosts[n:], w.Hosts[:n], false) && allConsiderGone(w.Hosts[:n], w.Hosts[n:], false)
	})
	return took.Seconds(), bytes
}

// until runs the fleet until done holds, looked at once a second, or the limit.
func runUntil(w *simulate.World, limit time.Duration, done func() bool) time.Duration {
	start := w.Now
	for w.Now.Sub(start) < limit && !done() {
		w.Run(time.Second)
	}
	return w.Now.Sub(start)
}

// allGone reports whether every viewer holds every other host for gone, or for
// alive.
func allConsiderGone(viewers, others []*simulate.Host, gone bool) bool {
	for _, v := range viewers {
		for _, o := range others {
			if m, ok := v.LookupHost(o); (ok && m.State.DeadOrLeft()) != gone {
				return false
			}
		}
	}
	return true
}

func bytesPerSecondPerHost(all []*simulate.Host) float64 {
	sum := 0
	for _, h := range all {
		sum += h.Traffic.BytesIn + h.Traffic.BytesOut
	}
	return float64(sum) / failureMeasureTime.Seconds() / float64(len(all))
}
