package pool

import (
	"math"
	"slices"
	"time"

	"sardinefront.dev/core/request"
)

const (
	// peerUse is how long a peer's totals are used at all.
	peerTTL = time.Minute
	// peerTime is the time constant with which they lose weight.
	peerDecay = 5 * time.Second
	// maxPeers bounds the peers that are remembered.
	maxPeers = 1024
)

// peers holds what the digests say about other hosts as a whole.
type peerTotals struct {
	// hosts is in the order of first hearing, so that sums do not depend on the
	// order of a map.
	hosts []peer
	// use is the estimated work of the other hosts as a part of all limits.
	utilization float64
	// demand is this host's part of the zone's running and waiting work.
	demandShare float64
}

type peer struct {
	name             string
	running, waiting float64
	receivedAt       time.Time
}

func (s *peerTotals) record(from string, m digestMessage, now time.Time) {
	s.hosts = slices.DeleteFunc(s.hosts, func(h peer) bool {
		return h.name == from || now.Sub(h.receivedAt) > peerTTL
	})
	if len(s.hosts) < maxPeers {
		s.hosts = append(s.hosts, peer{from, float64(m.running), float64(m.waiting), now})
	}
}

// means returns the mean running and waiting requests of the peers, the latest
// heard weighing most, and whether any was heard.
func (s *peerTotals) weightedMeans(now time.Time) (peer, bool) {
	var m peer
	sum := 0.0
	for _, h := range s.hosts {
		age := now.Sub(h.receivedAt)
		if age > peerTTL {
			continue
		}
		w := math.Exp(-age.Seconds() / peerDecay.Seconds())
		m.running += w * h.running
		m.waiting += w * h.waiting
		sum += w
	}
	if sum == 0 {
		return m, false
	}
	m.running /= sum
	m.waiting /= sum
	return m, true
}

// demandWaiting returns the waiting requests that count as demand. Of patient
// ones, of which any number may wait, only a few do: a long backlog must not
// take the shares of hosts with urgent work.
func (p *Pool) waitingDemand() int {
	running := 0
	for _, n := range p.running {
		running += n
	}
	backlog := min(p.queue.Len(request.Patient)+p.suspendedCount, 4+running/4)
	return p.queue.Len(request.Urgent) + p.queue.Len(request.Interactive) + backlog
}

// demand returns this host's running requests and waiting demand, or their
// smoothed value if that is higher: a host that is idle for a moment keeps the
// share that its next burst needs.
func (p *Pool) demand() float64 {
	sum := p.waitingDemand()
	for _, n := range p.running {
		sum += n
	}
	return max(float64(sum), p.meanOwnDemand)
}
