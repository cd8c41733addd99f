// Package pick selects a target for a request: it filters, scores and picks
// over one immutable snapshot of a pool. Only a bounded sample of the targets
// and the homes of the request's prefix are scored, and nothing is allocated.
package pick

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/prefix"
)

// Config holds what does not change between snapshots of a pool.
type Config struct {
	// Headroom is the part of each limit that a tier leaves free.
	Headroom [request.TierCount]float64
	// Hosts is the number of hosts that feed the targets.
	HostCount int
	// OwnCountsOnly compares two random targets by the host's own counts.
	OwnCountsOnly bool
	// AllowanceOnly takes a target as full when the host's allowance there is
	// used.
	AllowanceOnly bool
	// FreshOnly prefers targets with a recent load report.
	PreferFresh bool
}

// Target is one target of a snapshot. Its index is stable between snapshots.
type Target struct {
	Name    string
	Version string
	Local   bool
	// Express targets take no patient work, whose prompts are long, and are
	// preferred by urgent work.
	HighTierOnly bool
	// Open targets may be given new work; ejected and leaving ones may not.
	Schedulable bool
	Load        *Load
}

// Snapshot is an immutable view of a pool's targets. Their Load is shared and
// changes.
type Snapshot struct {
	cfg     Config
	targets []Target
	local   []int32 // open targets in this host's zone
	remote  []int32 // open targets elsewhere
	homes   *prefix.Affinity
	history *prefix.History
}

// NewSnapshot returns a snapshot. A target with a nil Load is an unused index.
// homes and history may be nil for pools without prefix caches.
func NewSnapshot(c Config, ts []Target, homes *prefix.Affinity, history *prefix.History) *Snapshot {
	s := &Snapshot{cfg: c, targets: ts, homes: homes, history: history}
	for i, t := range ts {
		if t.Load == nil || !t.Schedulable {
			continue
		}
		if t.Local {
			s.local = append(s.local, int32(i))
		} else {
			s.remote = append(s.remote, int32(i))
		}
	}
	return s
}

// Targets returns the targets by index. The caller does not change them.
func (s *Snapshot) Targets() []Target { return s.targets }

// Open returns how many local and other targets may be given new work.
func (s *Snapshot) SchedulableCounts() (local, remote int) { return len(s.local), len(s.remote) }

// Kept is the number of alternatives that a choice names.
const MaxAlternatives = 4

// Scored is a target with its cost in milliseconds.
type ScoredTarget struct {
	Index int32
	Cost  float32
}

// Choice is the picked target.
type Choice struct {
	Index int
	// Reuse is the expected number of prompt tokens found in the cache.
	CachedTokens float64
	// Best holds the cheapest targets, the picked one first; Kept of them at
	// most, N in use.
	Best      [MaxAlternatives]ScoredTarget
	BestCount int
	// Scored counts the targets that were looked at.
	ScoredCount int
}

const (
	// sampleMin and the bit length of the number of targets make up the random
	// sample: 13 of 30 targets, 20 of 3,000.
	sampleMin = 8
	// scanEnough ends the scan that follows when the sample has no room.
	scanEnough = 4
	// loadCost is the cost in milliseconds of a fully used target; it weighs
	// load against the prefill time that a cached prefix saves.
	loadCost = 120
	// reuseWeight counts prefill more than once: it delays the request itself
	// and takes the target's time from the others.
	reuseWeight = 3
	// pendingWeight is the weight of the time until the prompts that this host has
	// sent to the target are computed.
	pendingWeight = 3
	// expressGain is the gain in milliseconds of a target without long prompts
	// for an urgent request.
	expressGain = 150
	// expressUse is the use up to which interactive work takes express targets.
	expressUse = 0.85
	// riskCost is the cost in milliseconds of filling a target to its limit by
	// an estimate that has lost its report: the request may queue there.
	riskCost = 600
	// borrowCost is the cost in milliseconds of exceeding the host's allowance.
	borrowCost = 60
	// scanBorrowCost is the same once the sample has shown no room; it exceeds
	// every other cost, so that a host borrows only when nothing else is left.
	scanBorrowCost = 1e6
	// reuseBorrow is the use up to which a host exceeds its allowance at a target
	// that holds more than half of the prompt. A trial with 40 hosts and 300
	// targets at 70% load computed half as many prompt tokens with it; without a
	// bound the 95th percentile of first-token times rose from 0.1 s to 5.7 s.
	reuseBorrow = 0.7
	// riskFrom is the use from which that cost begins.
	riskFrom = 0.7
	// slowCost is the cost in milliseconds of each multiple of slowdown.
	slowCost = 60
	// unfitGain is the gain in milliseconds of using a target that no other tier
	// can use; it outweighs the slow prefill there.
	unfitGain = 5000
	// freshEnough is the report weight from which FreshOnly accepts a target;
	// it corresponds to about 1.4 s.
	freshEnough = 0.5
	// spillUse is the use up to which targets in other zones take work; they do
	// so only when no target of the zone has room.
	spillUse = 0.8
	// spillFresh is the report weight that counts as an advertisement of spare
	// capacity in another zone; it corresponds to about 3 s.
	spillFresh = 0.2
)

// Pick returns the target for the request, or false if no target has room.
// Targets for which skip returns true are left out; skip may be nil. rnd is
// the only source of randomness. It is safe for concurrent use with different
// rnd.
func (s *Snapshot) Pick(r *request.Request, now time.Time, rnd *rand.Rand, skip func(int) bool) (Choice, bool) {
	return s.PickWithin(r, 1, now, rnd, skip)
}

// PickWithin is Pick for a request that may fill targets only up to a part of
// their limits, 0..1.
func (s *Snapshot) PickWithin(r *request.Request, part float64, now time.Time, rnd *rand.Rand, skip func(int) bool) (Choice, bool) {
	var p picker
	p.init(s, r, skip)
	p.part = part
	if s.homes != nil && len(r.Prefix) > 0 {
		s.history.RLock()
		p.addHolders(now)
		p.addHomes(now)
		s.history.RUnlock()
	}
	p.addSample(rnd)
	p.score()
	if p.choice.BestCount == 0 {
		p.scan(s.local, rnd, part)
	}
	if p.choice.BestCount == 0 {
		p.scan(s.remote, rnd, min(part, spillUse))
	}
	if p.choice.BestCount == 0 {
		return p.choice, false
	}
	p.choice.Index = int(p.choice.Best[0].Index)
	return p.choice, true
}

// Admits reports whether target i has room for the request, whatever its
// version and state.
func (s *Snapshot) HasCapacity(i int, r *request.Request) bool {
	return !s.targets[i].Load.room(r.Tier, r.Tokens(), &s.cfg).full
}

// Frees reports whether target i would have room for the request if one request
// of this host ended there.
func (s *Snapshot) HasCapacityAfterRelease(i int, r *request.Request) bool {
	l := s.targets[i].Load
	return !l.roomWith(l.OwnRequests.Load()-1, r.Tier, r.Tokens(), &s.cfg).full
}

// sampleSize returns how many random targets are scored.
func (s *Snapshot) sampleSize() int {
	if s.cfg.OwnCountsOnly {
		return 2
	}
	return sampleMin + bits.Len(uint(len(s.local)))
}
