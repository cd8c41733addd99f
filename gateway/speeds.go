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
	speedNews = 0.5
	// speedBeats is how many heartbeats to the same peer repeat a speed.
	speedBeats = 2
)

// speedTable decides which speeds of targets go into a heartbeat: those that differ from
// what any host has told lately. One that did not change is told again when that has
// grown old.
type speedTable struct {
	mu   sync.Mutex
	told map[uint32]toldSpeed
}

// toldSpeed is what a host has told last of a target.
type toldSpeed struct {
	gap uint32 // microseconds
	at  time.Time
	own bool // it was this host
}

// shortName stands for a target in heartbeats; hosts agree on it without a
// registry. A collision of two targets only mixes up two estimates.
func shortName(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// heard notes what a peer has told.
func (s *speedTable) heard(told map[uint32]uint32, now time.Time) {
	if len(told) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, gap := range told {
		s.note(name, toldSpeed{gap: gap, at: now})
	}
}

// note keeps what was told. The caller holds the lock.
func (s *speedTable) note(name uint32, v toldSpeed) {
	if s.told == nil {
		s.told = map[uint32]toldSpeed{}
	}
	s.told[name] = v
}

// news returns the speeds to tell peers that get a heartbeat in the given interval.
func (s *speedTable) news(all []reserve.Speed, every time.Duration, now time.Time) map[uint32]uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, v := range s.told {
		if now.Sub(v.at) >= reserve.SpeedTTL {
			delete(s.told, name)
		}
	}
	out := map[uint32]uint32{}
	for _, v := range all {
		if now.Sub(v.LocalMeasuredAt) >= reserve.SpeedTTL {
			continue
		}
		name, gap := shortName(v.Target), uint32(v.Gap.Microseconds())
		told, ok := s.told[name]
		if !ok || differ(told.gap, gap) >= speedNews {
			told = toldSpeed{gap, now, true}
			s.note(name, told)
		}
		if told.own && now.Sub(told.at) < speedBeats*every {
			out[name] = told.gap
		}
	}
	return out
}

// recent returns the speeds that count for others: what a host believed before it was cut
// off must not replace what they have measured since.
func recent(all []reserve.Speed, now time.Time) []reserve.Speed {
	return slices.DeleteFunc(slices.Clone(all), func(v reserve.Speed) bool { return now.Sub(v.UpdatedAt) >= reserve.SpeedTTL })
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
