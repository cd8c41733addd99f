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
	// tickInterval is how often the pool wants Tick while it has work.
	tickInterval = 50 * time.Millisecond
	// idleInterval is how often it wants Tick otherwise.
	idleInterval = time.Second
	// historySize is the number of prefixes remembered per pool, 3.8 MB at 232
	// bytes each.
	historySize = 1 << 14
)

// Pool schedules the requests of one pool on one host. All methods are safe
// for concurrent use. Every request ID that is submitted is in use until a
// Refuse, a Done or a Cancel ends it.
type Pool struct {
	snapshot atomic.Pointer[pick.Snapshot]

	mu      sync.Mutex
	cfg     Config
	rnd     *rand.Rand
	queue   *flow.Queue
	entries map[string]*entry

	slots   []*target // by index of the snapshot; nil is free
	byName  map[string]*target
	byHash  map[uint32]*target // by the digest's hash; nil where two collide
	homes   *prefix.Affinity
	history *prefix.History
	inPanic bool
	// anyLocal says that the list holds a target of this host's zone.
	anyLocal bool
	// anyFit says that a target of the zone can meet the objectives.
	anyFit bool

	versions versions
	peers    peers
	floors   floors
	retries  budget
	probes   budget
	probeAt  int
	service  serviceTime
	ring     ring

	running [request.TierCount]int
	patient []*entry // running patient work that can be paused, oldest first
	bound   int      // entries that wait for their target
	// changes counts events that may make room; fullAt is its value when a
	// fresh or a late request of the tier last found none.
	changes uint64
	fullAt  [request.TierCount][2]uint64

	hostCap float64 // requests that this host may have in progress
	ownMean float64 // smoothed requests in progress of this host
	// headroom is Limits.Headroom as adjusted to the mix of tiers; higherMean
	// smooths this host's work above the patient tier.
	headroom    [request.TierCount]float64
	higherMean  float64
	anyHigher   bool    // express targets are kept free of patient work
	tokensMean  float64 // smoothed tokens per request
	refreshedAt time.Time
	digestAt    int

	// wanted holds the state of skip during one choice.
	wanted struct {
		versions []bool
		excluded *target
	}
	skip func(int) bool
}

// New returns a pool without targets.
func New(c Config) *Pool {
	c.setDefaults()
	p := &Pool{
		cfg:     c,
		rnd:     rand.New(rand.NewPCG(c.Seed, uint64(c.HostIndex)+1)),
		queue:   flow.New(flow.Config{MaxWaiting: c.Limits.MaxWaiting, Weights: c.Weights}),
		entries: map[string]*entry{},
		byName:  map[string]*target{},
		retries: budget{credit: 1, most: 10},
		probes:  budget{most: 10},
		changes: 1,
	}
	p.skip = p.skipSlot
	p.headroom = c.Limits.Headroom
	if c.Kind == Engine {
		p.history = prefix.NewHistory(historySize)
	}
	p.rebuild()
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

// Tick expires requests, renews floors, updates estimates and starts what fits
// now. Call it every 50 ms or at NextWake.
func (p *Pool) Tick(now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Action
	if now.Sub(p.refreshedAt) >= tickInterval {
		out = p.refresh(out, now)
		out = p.probe(out, now)
	}
	out = p.pauseStep(out, now)
	return p.place(out, now)
}

// NextWake returns when Tick has something to do, at the latest one second
// after now.
func (p *Pool) NextWake(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) > 0 {
		return now.Add(tickInterval)
	}
	return now.Add(idleInterval)
}

// SetHosts changes this host's index and the number of hosts that feed the
// same targets, including this one. Call it when members join or leave.
func (p *Pool) SetHosts(index, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.HostIndex, p.cfg.HostCount = max(0, index), max(1, hosts)
	for _, t := range p.slots {
		if t != nil {
			t.draw = uniform(t.hash, uint64(p.cfg.HostIndex))
			t.load.Allowance.Store(-1)
		}
	}
	p.rebuild()
}

// SetWeights replaces the weights of organisations. Waiting requests keep the
// order that they have within their organisation.
func (p *Pool) SetWeights(weights map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.SetWeights(weights)
}

// Stats returns a consistent view of the pool.
func (p *Pool) Stats(now time.Time) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Running: p.running, Paused: p.bound, PanicMode: p.inPanic}
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
	s.FloorSince, s.FloorUntil = p.floors.began[s.Floor], p.queue.FloorUntil(s.Floor)
	return s
}

// Snapshot returns the current view of the targets for reading. It is
// replaced, never changed, when the list or the health of targets changes.
func (p *Pool) Snapshot() *pick.Snapshot { return p.snapshot.Load() }

// budget is a bucket of credit that each use draws 1 from.
type budget struct {
	credit, most float64
}

func (b *budget) earn(v float64) { b.credit = min(b.most, b.credit+v) }

func (b *budget) spend() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
