// Package reserve schedules the requests of one service on one host: it decides which
// waiting request is dispatched to which target next. A request leaves the queue only
// for a target that probably has a free slot. Targets with reservations grant or refuse
// each attempt, so hosts need not know how many requests other hosts have there. Targets
// of plain services are chosen by latency and load. The package does no I/O and reads no clock.
package reserve

import (
	"math/rand/v2"
	"slices"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/flow"
	"sardinefront.dev/sched/pace"
)

const (
	// defaultMaxWaiting is the default of Config.MaxWaiting.
	defaultMaxWaiting = 2048
	// maxWakeInterval bounds the time between calls of Dispatch while requests wait.
	maxWakeInterval = 50 * time.Millisecond
	// withdrawnRetryAfter is the Retry-After of requests for a withdrawn service. The other hosts
	// apply a configuration within a few heartbeats.
	withdrawnRetryAfter = 200 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	// Reservations is true if targets grant a reservation before they run a request.
	Reservations bool
	// MaxWaiting is the maximum number of waiting requests per tier. Default 2048.
	MaxWaiting int
	// Seed seeds the random choices.
	Seed uint64
}

// Pool is the scheduler of one service on one host. It is not safe for concurrent
// use.
type Pool struct {
	cfg     Config
	rnd     *rand.Rand
	queue   *flow.Queue
	waiters map[*flow.Item]*Waiter // by their items, since callers may repeat the id of a request
	targets map[string]*target
	order   []*target
	// openCount and ejectedCount count the targets that are open, and those of them that are
	// ejected, as of the last Dispatch.
	openCount, ejectedCount int
	hostCount               int // hosts that share the targets, including this one
	coldBound               pace.Bound
	knownHosts              int // see SetKnownHosts
	heldBack                int // see TakeHeldBack
	// pacers delay attempts, one pacer per speed class. Classes are paced separately:
	// slow targets stay full for longer, and refusals of fast or slow targets do not indicate
	// that unmeasured ones are full.
	pacers [speedClassCount]pacer
	// floors holds when the floor of each lane expires. Until then, requests of less urgent
	// lanes are not dispatched to fast targets.
	floors [LaneCount]time.Time
	// starvingHosts holds the hosts that have starved requests.
	starvingHosts map[string]floor
	gapScratch    []time.Duration // buffer of computeFastGap
	waits         waitHistory
	// departed holds the closures of targets that were removed from the list, in the order of
	// departedOrder.
	departed      map[string]*drain.State
	departedOrder []string
	// departedInflight holds the requests that still run at targets that were removed from the list.
	departedInflight map[string]int
	// evacuatedZones holds the availability zones whose targets get nothing.
	evacuatedZones Zones
	// withdrawn is set while the service is not configured and has no ready targets.
	withdrawn bool
	// slowThreshold is the gap between events above which a target is slow, as of the last
	// Dispatch with waiting requests; 0 if too few targets are measured.
	slowThreshold time.Duration
	// fastGap is the gap between events at a fast target, as of the same time.
	fastGap time.Duration
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
		waiters: map[*flow.Item]*Waiter{},
		targets: map[string]*target{}, starvingHosts: map[string]floor{}, departed: map[string]*drain.State{}, departedInflight: map[string]int{},
	}
}

// SetTargets replaces the list of targets and returns the targets that it closes or opens. The
// state of targets that stay is kept.
func (p *Pool) SetTargets(list []Target) (changes []ClosureChange) {
	next := make(map[string]*target, len(list))
	order := make([]*target, 0, len(list))
	for _, info := range list {
		t := p.targets[info.Name]
		if t == nil {
			t = &target{preference: p.rnd.Float64(), drain: p.restoreDeparted(info.Name), inflight: p.departedInflight[info.Name]}
			delete(p.departedInflight, info.Name)
		}
		t.Target = info
		t.drain.SetEvacuated(p.evacuatedZones.Contain(info.Zone))
		t.snapshot.Slots = info.Slots
		t.observeWarmUp()
		if c, changed := t.observeList(); changed {
			changes = append(changes, c)
		}
		next[info.Name] = t
		order = append(order, t)
	}
	p.keepDeparted(next)
	p.targets, p.order = next, order
	return changes
}

// SetWithdrawn sets whether the service is not configured any more and has no ready targets. Its
// requests are then refused at the next Dispatch, so that their callers can come back in time: a new
// configuration may send them to another service.
func (p *Pool) SetWithdrawn(withdrawn bool) { p.withdrawn = withdrawn }

// refuseWithdrawn removes all waiting requests and returns their refusals.
func (p *Pool) refuseWithdrawn() []Expired {
	var out []Expired
	for _, w := range p.waiters {
		ref := refusal.New(refusal.NoTarget, "the service is not configured any more and has no ready targets")
		ref.RetryAfter = withdrawnRetryAfter
		out = append(out, Expired{w, ref})
	}
	for _, x := range out {
		p.Remove(x.Waiter)
	}
	return out
}

// SetHostCount sets the number of hosts that share the targets, this one included.
func (p *Pool) SetHostCount(n int) { p.hostCount = n }

