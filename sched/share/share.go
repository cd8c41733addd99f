// Package share estimates how much work a target has in progress over all
// hosts, from this host's own counts, load reports and peers' digests.
package share

import (
	"math"
	"time"
)

const (
	// reportAge is the time constant with which a load report loses weight
	// against the pool's mean. It is well under the usual run time of a
	// request, so a target that looked idle is taken as average again before
	// all hosts have sent work to it.
	reportDecayTime = 2 * time.Second
	// peerAge is the time constant for a peer's counts. One digest a second to
	// one random peer of 40 arrives from a given peer every 40 s on average,
	// so counts are used as a sample of the zone rather than one by one.
	peerDecayTime = 5 * time.Second
	// peerWeight is the weight of the counts of all peers against that of a
	// fresh report, which is the target's own word and usually younger.
	peerWeight = 0.3
	// meanWeight keeps the pool's mean in every estimate; it limits the error
	// of a single wrong report.
	meanWeight = 0.1
	// ownKept samples at ownStep cover the age of the reports that peers pass
	// on, so that what this host had at the time can be taken off the total.
	ownSampleCount    = 32
	ownSampleInterval = 200 * time.Millisecond
)

// Work is an amount of work in progress.
type Work struct {
	Requests, Tokens float64
}

// Estimator estimates the work of the other hosts at one target. It is not
// safe for concurrent use.
type Estimator struct {
	report         Work // of the other hosts, at reportAt
	reportAt       time.Time
	total          Work                   // as reported, with this host's part
	own            [ownSampleCount]uint16 // own requests at recent times, a ring
	samples        int                    // written so far
	ownSampledAt   time.Time              // of the newest sample
	peers          Work                   // sum of weighted peer counts
	peerDigests    float64
	peersDecayedAt time.Time
}

// Sample records how many requests this host has at the target. Call it often;
// it keeps one sample per 200 ms.
func (e *Estimator) RecordOwn(own int64, now time.Time) {
	if e.samples > 0 && now.Sub(e.ownSampledAt) < ownSampleInterval {
		return
	}
	e.own[e.samples%ownSampleCount] = uint16(min(own, math.MaxUint16))
	e.samples++
	e.ownSampledAt = now
}

// ownThen returns this host's requests at an earlier time, or those now if the
// time is later than the newest sample.
func (e *Estimator) ownRequestsAt(now float64, at time.Time) float64 {
	if e.samples == 0 || at.After(e.ownSampledAt) {
		return now
	}
	back := int((e.ownSampledAt.Sub(at) + ownSampleInterval/2) / ownSampleInterval)
	back = min(back, min(e.samples, ownSampleCount)-1)
	return float64(e.own[(e.samples-1-back)%ownSampleCount])
}

// Report records the total that the target had at the given time. own is what
// this host has there now; what it had at the time of the report is taken off
// the total. It reports whether the report is newer than the one in use.
func (e *Estimator) RecordReport(total, own Work, at time.Time) bool {
	if !at.After(e.reportAt) {
		return false
	}
	then := e.ownRequestsAt(own.Requests, at)
	perRequest := 0.0
	if total.Requests > 0 {
		perRequest = total.Tokens / total.Requests
	}
	e.report.Requests = max(0, total.Requests-then)
	e.report.Tokens = max(0, total.Tokens-perRequest*then)
	e.total = total
	e.reportAt = at
	return true
}

// ReportedOthers returns the requests of other hosts by the newest report.
func (e *Estimator) ReportedOthers() float64 { return e.report.Requests }

// LastReport returns the newest total and when it was measured.
func (e *Estimator) LastReport() (Work, time.Time) { return e.total, e.reportAt }

// Peer records one peer's count at the target. Every digest of a peer counts,
// also one that does not mention the target: then w is zero.
func (e *Estimator) RecordPeer(w Work, now time.Time) {
	e.decayPeers(now)
	e.peers.Requests += w.Requests
	e.peers.Tokens += w.Tokens
	e.peerDigests++
}

func (e *Estimator) decayPeers(now time.Time) {
	if e.peerDigests > 0 {
		f := math.Exp(-now.Sub(e.peersDecayedAt).Seconds() / peerDecayTime.Seconds())
		e.peers.Requests *= f
		e.peers.Tokens *= f
		e.peerDigests *= f
	}
	e.peersDecayedAt = now
}

// Others returns the estimated work of the other hosts at the target. mean is
// what a target of this size has on average, hosts the number of hosts
// including this one.
func (e *Estimator) EstimateOthers(mean Work, hosts int, now time.Time) Work {
	if hosts <= 1 && e.reportAt.IsZero() {
		return Work{}
	}
	wm := meanWeight
	wr := e.ReportWeight(now)
	e.decayPeers(now)
	wp := 0.0
	var peers Work
	if hosts > 1 && e.peerDigests > 0.05 {
		scale := float64(hosts-1) / e.peerDigests
		peers = Work{e.peers.Requests * scale, e.peers.Tokens * scale}
		// The sample error shrinks with the part of the hosts that was heard.
		wp = peerWeight * min(1, e.peerDigests/float64(hosts-1))
	}
	sum := wr + wp + wm
	return Work{
		Requests: (wr*e.report.Requests + wp*peers.Requests + wm*mean.Requests) / sum,
		Tokens:   (wr*e.report.Tokens + wp*peers.Tokens + wm*mean.Tokens) / sum,
	}
}

// ReportWeight returns the weight of the newest report, 1 when fresh.
func (e *Estimator) ReportWeight(now time.Time) float64 {
	if e.reportAt.IsZero() {
		return 0
	}
	return math.Exp(-max(0, now.Sub(e.reportAt).Seconds()) / reportDecayTime.Seconds())
}

// Allowance returns how many requests this host may have at a target with the
// given limit, if hosts divide limits in proportion to their demand. demand is
// this host's part of the zone's work, 0..1. The fractional rest is granted to
// a part of the targets that differs by host and does not change with time, so
// that the allowances of all hosts add up to the limits. draw is a uniform hash
// of host and target in [0, 1).
func Allowance(limit, demandShare, hash float64) int {
	a := limit * demandShare
	whole := math.Floor(a)
	if hash < a-whole {
		whole++
	}
	return int(whole)
}

const (
	minDemandFactor = 0.5
	maxDemandFactor = 5
)

// Demand estimates this host's part of the zone's work from its own total and
// the mean of its peers', each including waiting work. heard says that any peer
// was heard; else all hosts count as alike. The result lies in [0.5, 5] times
// the equal part, so that an idle host can start work at once.
func DemandShare(own, peerMean float64, anyPeer bool, hosts int) float64 {
	equalShare := 1 / float64(max(1, hosts))
	total := own + peerMean*float64(hosts-1)
	if !anyPeer || total <= 0 {
		return equalShare
	}
	return min(1, max(minDemandFactor*equalShare, min(maxDemandFactor*equalShare, own/total)))
}
