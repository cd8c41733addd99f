package pool

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
	"sardinefront.dev/sched/pick"
	"sardinefront.dev/sched/prefix"
)

const (
	// tickInterval is the interval of Tick while the pool has requests.
	tickInterval = 50 * time.Millisecond
	// idleInterval is the interval of Tick otherwise.
	idleInterval = time.Second
	// maxHistoryPrefixes is the number of prefixes recorded per pool: 3.8 MB at 232
	// bytes each.
	maxHistoryPrefixes = 1 << 14
)

// Pool schedules the requests of one pool on one host. All methods are safe for
// concurrent use. A submitted request ID stays in use until a Refuse action, a Done or a
// Cancel ends the request.
type Pool struct {
	snapshot atomic.Pointer[pick.Snapshot]

	mu      sync.Mutex
	cfg     Config
	rnd     *rand.Rand
	queue   *flow.Queue
	entries map[string]*entry

	slots     []*target // by snapshot index; nil if unused
	byName    map[string]*target
	byHash    map[uint32]*target // by hash in digests; nil if two collide
	affinity  *prefix.Affinity
	history   *prefix.History
	panicMode bool
	// anyLocal is true if a target of this host's zone is listed.
	anyLocal bool
	// anyMeetsGoals is true if a target of the zone can meet the latency goals.
	anyMeetsGoals bool

	versions    versions
	peers       peerTotals
	floors      floorState
	retryBudget tokenBucket
	probeBudget tokenBucket
	probeCursor int
	runTimes    runTimeEstimator
	decisions   decisionRing

	running        [request.TierCount]int
	pausable       []*entry // running patient requests that can be paused, oldest first
	suspendedCount int      // entries that wait to resume at their target
	// capacityChanges counts events that may free capacity. fullAtChange is its value
	// when a search last found no target for a request of the tier; the second index is 1
	// for late requests and 0 for others.
	capacityChanges uint64
	fullAtChange    [request.TierCount][2]uint64

	hostLimit     float64 // maximum number of requests in progress of this host
	meanOwnDemand float64 // smoothed running requests and waiting demand of this host
	// headroom is Limits.Headroom adjusted to the mix of tiers. meanHigherTier is the
	// smoothed number of this host's running requests above the patient tier.
	headroom           [request.TierCount]float64
	meanHigherTier     float64
	highTierOnlyActive bool    // high-tier-only targets refuse patient requests
	meanTokens         float64 // smoothed tokens per request
	refreshedAt        time.Time
	digestCursor       int

	// pickFilter holds the parameters of excludeFunc during one pick: only the given
	// versions are allowed, and the target that the last attempt did not reach is not.
	pickFilter struct {
		versions    []bool
		unreachable *target
	}
	excludeFunc func(int) bool
}

// New returns a pool without targets.
func New(c Config) *Pool {
	c.setDefaults()
	p := &Pool{
		cfg:             c,
		rnd:             rand.New(rand.NewPCG(c.Seed, uint64(c.HostIndex)+1)),
		queue:           flow.New(flow.Config{MaxWaiting: c.Limits.MaxWaiting, Weights: c.Weights}),
		entries:         map[string]*entry{},
		byName:          map[string]*target{},
		retryBudget:     tokenBucket{credit: 1, max: 10},
		probeBudget:     tokenBucket{max: 10},
		capacityChanges: 1,
	}
	p.excludeFunc = p.isExcluded
	p.headroom = c.Limits.Headroom
	if c.Kind == Engine {
		p.history = prefix.NewHistory(maxHistoryPrefixes)
	}
	p.rebuildSnapshot()
	return p
}

func (c *Config) setDefaults() {
	c.HostCount = max(1, c.HostCount)
	l := &c.Limits
	for t, n := range [request.TierCount]int{4096, 4096, 16384} {
		setDefault(&l.MaxWaiting[t], n)
	}
	if l.Headroom == [request.TierCount]float64{} {
		l.Headroom = [request.TierCount]float64{-0.1, 0.03, 0.15}
	}
	if c.Kind == Service {
		setDefault(&l.InitialRequests, 16)
	}
	setDefault(&l.InitialRequests, 8)
	setDefault(&l.MaxRequests, 512)
	setDefault(&l.TimeToFirstToken, 590*time.Millisecond)
	setDefault(&l.InterTokenLatency, 30*time.Millisecond)
	setDefault(&l.FloorTTL, 2*time.Second)
	setDefault(&l.MaxDigestBytes, 1500)
	setDefault(&l.ProbesPerSecond, 5)
	setDefault(&l.RetryBudget, 0.1)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Tick refuses expired requests, renews floors, updates estimates and dispatches the
// requests that can start. It should be called every 50 ms or at NextWake.
func (p *Pool) Tick(now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Action
	if now.Sub(p.refreshedAt) >= tickInterval {
		out = p.refresh(out, now)
		out = p.probeStale(out, now)
	}
	out = p.pauseForFloor(out, now)
	return p.dispatchReady(out, now)
}

// NextWake returns when Tick should be called next: 50 ms after now while the pool has
// requests, one second after now otherwise.
func (p *Pool) NextWake(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) > 0 {
		return now.Add(tickInterval)
	}
	return now.Add(idleInterval)
}

// SetHosts sets this host's index and the number of hosts that use the same targets,
// including this one. It must be called when members join or leave.
func (p *Pool) SetHosts(index, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.HostIndex, p.cfg.HostCount = max(0, index), max(1, hosts)
	for _, t := range p.slots {
		if t != nil {
			t.allowanceHash = hashFraction(t.hash, uint64(p.cfg.HostIndex))
			t.load.Allowance.Store(-1)
		}
	}
	p.rebuildSnapshot()
}

// SetWeights replaces the fair-queueing weights of organisations. Waiting requests keep
// their order within each organisation.
func (p *Pool) SetWeights(weights map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.SetWeights(weights)
}

// Stats returns a consistent snapshot of the pool's statistics.
func (p *Pool) Stats(now time.Time) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Running: p.running, Paused: p.suspendedCount, PanicMode: p.panicMode}
	for t := range s.Waiting {
		s.Waiting[t] = p.queue.Len(request.Tier(t))
	}
	for _, t := range p.slots {
		if t != nil {
			s.Targets++
			if t.ejected() {
				s.Ejected++
			}
		}
	}
	s.Floor, _ = p.queue.Floor(now)
	s.FloorSince, s.FloorUntil = p.floors.tierSince[s.Floor], p.queue.FloorUntil(s.Floor)
	return s
}

// Snapshot returns the current snapshot of the targets, for reading. When the list or the
// health of targets changes, the pool replaces it and does not modify it.
func (p *Pool) Snapshot() *pick.Snapshot { return p.snapshot.Load() }

// tokenBucket is a token bucket. Each use spends a credit of 1.
type tokenBucket struct {
	credit, max float64
}

func (b *tokenBucket) earn(v float64) { b.credit = min(b.max, b.credit+v) }

func (b *tokenBucket) spend() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
