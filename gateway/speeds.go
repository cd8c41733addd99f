package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinefront.dev/sched/reserve"
)

const (
	// speedsEvery is how often all learned speeds are told again, for hosts that are
	// new or missed them.
	speedsEvery = 8 * time.Second
	// speedNews is the change of a speed that is told at once.
	speedNews = 0.3
)

// speedTable decides which learned speeds of targets go into a heartbeat.
type speedTable struct {
	mu    sync.Mutex
	told  map[uint32]uint32
	allAt time.Time
}

// shortName stands for a target in heartbeats; hosts agree on it without a
// registry. A collision of two targets only mixes up two estimates.
func shortName(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// news returns the speeds to tell now.
func (s *speedTable) news(all []reserve.Speed, now time.Time) map[uint32]uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	everything := now.Sub(s.allAt) >= speedsEvery
	if everything {
		s.allAt = now
		s.told = map[uint32]uint32{}
	}
	out := map[uint32]uint32{}
	for _, v := range all {
		name, gap := shortName(v.Target), uint32(v.Gap.Microseconds())
		if old, ok := s.told[name]; ok && differ(old, gap) < speedNews {
			continue
		}
		s.told[name] = gap
		out[name] = gap
	}
	return out
}

// shortSpeeds returns the speeds by the short names of their targets.
func shortSpeeds(all []reserve.Speed) map[uint32]uint32 {
	out := make(map[uint32]uint32, len(all))
	for _, v := range all {
		out[shortName(v.Target)] = uint32(v.Gap.Microseconds())
	}
	return out
}

// differ returns the difference of two values relative to the first.
func differ(a, b uint32) float64 {
	if a == 0 {
		return 1
	}
	d := float64(b)/float64(a) - 1
	return max(d, -d)
}

// shortNames finds targets by their short names.
type shortNames struct {
	current atomic.Pointer[map[uint32]string]
}

// set replaces the targets.
func (s *shortNames) set(targets map[string]bool) {
	m := make(map[uint32]string, len(targets))
	for name := range targets {
		m[shortName(name)] = name
	}
	s.current.Store(&m)
}

// lookup returns the targets with the short names; unknown ones are left out.
func (s *shortNames) lookup(short []uint32) []string {
	m := s.current.Load()
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
func (s *shortNames) resolve(told map[uint32]uint32) []reserve.Speed {
	m := s.current.Load()
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
