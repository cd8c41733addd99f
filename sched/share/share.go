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
	reportAge = 2 * time.Second
	// peerAge is the time constant for a peer's counts. One digest a second to
	// one random peer of 40 arrives from a given peer every 40 s on average,
	// so counts are used as a sample of the zone rather than one by one.
	peerAge = 5 * time.Second
	// meanWeight keeps the pool's mean in every estimate; it limits the error
	// of a single wrong report.
	meanWeight = 0.1
	// startsKept bounds the recent own starts that are kept to tell whether a
	// report has seen them.
	startsKept = 4
)

// Work is an amount of work in progress.
type Work struct {
	Requests, Tokens float64
}

// Estimator estimates the work of the other hosts at one target. It is not
// safe for concurrent use.
type Estimator struct {
	report   Work // of the other hosts, at reportAt
	reportAt time.Time
	total    Work // as reported, with this host's part
	starts   [startsKept]time.Time
	next     int
	peers    Work // sum of weighted peer counts
	heard    float64
	heardAt  time.Time
}

// Started records that this host starts a request at the target.
func (e *Estimator) Started(now time.Time) {
	e.starts[e.next%startsKept] = now
	e.next++
}

// Report records the total that the target had at the given time. own is what
// this host has there now; starts that the report cannot have seen are not
// subtracted. It reports whether the report is newer than the one in use.
func (e *Estimator) Report(total, own Work, at time.Time) bool {
	if !at.After(e.reportAt) {
		return false
	}
	unseen := 0.0
	for _, s := range e.starts {
		if s.After(at) {
			unseen++
		}
	}
	seen := max(0, own.Requests-unseen)
	part := 0.0
	if own.Requests > 0 {
		part = seen / own.Requests
	}
	e.report.Requests = max(0, total.Requests-seen)
	e.report.Tokens = max(0, total.Tokens-own.Tokens*part)
	e.total = total
	e.reportAt = at
	return true
}

// LastReport returns the newest total and when it was measured.
func (e *Estimator) LastReport() (Work, time.Time) { return e.total, e.reportAt }

// Peer records one peer's count at the target. Every digest of a peer counts,
// also one that does not mention the target: then w is zero.
func (e *Estimator) Peer(w Work, now time.Time) {
	e.age(now)
	e.peers.Requests += w.Requests
	e.peers.Tokens += w.Tokens
	e.heard++
}

func (e *Estimator) age(now time.Time) {
	if e.heard > 0 {
		f := math.Exp(-now.Sub(e.heardAt).Seconds() / peerAge.Seconds())
		e.peers.Requests *= f
		e.peers.Tokens *= f
		e.heard *= f
	}
	e.heardAt = now
}

// Others returns the estimated work of the other hosts at the target. mean is
// what a target of this size has on average, hosts the number of hosts
// including this one.
func (e *Estimator) Others(mean Work, hosts int, now time.Time) Work {
	if hosts <= 1 && e.reportAt.IsZero() {
		return Work{}
	}
	wm := meanWeight
	wr := e.ReportWeight(now)
	e.age(now)
	wp := 0.0
	var peers Work
	if hosts > 1 && e.heard > 0.05 {
		scale := float64(hosts-1) / e.heard
		peers = Work{e.peers.Requests * scale, e.peers.Tokens * scale}
		// The sample error shrinks with the part of the hosts that was heard.
		wp = min(1, e.heard/float64(hosts-1))
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
	return math.Exp(-max(0, now.Sub(e.reportAt).Seconds()) / reportAge.Seconds())
}

// Allowance returns how many requests this host may have at a target with the
// given limit, if hosts divide limits in proportion to their demand. demand is
// this host's part of the zone's work, 0..1. The fractional rest is granted to
// a part of the targets that differs by host and does not change with time, so
// that the allowances of all hosts add up to the limits. draw is a uniform hash
// of host and target in [0, 1).
func Allowance(limit, demand, draw float64) int {
	a := limit * demand
	whole := math.Floor(a)
	if draw < a-whole {
		whole++
	}
	return int(whole)
}

// Demand estimates this host's part of the zone's work from its own and its
// peers' totals, each including waiting work. Hosts that were not heard are
// taken as the mean of those that were. The result lies in [0.2, 5] times the
// equal part, so that an idle host can start work at once.
func Demand(own float64, peerSum float64, peersHeard, hosts int) float64 {
	equal := 1 / float64(max(1, hosts))
	if peersHeard == 0 {
		return equal
	}
	total := own + peerSum/float64(peersHeard)*float64(hosts-1)
	if total <= 0 {
		return equal
	}
	return min(1, max(0.2*equal, min(5*equal, own/total)))
}
