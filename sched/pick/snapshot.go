// Package pick selects a target for a request: it filters and scores the targets of one
// immutable snapshot of a pool. It scores only a bounded random sample and the targets
// likely to have the request's prefix in their cache, and allocates nothing.
package pick

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/prefix"
)

// Config holds the settings of a snapshot.
type Config struct {
	// Headroom is the fraction of each target's limit that a tier leaves free.
	Headroom [request.TierCount]float64
	// HostCount is the number of hosts that send requests to the targets.
	HostCount int
	// OwnCountsOnly samples two random targets and compares them by this host's own
	// counts.
	OwnCountsOnly bool
	// AllowanceOnly treats a target as full when this host's allowance there is used up.
	AllowanceOnly bool
	// PreferFresh samples targets with a recent load report where there are enough.
	PreferFresh bool
}

// Target is one target of a snapshot. Its index is stable between snapshots.
type Target struct {
	Name    string
	Version string
	// Local says that the target is in this host's zone.
	Local bool
	// HighTierOnly targets take no patient requests, whose prompts are long, and are
	// preferred for urgent requests.
	HighTierOnly bool
	// Schedulable targets may receive new requests; ejected and draining ones may not.
	Schedulable bool
	Load        *Load
}

// Snapshot is an immutable view of a pool's targets. Only their Load, which all
// snapshots share, changes. It is safe for concurrent use.
type Snapshot struct {
	cfg      Config
	targets  []Target
	local    []int32 // schedulable targets in this host's zone
	remote   []int32 // schedulable targets in other zones
	affinity *prefix.Affinity
	history  *prefix.History
}

