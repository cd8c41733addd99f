package pool

import (
	"time"

	"sardinefront.dev/core/request"
)

const (
	// peerUse is how long a peer's totals are used; one digest a second to a
	// random peer of 40 arrives every 40 s on average.
	peerUse = time.Minute
	// maxPeers bounds the peers that are remembered.
	maxPeers = 1024
)

// peers holds what the digests say about other hosts as a whole.
type peers struct {
	hosts map[string]peer
	// use is the estimated work of the other hosts as a part of all limits.
	use float64
	// demand is this host's part of the zone's running and waiting work.
	demand float64
}

type peer struct {
	running, waiting int
	at               time.Time
}

func (s *peers) record(from string, m message, now time.Time) {
	if s.hosts == nil {
		s.hosts = map[string]peer{}
	}
	for name, h := range s.hosts {
		if now.Sub(h.at) > peerUse {
			delete(s.hosts, name)
		}
	}
	if _, known := s.hosts[from]; known || len(s.hosts) < maxPeers {
		s.hosts[from] = peer{m.running, m.waiting, now}
	}
}

// running returns the running requests of the peers that were heard, and their
// number.
func (s *peers) running(now time.Time) (float64, int) {
	sum, n := 0, 0
	for _, h := range s.hosts {
		if now.Sub(h.at) <= peerUse {
			sum += h.running
			n++
		}
	}
	return float64(sum), n
}

// demandSum returns the running and waiting requests of the peers.
func (s *peers) demandSum(now time.Time) float64 {
	sum := 0
	for _, h := range s.hosts {
		if now.Sub(h.at) <= peerUse {
			sum += h.running + h.waiting
		}
	}
	return float64(sum)
}

// demand returns this host's running and waiting requests.
func (p *Pool) demand() float64 {
	sum := 0
	for t, n := range p.running {
		sum += n + p.queue.Len(request.Tier(t))
	}
	return float64(sum)
}
