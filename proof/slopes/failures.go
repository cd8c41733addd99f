package slopes

import (
	"time"

	"sardinefront.dev/fleet"
	"sardinefront.dev/fleet/simulate"
)

const (
	// settleTime is the time before a failure, in which the fleet opens its
	// connections. failureMeasureTime is the time after it in which traffic is
	// measured.
	settleTime         = 50 * time.Second
	failureMeasureTime = time.Minute
	// regionHosts is the number of hosts of a region.
	regionHosts = fleetHosts / 3
)

func measureFailures(Options) ([]Cost, error) {
	newCost := func(name, unit string) Cost {
		return Cost{Name: name, Unit: unit, SizeUnit: "hosts of 360 lost", TargetScale: hostsPerZone}
	}
	detection := newCost("loss-known", "s until all other hosts consider the lost hosts dead, virtual")
	lossTraffic := newCost("loss-bytes", "B/s sent and received per host in the minute after the loss")
	partitionTraffic := newCost("apart-bytes", "B/s sent and received per host in the minute after a partition")
	recovery := newCost("apart-healed", "s until all hosts consider all hosts alive after a partition, virtual")
	for _, n := range []int{1, hostsPerZone, regionHosts} {
		took, bytes := measureLoss(n)
		detection.addPoint(float64(n), took)
		lossTraffic.addPoint(float64(n), bytes)
		took, bytes = measurePartition(n)
		recovery.addPoint(float64(n), took)
		partitionTraffic.addPoint(float64(n), bytes)
	}
	return []Cost{detection, lossTraffic, partitionTraffic, recovery}, nil
}

func newSettledFleet() *simulate.World {
	w := simulate.New(peerSeed, simulate.Layout{
		Zones: fleetZones, HostsPerZone: hostsPerZone, DigestBytes: fleet.MaxDigest, LossRate: 0.001,
	})
	w.StartConverged()
	w.Run(settleTime)
	w.ResetTraffic()
	return w
}

// measureLoss crashes the first n hosts: one host, a zone or a region. It returns
// the time until the other hosts have declared all of them dead, and the traffic
// of the other hosts.
func measureLoss(n int) (detectionSeconds, bytesPerSecond float64) {
	w := newSettledFleet()
	for _, h := range w.Hosts[:n] {
		h.Crash()
	}
	survivors := w.Hosts[n:]
	done := func() bool { return allConsiderGone(survivors, w.Hosts[:n], true) }
	took := runUntil(w, failureMeasureTime, done)
	w.Run(failureMeasureTime - took)
	bytesPerSecond = bytesPerSecondPerHost(survivors)
	if took >= failureMeasureTime {
		took += runUntil(w, 5*time.Minute, done)
	}
	return took.Seconds(), bytesPerSecond
}

// measurePartition separates the first n hosts from the others for
// failureMeasureTime. It returns the time until all hosts have recovered from the
// partition, and the traffic during it.
func measurePartition(n int) (recoverySeconds, bytesPerSecond float64) {
	w := newSettledFleet()
	for _, a := range w.Hosts[:n] {
		for _, b := range w.Hosts[n:] {
			w.Partition(a, b, true)
		}
	}
	w.Run(failureMeasureTime)
	bytesPerSecond = bytesPerSecondPerHost(w.Hosts)
	w.Heal()
	took := runUntil(w, 5*time.Minute, func() bool {
		return allConsiderGone(w.Hosts[n:], w.Hosts[:n], false) &&
			allConsiderGone(w.Hosts[:n], w.Hosts[n:], false)
	})
	return took.Seconds(), bytesPerSecond
}

// runUntil runs the fleet until done, which is called once per second, returns true
// or the limit is reached. It returns the elapsed virtual time.
func runUntil(w *simulate.World, limit time.Duration, done func() bool) time.Duration {
	start := w.Now
	for w.Now.Sub(start) < limit && !done() {
		w.Run(time.Second)
	}
	return w.Now.Sub(start)
}

// allConsiderGone reports whether every viewer considers every host in others dead
// or left or, if gone is false, alive.
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

// bytesPerSecondPerHost returns the mean traffic of the hosts, sent and received,
// over failureMeasureTime.
func bytesPerSecondPerHost(all []*simulate.Host) float64 {
	sum := 0
	for _, h := range all {
		sum += h.Traffic.BytesIn + h.Traffic.BytesOut
	}
	return float64(sum) / failureMeasureTime.Seconds() / float64(len(all))
}
