package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/sched/reserve"
)

const (
	// speedChangeThreshold is the relative difference from the last announced speed from
	// which a speed is announced again. Varying load at a target changes its speed by less.
	speedChangeThreshold = 0.5
	// speedHeartbeats is how many heartbeats to the same peer repeat a speed, since
	// datagrams may be lost.
	speedHeartbeats = 2
	// maxInitialSpeeds bounds the speeds in an initial heartbeat, which must fit into a
	// datagram. A new host gets another sample from each of its peers.
	maxInitialSpeeds = 100
)

// speedTable selects the speeds of targets that go into a heartbeat. A speed is the mean gap
// between the events of a stream. It is announced if it differs from the last announcement by any
// host, or if that is older than reserve.SpeedTTL.
type speedTable struct {
	mu        sync.Mutex
	announced map[uint32]announcedSpeed
}

// announcedSpeed is the last speed that any host has announced for a target.
type announcedSpeed struct {
	gap        uint32 // between events, in microseconds
	at         time.Time
	byThisHost bool // announced by this host
}

// targetHash identifies a target in heartbeats. A hash needs no coordination between hosts;
// a collision only mixes up the estimates of two targets.
func targetHash(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// recordPeerSpeeds records the speeds, in microseconds by target hash, that a peer announced.
func (s *speedTable) recordPeerSpeeds(speeds map[uint32]uint32, now time.Time) {
	if len(speeds) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, gap := range speeds {
		s.store(hash, announcedSpeed{gap: gap, at: now})
	}
}

// store sets the last announcement of a target. The caller holds s.mu.
func (s *speedTable) store(hash uint32, v announcedSpeed) {
	if s.announced == nil {
		s.announced = map[uint32]announcedSpeed{}
	}
	s.announced[hash] = v
}

// toAnnounce returns the speeds, in microseconds by target hash, for heartbeats to peers that
// receive one at the given interval. Only speeds measured by this host are announced.
func (s *speedTable) toAnnounce(all []reserve.Speed, interval time.Duration, now time.Time) map[uint32]uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, v := range s.announced {
		if now.Sub(v.at) >= reserve.SpeedTTL {
			delete(s.announced, hash)
		}
	}
	out := map[uint32]uint32{}
	for _, v := range all {
		if now.Sub(v.LocalMeasuredAt) >= reserve.SpeedTTL {
			continue
		}
		hash, gap := targetHash(v.Target), uint32(v.Gap.Microseconds())
		announced, ok := s.announced[hash]
		if !ok || relativeDifference(announced.gap, gap) >= speedChangeThreshold {
			announced = announcedSpeed{gap, now, true}
			s.store(hash, announced)
		}
		if announced.byThisHost && now.Sub(announced.at) < speedHeartbeats*interval {
			out[hash] = announced.gap
		}
	}
	return out
}

// recentSpeeds returns the speeds updated within reserve.SpeedTTL. After a partition, a
// host's older estimates must not replace what its peers have measured since.
func recentSpeeds(all []reserve.Speed, now time.Time) []reserve.Speed {
	return slices.DeleteFunc(slices.Clone(all), func(v reserve.Speed) bool { return now.Sub(v.UpdatedAt) >= reserve.SpeedTTL })
}

// sampleSpeeds returns at most n of the speeds, chosen at random. It reorders all.
func sampleSpeeds(all []reserve.Speed, n int) []reserve.Speed {
	if len(all) <= n {
		return all
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n]
}

// speedsByHash returns the speeds, in microseconds, by the hashes of their targets.
func speedsByHash(all []reserve.Speed) map[uint32]uint32 {
	out := make(map[uint32]uint32, len(all))
	for _, v := range all {
		out[targetHash(v.Target)] = uint32(v.Gap.Microseconds())
	}
	return out
}

// relativeDifference returns |b/a - 1|, 1 if a is 0.
func relativeDifference(a, b uint32) float64 {
	if a == 0 {
		return 1
	}
	d := float64(b)/float64(a) - 1
	return max(d, -d)
}

// targetIndex finds targets by their hashes. It is safe for concurrent use.
type targetIndex struct {
	byHash atomic.Pointer[map[uint32]string]
}

// set replaces the targets with the keys of the map.
func (s *targetIndex) set(targets map[string]bool) {
	m := make(map[uint32]string, len(targets))
	for name := range targets {
		m[targetHash(name)] = name
	}
	s.byHash.Store(&m)
}

// lookup returns the targets with the given hashes; unknown hashes are skipped.
func (s *targetIndex) lookup(hashes []uint32) []string {
	m := s.byHash.Load()
	if m == nil {
		return nil
	}
	var out []string
	for _, hash := range hashes {
		if name, ok := (*m)[hash]; ok {
			out = append(out, name)
		}
	}
	return out
}

// resolveSpeeds converts speeds in microseconds by target hash; unknown hashes are skipped.
func (s *targetIndex) resolveSpeeds(speeds map[uint32]uint32) []reserve.Speed {
	m := s.byHash.Load()
	if m == nil {
		return nil
	}
	var out []reserve.Speed
	for hash, gap := range speeds {
		if name, ok := (*m)[hash]; ok {
			out = append(out, reserve.Speed{Target: name, Gap: time.Duration(gap) * time.Microsecond})
		}
	}
	return out
}
