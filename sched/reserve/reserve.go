// Package reserve decides, for one service on one host, which waiting request
// tries which target next. A request leaves the queue only for a target that is
// believed to have a free slot. Targets that take reservations confirm or refuse
// each try, so hosts need not know each other's counts; plain services are chosen
// by latency and load. The package does no I/O and reads no clock.
package reserve

import (
	"math/rand/v2"
	"slices"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
)

const (
	// defaultWaiting bounds the queue of a tier.
	defaultMaxWaiting = 2048
	// wakeEvery bounds the time between looks at the queue while requests wait.
	maxWakeInterval = 50 * time.Millisecond
)

// Config describes the pool.
type Config struct {
	// Reservations says that targets confirm each try before they run it.
	Reservations bool
	// Waiting bounds the queue of each tier. Default 2048.
	MaxWaiting int
	// Seed determines the random choices.
	Seed uint64
}

// Pool is the scheduler of one service on one host. It is not safe for concurrent
// use.
type Pool struct {
	cfg          Config
	rnd          *rand.Rand
	queue        *flow.Queue
	waiters      map[string]*Waiter
	targets      map[string]*target
	order        []*target
	ejectedCount int
	hostCount    int // that share the targets, this one included
	// tries spaces the tries by the class of the target. They are kept apart: slow ones
	// are full for longer, and neither say anything about the room at new ones.
	pacers [speedClassCount]pacer
	floors [LaneCount]time.Time // end of the floor of each lane
	// starving are the hosts that have requests waiting for long.
	starvingHosts map[string]floor
	gapScratch    []time.Duration // scratch space of slowGap
	// slowFrom is the pause between events from which a target is slow, as of the last
	// look at the queue; 0 if too little is known.
	slowThreshold time.Duration
}

// New returns a pool without targets.
func New(c Config) *Pool {
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	var bounds [request.TierCount]int
	for t := range bounds {
		bounds[t] = c.MaxWaiting
	}
	return &Pool{
		cfg:     c,
		rnd:     rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15)),
		queue:   flow.New(flow.Config{MaxWaiting: bounds}),
		waiters: map[string]*Waiter{},
		targets: map[string]*target{}, starvingHosts: map[string]floor{},
	}
}

// SetTargets replaces the list of targets. What is known about those that stay is
// kept.
func (p *Pool) SetTargets(list []Target) {
	next := make(map[string]*target, len(list))
	p.order = p.order[:0]
	for _, info := range list {
		t := p.targets[info.Name]
		if t == nil {
			t = &target{preference: p.rnd.Float64()}
		}
		t.Target = info
		next[info.Name] = t
		p.order = append(p.order, t)
	}
	p.targets = next
}

// SetHosts sets the number of hosts that share the targets, this one included.
func (p *Pool) SetHostCount(n int) { p.hostCount = n }

// Submit queues a request. It returns a refusal if the request would wait for
// longer than its caller does, or if the queue of its tier is full.
func (p *Pool) Submit(w *Waiter, now time.Time) *refusal.Refusal {
	if f := p.checkQueueDelay(w, now); f != nil {
		return f
	}
	w.item = w.queueItem()
	if f := p.queue.Push(&w.item, now); f != nil {
		return f
	}
	w.queued, w.queuedAt = true, now
	p.waiters[w.Request.ID] = w
	return nil
}

// Resubmit queues a request again, ahead of its organisation's other requests, after
// a grant that did not end it.
func (p *Pool) Resubmit(w *Waiter) {
	w.item = w.queueItem()
	p.queue.PushFront(&w.item)
	w.queued = true
	p.waiters[w.Request.ID] = w
}

// Remove takes a waiting request out of the queue and reports whether it waited.
func (p *Pool) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	p.queue.Remove(w.Request.ID)
	p.dequeue(w)
	return true
}

func (p *Pool) dequeue(w *Waiter) {
	w.queued = false
	delete(p.waiters, w.Request.ID)
}

// Next returns what to try now and which requests have expired.
func (p *Pool) Dispatch(now time.Time) (grants []Grant, expired []Expired) {
	p.startTrials(now)
	for _, x := range p.queue.Expire(now) {
		w := p.waiters[x.Item.Request.ID]
		p.dequeue(w)
		expired = append(expired, Expired{w, x.Refusal})
	}
	if len(p.waiters) == 0 {
		return nil, expired
	}
	p.classifyTargets(now)
	for l := range lanes {
		grants = p.dispatchLane(Lane(l), grants, now)
	}
	return grants, expired
}

// serveLane starts the requests of one lane until no target takes the next one. A
// request that waits for want of a target that has not failed it yet keeps its place,
// but does not hold up those behind it.
func (p *Pool) dispatchLane(l Lane, grants []Grant, now time.Time) []Grant {
	var skipped []*Waiter
	defer func() {
		for _, w := range slices.Backward(skipped) {
			p.queue.PushFront(&w.item)
		}
	}()
	for {
		it := p.queue.Head(lanes[l].tier, lanes[l].late, now)
		if it == nil {
			return grants
		}
		w := p.waiters[it.Request.ID]
		t := p.chooseTarget(w, l, now)
		if t == nil && w.RolloutVersion != "" && !w.AvoidRolloutVersion {
			// No room at the new version must not hold up what waits behind.
			w.AvoidRolloutVersion = true
			t = p.chooseTarget(w, l, now)
		}
		if t == nil && len(w.excluded) > 0 {
			p.queue.Remove(it.Request.ID)
			skipped = append(skipped, w)
			continue
		}
		if t == nil {
			return grants
		}
		p.queue.Dequeue(it)
		p.dequeue(w)
		t.inflight++
		if !t.slotFreed {
			p.delayNext(p.pacer(t), now) // the tries that follow wait for the outcome of this one
		}
		t.slotFreed = false
		grants = append(grants, Grant{w, t.Name})
	}
}

// Wake returns when Next may have something to do without a further event; zero
// if nothing waits.
func (p *Pool) NextWake(now time.Time) time.Time {
	if len(p.waiters) == 0 {
		return time.Time{}
	}
	wake := now.Add(maxWakeInterval)
	if at := p.queue.NextExpiry(); !at.IsZero() && at.Before(wake) {
		wake = at
	}
	for _, t := range p.order {
		next := p.pacer(t).nextFastOnly
		if t.fullUntil.After(next) {
			next = t.fullUntil
		}
		if next.After(now) {
			wake = earlier(wake, next)
		}
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Stats counts what the pool holds.
type Stats struct {
	Waiting  [request.TierCount]int
	Inflight int
	Targets  int
	Ejected  int
}

// Stats returns the counts.
func (p *Pool) Stats() Stats {
	s := Stats{Targets: len(p.order), Ejected: p.ejectedCount}
	for t := range s.Waiting {
		s.Waiting[t] = p.queue.Len(request.Tier(t))
	}
	for _, t := range p.order {
		s.Inflight += t.inflight
	}
	return s
}