// NewSnapshot returns a snapshot. A target with a nil Load marks an unused index.
// affinity and history may be nil for pools without prefix caches.
func NewSnapshot(c Config, ts []Target, affinity *prefix.Affinity, history *prefix.History) *Snapshot {
	s := &Snapshot{cfg: c, targets: ts, affinity: affinity, history: history}
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

// Targets returns the targets by index. The caller must not modify them.
func (s *Snapshot) Targets() []Target { return s.targets }

// SchedulableCounts returns how many targets of this zone and of other zones may receive
// new requests.
func (s *Snapshot) SchedulableCounts() (local, remote int) { return len(s.local), len(s.remote) }

// MaxAlternatives is the maximum number of targets in Choice.Best.
const MaxAlternatives = 4

// ScoredTarget is a target with its cost in milliseconds; lower is better.
type ScoredTarget struct {
	Index int32
	Cost  float32
}

// Choice is the picked target with the alternatives to it.
type Choice struct {
	Index int
	// CachedTokens is the expected number of prompt tokens in the target's cache.
	CachedTokens float64
	// Best holds the targets of lowest cost, the picked one first. The first BestCount
	// entries are in use.
	Best      [MaxAlternatives]ScoredTarget
	BestCount int
	// ScoredCount counts the targets that were considered.
	ScoredCount int
}

const (
	// The random sample has minSampleSize targets plus the bit length of the number of
	// local targets: 13 of 30 targets, 20 of 3,000.
	minSampleSize = 8
	// scanStopCount is the number of targets with capacity after which a scan stops.
	scanStopCount = 4
	// loadCostMs is the cost of a fully used target. It weighs load against the prefill
	// time that a cached prefix saves.
	loadCostMs = 120
	// prefillWeight counts prefill more than once, because it delays the request itself
	// and the other requests at the target.
	prefillWeight = 3
	// pendingPrefillWeight is the weight of the time until the target has computed the
	// prompts already sent by this host.
	pendingPrefillWeight = 3
	// highTierOnlyBonusMs is the cost reduction of a high-tier-only target, which has no
	// long prompts, for an urgent request.
	highTierOnlyBonusMs = 150
	// interactiveMaxUtilization is the utilization up to which interactive requests use
	// high-tier-only targets.
	interactiveMaxUtilization = 0.85
	// staleEstimateCostMs is the cost of filling a target to its limit where no load report
	// supports the estimate: the request may have to queue there.
	staleEstimateCostMs = 600
	// overAllowanceCostMs is the cost of exceeding the host's allowance.
	overAllowanceCostMs = 60
	// scanOverAllowanceCostMs is the same during a scan. It exceeds every other cost, so that a
	// host exceeds its allowance only when no other target has capacity.
	scanOverAllowanceCostMs = 1e6
	// cachedPrefixMaxUtilization is the utilization up to which a host exceeds its
	// allowance at a target with more than half of the prompt in its cache. With 40
	// hosts and 300 targets at 70% load this halves the prompt tokens computed; without
	// a bound the 95th percentile of first-token times rises from 0.1 s to 5.7 s.
	cachedPrefixMaxUtilization = 0.7
	// staleEstimateMinUtilization is the utilization from which staleEstimateCostMs applies.
	staleEstimateMinUtilization = 0.7
	// slowdownCostMs is the cost of each unit of slowdown above 1.
	slowdownCostMs = 60
	// patientOnlyBonusMs is the cost reduction of a target that no other tier can use. It
	// outweighs the slow prefill there.
	patientOnlyBonusMs = 5000
	// freshReportWeight is the report weight from which PreferFresh accepts a target. It
	// corresponds to a report age of about 1.4 s.
	freshReportWeight = 0.5
	// spilloverMaxUtilization is the utilization up to which targets in other zones are
	// used. They are used only when no target of this zone has capacity.
	spilloverMaxUtilization = 0.8
	// spilloverMinReportWeight is the report weight from which a target of another zone is
	// used. It corresponds to a report age of about 3 s.
	spilloverMinReportWeight = 0.2
)

// Pick returns the target for the request, or false if no target has capacity. Targets
// whose index makes skip return true are left out; skip may be nil. rnd is the only
// source of randomness. Pick is safe for concurrent use if each caller has its own rnd.
func (s *Snapshot) Pick(r *request.Request, now time.Time, rnd *rand.Rand, skip func(int) bool) (Choice, bool) {
	return s.PickWithin(r, 1, now, rnd, skip)
}

// PickWithin is Pick for a request that may use targets only up to a fraction
// maxUtilization of their limits, 0..1.
func (s *Snapshot) PickWithin(r *request.Request, maxUtilization float64, now time.Time, rnd *rand.Rand, skip func(int) bool) (Choice, bool) {
	var p picker
	p.init(s, r, skip)
	p.maxUtilization = maxUtilization
	if s.affinity != nil && len(r.Prefix) > 0 {
		s.history.RLock()
		p.addHolders(now)
		p.addPreferred(now)
		s.history.RUnlock()
	}
	p.addRandom(rnd)
	p.scoreCandidates()
	if p.choice.BestCount == 0 {
		p.scan(s.local, rnd, maxUtilization)
	}
	if p.choice.BestCount == 0 {
		p.scan(s.remote, rnd, min(maxUtilization, spilloverMaxUtilization))
	}
	if p.choice.BestCount == 0 {
		return p.choice, false
	}
	p.choice.Index = int(p.choice.Best[0].Index)
	return p.choice, true
}

// HasCapacity reports whether target i has capacity for the request. It ignores the
// target's version and whether it is schedulable.
func (s *Snapshot) HasCapacity(i int, r *request.Request) bool {
	return !s.targets[i].Load.project(r.Tier, r.EstimatedTokens(), &s.cfg).full
}

// HasCapacityAfterRelease reports whether target i would have capacity for the request
// if one of this host's requests there ended.
func (s *Snapshot) HasCapacityAfterRelease(i int, r *request.Request) bool {
	l := s.targets[i].Load
	return !l.projectWithOwn(l.OwnRequests.Load()-1, r.Tier, r.EstimatedTokens(), &s.cfg).full
}

// sampleSize returns how many random targets are scored.
func (s *Snapshot) sampleSize() int {
	if s.cfg.OwnCountsOnly {
		return 2
	}
	return minSampleSize + bits.Len(uint(len(s.local)))
}
