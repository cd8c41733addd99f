// Package share estimates how much work a target has in progress over all hosts, from this
// host's own counts, load reports and peers' digests. It also divides the limits of targets
// among the hosts.
package share

import (
	"math"
	"time"
)

const (
	// reportDecayTime is the time constant with which a load report loses weight against
	// the pool's mean. It is well under the usual run time of a request, so the estimate
	// of a target that was reported idle returns to the mean before all hosts have sent
	// requests there.
	reportDecayTime = 2 * time.Second
	// peerDecayTime is the time constant for peers' counts. With 40 hosts that each send
	// one digest a second to a random peer, a digest from a given peer arrives every 40 s
	// on average. The counts are therefore used as a sample of the zone's hosts, not
	// per peer.
	peerDecayTime = 5 * time.Second
	// peerWeight is the weight of the counts of all peers relative to a fresh load report,
	// which comes from the target itself and is usually more recent.
	peerWeight = 0.3
	// meanWeight is the weight of the pool's mean in every estimate. It limits the error of
	// a single wrong report.
	meanWeight = 0.1
	// ownSampleCount samples at ownSampleInterval cover the age of the reports that peers
	// forward, so that this host's work at that time can be subtracted from the total.
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
	report         Work // work of the other hosts, at reportAt
	reportAt       time.Time
	total          Work                   // as reported, including this host's work
	own            [ownSampleCount]uint16 // ring buffer of this host's recent request counts
	samples        int                    // number of samples written to own
	ownSampledAt   time.Time              // time of the newest sample
	peers          Work                   // sum of peer counts, with exponential decay
	peerDigests    float64                // number of peer digests, with exponential decay
	peersDecayedAt time.Time
}

// RecordOwn records how many requests this host has at the target. It should be called more
// often than every 200 ms and keeps one sample per 200 ms.
func (e *Estimator) RecordOwn(own int64, now time.Time) {
	if e.samples > 0 && now.Sub(e.ownSampledAt) < ownSampleInterval {
		return
	}
	e.own[e.samples%ownSampleCount] = uint16(min(own, math.MaxUint16))
	e.samples++
	e.ownSampledAt = now
}

// ownRequestsAt returns this host's requests at an earlier time, or the current number if the
// time is later than the newest sample.
func (e *Estimator) ownRequestsAt(now float64, at time.Time) float64 {
	if e.samples == 0 || at.After(e.ownSampledAt) {
		return now
	}
	back := int((e.ownSampledAt.Sub(at) + ownSampleInterval/2) / ownSampleInterval)
	back = min(back, min(e.samples, ownSampleCount)-1)
	return float64(e.own[(e.samples-1-back)%ownSampleCount])
}

// RecordReport records the total work that the target reported for the given time. own is this
// host's current work there; its requests at the time of the report are subtracted from the
// total. An older report than the newest so far is ignored and returns false.
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

// ReportedOthers returns the requests of other hosts according to the newest report.
func (e *Estimator) ReportedOthers() float64 { return e.report.Requests }

// LastReport returns the newest reported total and when it was measured.
func (e *Estimator) LastReport() (Work, time.Time) { return e.total, e.reportAt }

// RecordPeer records one peer's work at the target. It must be called for every digest of a
// peer, with zero work if the digest does not mention the target.
func (e *Estimator) RecordPeer(w Work, now time.Time) {
	e.decayPeers(now)
	e.peers.Requests += w.Requests
	e.peers.Tokens += w.Tokens
	e.peerDigests++
}

// decayPeers applies the exponential decay to the peers' counts.
func (e *Estimator) decayPeers(now time.Time) {
	if e.peerDigests > 0 {
		f := math.Exp(-now.Sub(e.peersDecayedAt).Seconds() / peerDecayTime.Seconds())
		e.peers.Requests *= f
		e.peers.Tokens *= f
		e.peerDigests *= f
	}
	e.peersDecayedAt = now
}

// EstimateOthers returns the estimated work of the other hosts at the target. mean is the
// average work of a target of this size, and hosts the number of hosts including this one.
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
		// The sampling error shrinks with the fraction of hosts that sent a digest.
		wp = peerWeight * min(1, e.peerDigests/float64(hosts-1))
	}
	sum := wr + wp + wm
	return Work{
		Requests: (wr*e.report.Requests + wp*peers.Requests + wm*mean.Requests) / sum,
		Tokens:   (wr*e.report.Tokens + wp*peers.Tokens + wm*mean.Tokens) / sum,
	}
}

// ReportWeight returns the weight of the newest report, from 1 when new down to 0.
func (e *Estimator) ReportWeight(now time.Time) float64 {
	if e.reportAt.IsZero() {
		return 0
	}
	return math.Exp(-max(0, now.Sub(e.reportAt).Seconds()) / reportDecayTime.Seconds())
}

// Allowance returns how many requests this host may have at a target with the given limit, if
// hosts divide limits in proportion to their demand. demandShare is this host's share of the
// zone's work, 0..1. hash is a uniform hash of host and target in [0, 1): the fractional part
// is rounded up at a subset of the targets that differs by host and does not change with time,
// so that the allowances of all hosts add up to the limits.
func Allowance(limit, demandShare, hash float64) int {
	a := limit * demandShare
	whole := math.Floor(a)
	if hash < a-whole {
		whole++
	}
	return int(whole)
}

// minDemandFactor and maxDemandFactor bound a demand share as multiples of an equal share.
const (
	minDemandFactor = 0.5
	maxDemandFactor = 5
)

// DemandShare estimates this host's share of the zone's work from its own total and the mean of
// its peers' totals, each including waiting work. Without data of any peer (anyPeer is false),
// all hosts get an equal share. The result lies in [0.5, 5] times the equal share, so that an
// idle host can start work at once.
func DemandShare(own, peerMean float64, anyPeer bool, hosts int) float64 {
	equalShare := 1 / float64(max(1, hosts))
	total := own + peerMean*float64(hosts-1)
	if !anyPeer || total <= 0 {
		return equalShare
	}
	return min(1, max(minDemandFactor*equalShare, min(maxDemandFactor*equalShare, own/total)))
}
