package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/sched/reserve"
)

const (
	// speedNews is the relative difference from what the hosts were told from which a
	// speed is told again. It is beyond what the other requests at a target change.
	speedChangeThreshold = 0.5
	// speedBeats is how many heartbeats to the same peer repeat a speed.
	speedHeartbeats = 2
)

// speedTable decides which speeds of targets go into a heartbeat: those that differ from
// what any host has told lately. One that did not change is told again when that has
// grown old.
type speedTable struct {
	mu        sync.Mutex
	announced map[uint32]announcedSpeed
}

// toldSpeed is what a host has told last of a target.
type announcedSpeed struct {
	gap        uint32 // microseconds
	at         time.Time
	byThisHost bool // it was this host
}

// shortName stands for a target in heartbeats; hosts agree on it without a
// registry. A collision of two targets only mixes up two estimates.
func targetHash(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// heard notes what a peer has told.
func (s *speedTable) recordPeerSpeeds(told map[uint32]uint32, now time.Time) {
	if len(told) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, gap := range told {
		s.store(name, announcedSpeed{gap: gap, at: now})
	}
}

// note keeps what was told. The caller holds the lock.
func (s *speedTable) store(name uint32, v announcedSpeed) {
	if s.announced == nil {
		s.announced = map[uint32]announcedSpeed{}
	}
	s.announced[name] = v
}

// news returns the speeds to tell peers that get a heartbeat in the given interval.
func (s *speedTable) toAnnounce(all []reserve.Speed, every time.Duration, now time.Time) map[uint32]uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, v := range s.announced {
		if now.Sub(v.at) >= reserve.SpeedTTL {
			delete(s.announced, name)
		}
	}
	out := map[uint32]uint32{}
	for _, v := range all {
		if now.Sub(v.LocalMeasuredAt) >= reserve.SpeedTTL {
			continue
		}
		name, gap := targetHash(v.Target), uint32(v.Gap.Microseconds())
		told, ok := s.announced[name]
		if !ok || relativeDifference(told.gap, gap) >= speedChangeThreshold {
			told = announcedSpeed{gap, now, true}
			s.store(name, told)
		}
		if told.byThisHost && now.Sub(told.at) < speedHeartbeats*every {
			out[name] = told.gap
		}
	}
	return out
}

// recent returns the speeds that count for others: what a host believed before it was cut
// off must not replace what they have measured since.
func recentSpeeds(all []reserve.Speed, now time.Time) []reserve.Speed {
	return slices.DeleteFunc(slices.Clone(all), func(v reserve.Speed) bool { return now.Sub(v.UpdatedAt) >= reserve.SpeedTTL })
}

// shortSpeeds returns the speeds by the short names of their targets.
func speedsByHash(all []reserve.Speed) map[uint32]uint32 {
	out := make(map[uint32]uint32, len(all))
	for _, v := range all {
		out[targetHash(v.Target)] = uint32(v.Gap.Microseconds())
	}
	return out
}

// differ returns the difference of two values relative to the first.
func relativeDifference(a, b uint32) float64 {
	if a == 0 {
		return 1
	}
	d := float64(b)/float64(a) - 1
	return max(d, -d)
}

// shortNames finds targets by their short names.
type targetIndex struct {
	byHash atomic.Pointer[map[uint32]string]
}

// set replaces the targets.
func (s *targetIndex) set(targets map[string]bool) {
	m := make(map[uint32]string, len(targets))
	for name := range targets {
		m[targetHash(name)] = name
	}
	s.byHash.Store(&m)
}

// lookup returns the targets with the short names; unknown ones are left out.
func (s *targetIndex) lookup(short []uint32) []string {
	m := s.byHash.Load()
	if m == nil {
		return nil
	}
	var out []string
	for _, n := range short {
		if name, ok := (*m)[n]; ok {
			out = append(out, name)
		}
	}
	return out
}

// resolve turns a heartbeat's speeds back.
func (s *targetIndex) resolveSpeeds(told map[uint32]uint32) []reserve.Speed {
	m := s.byHash.Load()
	if m == nil {
		return nil
	}
	var out []reserve.Speed
	for n, gap := range told {
		if name, ok := (*m)[n]; ok {
			out = append(out, reserve.Speed{Target: name, Gap: time.Duration(gap) * time.Microsecond})
		}
	}
	return out
}