// Submit queues a request. It returns a refusal if the caller would probably give up before
// the request is dispatched, or if the queue of its tier is full.
func (p *Pool) Submit(w *Waiter, now time.Time) *refusal.Refusal {
	if ref := p.refuseWithoutHome(w, now); ref != nil {
		return ref
	}
	if ref := p.checkQueueDelay(w, now); ref != nil {
		return ref
	}
	w.item = w.queueItem()
	if ref := p.refuseUntilReopened(w.item.LatestStart, now); ref != nil {
		return ref
	}
	if ref := p.queue.Push(&w.item, now); ref != nil {
		return ref
	}
	w.queued, w.queuedAt = true, now
	p.waiters[&w.item] = w
	return nil
}

// Resubmit queues a request again after a grant that did not complete it. The request
// precedes its organisation's other requests.
func (p *Pool) Resubmit(w *Waiter) {
	w.item = w.queueItem()
	p.queue.PushFront(&w.item)
	w.queued = true
	p.waiters[&w.item] = w
}

// Remove takes a waiting request out of the queue and reports whether it was waiting.
func (p *Pool) Remove(w *Waiter) bool {
	if !w.queued {
		return false
	}
	p.queue.RemoveItem(&w.item)
	p.dequeue(w)
	return true
}

func (p *Pool) dequeue(w *Waiter) {
	w.queued = false
	delete(p.waiters, &w.item)
}

// Dispatch assigns waiting requests to targets with free slots. It returns these grants and
// the requests that are refused, because they have expired or the service is withdrawn. Each grant
// ends with EndGrant or RecordFull.
func (p *Pool) Dispatch(now time.Time) (grants []Grant, expired []Expired) {
	p.startTrials(now)
	if p.withdrawn {
		return nil, p.refuseWithdrawn()
	}
	for _, x := range p.queue.Expire(now) {
		w := p.waiters[x.Item]
		p.dequeue(w)
		if ref := p.refuseUntilReopened(now, now); ref != nil {
			x.Refusal = ref
		}
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

// dispatchLane grants targets to the requests of one lane until no target takes the next
// one. A request with excluded targets or homes that finds no other target keeps its place in the
// queue, but does not block the requests behind it.
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
		w := p.waiters[it]
		t := p.chooseTarget(w, l, now)
		if t == nil && p.mayChangeVersion(w) {
			w.AvoidRolloutVersion = !w.AvoidRolloutVersion
			t = p.chooseTarget(w, l, now)
		}
		if t == nil && (len(w.excluded) > 0 || !w.Homes.empty()) {
			p.queue.RemoveItem(it)
			skipped = append(skipped, w)
			continue
		}
		if t == nil {
			return grants
		}
		p.queue.Dequeue(it)
		p.dequeue(w)
		w.expectedFirstEvent = p.estimate(w, t, l, now).FirstEvent
		t.inflight++
		p.recordPacedGrant(t, now)
		t.snapshot.Load.RecordSend()
		t.reopeningBusy = t.reopening
		if !t.slotFreed {
			p.delayNext(p.pacer(t), now) // the next attempts wait for the outcome of this one
		}
		t.slotFreed = false
		grants = append(grants, Grant{w, t.Name})
	}
}

// mayChangeVersion reports whether a request that found no target may use the other versions than
// before. A full rollout version must not block the requests behind this one, and a request must
// not wait for a version of which no target is left.
func (p *Pool) mayChangeVersion(w *Waiter) bool {
	if w.RolloutVersion == "" {
		return false
	}
	othersLeft := slices.ContainsFunc(p.order, func(t *target) bool { return t.Version != w.RolloutVersion && w.Homes.Allow(t.Region) })
	if w.AvoidRolloutVersion {
		return !othersLeft && !w.RolledBack
	}
	return othersLeft
}

// EndRollout applies the outcome of a rollout to the waiting requests, which were assigned to a
// version when they arrived: they use the version from now on, or no more if it was rolled back. It
// reports whether that changes any request. Requests of a rollout to another version are left alone.
func (p *Pool) EndRollout(version string, rolledBack bool) (changed bool) {
	for _, w := range p.waiters {
		if w.RolloutVersion != "" && w.RolloutVersion != version {
			continue
		}
		changed = changed || w.RolloutVersion != version || w.AvoidRolloutVersion != rolledBack || w.RolledBack != rolledBack
		w.RolloutVersion, w.AvoidRolloutVersion, w.RolledBack = version, rolledBack, rolledBack
	}
	return changed
}

// NextWake returns when Dispatch must be called next if nothing else happens before, or the
// zero time if no request waits.
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
		if until := t.drain.BackOffUntil(); until.After(next) {
			next = until
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

// Stats counts the requests and targets of a pool.
type Stats struct {
	Waiting  [request.TierCount]int
	Inflight int
	Targets  int
	Ejected  int
	// Leaving, BackedOff and Evacuated count the targets that get nothing from this host for that reason.
	Leaving, BackedOff, Evacuated int
	// Paced counts the targets that are cold, or have just started or recovered.
	Paced int
}

// Stats returns the current counts.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{Targets: len(p.order), Ejected: p.ejectedCount, Paced: p.pacedTargets(now)}
	for t := range s.Waiting {
		s.Waiting[t] = p.queue.Len(request.Tier(t))
	}
	for _, t := range p.order {
		s.Inflight += t.inflight
		switch t.drain.Closure(now) {
		case drain.Leaving:
			s.Leaving++
		case drain.BackedOff:
			s.BackedOff++
		case drain.Evacuated:
			s.Evacuated++
		}
	}
	return s
}
