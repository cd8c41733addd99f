package pool

import (
	"math"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

const (
	// peerTTL is how long a peer's totals are used.
	peerTTL = time.Minute
	// peerDecay is the time constant with which a peer's totals lose weight.
	peerDecay = 5 * time.Second
	// maxPeers bounds the number of peers that are recorded.
	maxPeers = 1024
)

// peerTotals holds the other hosts' totals over all targets, from their digests.
type peerTotals struct {
	// hosts is a slice in order of receipt, so that sums do not depend on map order.
	hosts []peer
	// utilization is the estimated work of the other hosts as a fraction of all limits.
	utilization float64
	// demandShare is this host's share of the zone's running and waiting requests, 0..1.
	demandShare float64
}

// peer holds the running and waiting requests of one host at receivedAt.
type peer struct {
	name             string
	running, waiting float64
	receivedAt       time.Time
}

// record replaces the totals of a peer and drops expired ones.
func (s *peerTotals) record(from string, msg digestMessage, now time.Time) {
	s.hosts = slices.DeleteFunc(s.hosts, func(h peer) bool {
		return h.name == from || now.Sub(h.receivedAt) > peerTTL
	})
	if len(s.hosts) < maxPeers {
		s.hosts = append(s.hosts, peer{from, float64(msg.running), float64(msg.waiting), now})
	}
}

// weightedMeans returns the mean running and waiting requests of the peers, weighted by
// recency, and whether there is any recent digest.
func (s *peerTotals) weightedMeans(now time.Time) (peer, bool) {
	var mean peer
	weights := 0.0
	for _, h := range s.hosts {
		age := now.Sub(h.receivedAt)
		if age > peerTTL {
			continue
		}
		weight := math.Exp(-age.Seconds() / peerDecay.Seconds())
		mean.running += weight * h.running
		mean.waiting += weight * h.waiting
		weights += weight
	}
	if weights == 0 {
		return mean, false
	}
	mean.running /= weights
	mean.waiting /= weights
	return mean, true
}

// waitingDemand returns the number of waiting requests that count as demand. Only a few
// patient ones count: their backlog can be long and must not reduce the shares of hosts
// with urgent requests.
func (p *Pool) waitingDemand() int {
	running := 0
	for _, n := range p.running {
		running += n
	}
	backlog := min(p.queue.Len(request.Patient)+p.suspendedCount, 4+running/4)
	return p.queue.Len(request.Urgent) + p.queue.Len(request.Interactive) + backlog
}

// demand returns this host's running requests plus its waiting demand, or their smoothed
// value if that is higher: a host that is idle briefly keeps the share that its next
// burst needs.
func (p *Pool) demand() float64 {
	sum := p.waitingDemand()
	for _, n := range p.running {
		sum += n
	}
	return max(float64(sum), p.meanOwnDemand)
}
