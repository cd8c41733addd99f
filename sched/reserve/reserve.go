// Package reserve decides, for one service on one host, which waiting request
// tries which target next. A request leaves the queue only for a target that is
// believed to have a free slot. Targets that take reservations confirm or refuse
// each try, so hosts need not know each other's counts; plain services are chosen
// by latency and load. The package does no I/O and reads no clock.
package reserve

import (
	"math/rand/v2"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
	"sardinefront.dev/sched/health"
)

// Config describes the pool.
type Config struct {
	// Reservations says that targets confirm each try before they run it.
	Reservations bool
	// Waiting bounds the queue of each tier. Default 2048.
	Waiting int
	// Seed determines the random choices.
	Seed uint64
}

// Target is one target as the directory lists it.
type Target struct {
	// Name is the incarnation's unique name.
	Name string
	// Local says that the target is in the host's availability zone.
	Local bool
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving targets get nothing new.
	Leaving bool
	// ColdUntil is the end of the slow time after a target's start.
	ColdUntil time.Time
}

// Waiter is one request from Submit until its grant has ended.
type Waiter struct {
	Request *request.Request
	// Patience is how long after its arrival the caller waits for the first byte.
	Patience time.Duration
	// FreshUntil is when the request misses its goal; from then on it waits behind
	// the fresh requests of its tier.
	FreshUntil time.Time

	// Version, if it is not empty, is the version that a rollout moves to: the
	// request uses only targets of it, or none of it where Old is set.
	Version string
	Old     bool

	item     flow.Item
	excluded []string  // targets that this request must not try again
	extended time.Time // end of the wait after a target has failed the request
	queued   bool
	queuedAt time.Time
}

// Exclude keeps the request from a target.
func (w *Waiter) Exclude(target string) { w.excluded = append(w.excluded, target) }

func (w *Waiter) excludes(target string) bool {
	for _, name := range w.excluded {
		if name == target {
			return true
		}
	}
	return false
}

// Grant lets a request try a target.
type Grant struct {
	Waiter *Waiter
	Target string
}

// Expired is a request that left the queue unserved.
type Expired struct {
	Waiter  *Waiter
	Refusal *refusal.Refusal
}

// Outcome says how a grant ended.
type Outcome uint8

// The outcomes of a grant.
const (
	// Served is a whole answer without a fault of the target.
	Served Outcome = iota
	// Failed is a cut, crossed or missing answer of the target.
	Failed
	// Erred is an error answer.
	Erred
	// Silent is a target that did not answer in time.
	Silent
	// Unreachable is a target that no connection could be made to.
	Unreachable
	// Abandoned says nothing about the target, for example because the caller left.
	Abandoned
)

// Sample is what a served request says about its target's speed.
type Sample struct {
	// Latency is the time to the whole answer of a plain service.
	Latency time.Duration
	// Gap is the mean time between the events of a stream; 0 if unknown.
	Gap time.Duration
}

const (
	// fullBackoff is how long a target that refused a reservation is left alone,
	// unless a slot of this host's own comes free there. It doubles with each
	// further refusal up to maxFullBackoff.
	fullBackoff    = 20 * time.Millisecond
	maxFullBackoff = 80 * time.Millisecond
	// freeRefusals is the number of refusals in a row after which tries are spaced: by
	// tryPause for each host that shares the targets, so that the tries of all hosts
	// together don't grow with their number, doubled twice with further refusals.
	freeRefusals    = 6
	tryPause        = 250 * time.Microsecond
	tryPauseDoubles = 2
	// remotePenalty is added to the cost of targets in other zones.
	remotePenalty = 3 * time.Millisecond
	// typicalEvents weighs the pause between events against fixed costs.
	typicalEvents = 25
	// firstGap and firstLatency stand in for targets without a sample.
	firstGap     = 8 * time.Millisecond
	firstLatency = 25 * time.Millisecond
	// smoothing is the weight of a new sample.
	smoothing = 0.2
	// preferenceSpread and costNoise order targets of about equal cost: by the host's
	// own preference, and by chance.
	preferenceSpread = 0.2
	costNoise        = 0.05
	// coldFactor multiplies the cost of targets that have just started.
	coldFactor = 2
	// doubtWeight makes a target that failed lately cost more than one that is four
	// times slower.
	doubtWeight = 10
	// hearsayDoubt is the doubt about a target that another host has ejected. It is
	// avoided, not closed: the other host may be the one that is cut off.
	hearsayDoubt = 0.4
	// hearsayLife is how long that counts unless it is told again.
	hearsayLife = 600 * time.Millisecond
	// serviceOvercommit lets a plain service queue a little work, which costs less
	// than a wait on the host when other hosts are idle.
	serviceOvercommit = 1.5
	// waitedPart is the part of a caller's patience after which a waiting request is
	// refused; the rest is for the way to the first byte.
	waitedPart = 0.65
	// hopelessPart is the wait of the requests ahead, as a part of the patience, from
	// which a new one is refused at once.
	hopelessPart = 0.4
	// extendedWait is how long a request that a target has failed may wait for another.
	extendedWait = 700 * time.Millisecond
	// defaultWaiting bounds the queue of a tier.
	defaultWaiting = 2048
	// wakeEvery bounds the time between looks at the queue while requests wait.
	wakeEvery = 50 * time.Millisecond
)

// Lane is a group of waiting requests; a lower one is served first.
type Lane uint8

// lanes lists the lanes in the order of service. Fresh requests of a middle tier
// precede late ones of the highest, whose answers have lost most of their value.
var lanes = [...]struct {
	tier     request.Tier
	late     bool
	fastOnly bool
}{
	{request.Urgent, false, true},
	{request.Interactive, false, true},
	{request.Urgent, true, false},
	{request.Interactive, true, false},
	{request.Patient, false, false},
	{request.Patient, true, false},
}

// LaneCount is the number of lanes.
const LaneCount = Lane(len(lanes))

// target is the state of one target.
type target struct {
	Target
	health health.Tracker
	// doubtedUntil is how long another host's ejection counts.
	doubtedUntil time.Time
	// preference is this host's own draw, 0..1, lower is better. Hosts that prefer
	// different ones of equal targets meet less often at the same one, and keep
	// connections to fewer.
	preference float64
	inflight   int
	fullUntil  time.Time
	freed      bool // a request of this host has ended there since its last try
	refusals   int  // reservations refused in a row
	slow       bool // as of the last look at the queue
	gap        time.Duration
	latency    time.Duration
	load       float64 // running and waiting requests per slot, as last reported
	loadAt     time.Time
}

// Pool is the scheduler of one service on one host. It is not safe for concurrent
// use.
type Pool struct {
	cfg     Config
	rnd     *rand.Rand
	queue   *flow.Queue
	waiters map[string]*Waiter
	targets map[string]*target
	order   []*target
	ejected int
	hosts   int // that share the targets, this one included
	// tries spaces the tries of fast and of slow targets. They are kept apart, since
	// slow ones are full for longer and say nothing about the room at fast ones.
	tries [2]spacing
	floors       [LaneCount]time.Time // end of the floor of each lane
	gaps         []time.Duration      // scratch space of slowGap
}

// New returns a pool without targets.
func New(c Config) *Pool {
	if c.Waiting == 0 {
		c.Waiting = defaultWaiting
	}
	var bounds [request.TierCount]int
	for t := range bounds {
		bounds[t] = c.Waiting
	}
	return &Pool{
		cfg:     c,
		rnd:     rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15)),
		queue:   flow.New(flow.Config{Waiting: bounds}),
		waiters: map[string]*Waiter{},
		targets: map[string]*target{},
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
func (p *Pool) SetHosts(n int) { p.hosts = n }

// Submit queues a request. It returns a refusal if the request would wait for
// longer than its caller does, or if the queue of its tier is full.
func (p *Pool) Submit(w *Waiter, now time.Time) *refusal.Refusal {
	if f := p.hopeless(w, now); f != nil {
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

// Extend lets a request that a target has failed wait a little beyond its usual time:
// its caller has been kept waiting by the target, or already has a part of its answer.
func (w *Waiter) Extend(now time.Time) { w.extended = now.Add(extendedWait) }

// allows reports whether a rollout lets the request use a version.
func (w *Waiter) allows(version string) bool {
	return w.Version == "" || (version == w.Version) != w.Old
}

func (w *Waiter) queueItem() flow.Item {
	latest := w.Request.Arrived.Add(time.Duration(waitedPart * float64(w.Patience)))
	if w.extended.After(latest) {
		latest = w.extended
	}
	return flow.Item{Request: w.Request, Cost: float64(w.Request.Tokens()), FreshUntil: w.FreshUntil, LatestStart: latest}
}

// hopeless refuses a request at once if another one of its organisation and tier
// has waited for so long that this one would outwait its caller: a caller that is
// told early comes back while it still has time.
func (p *Pool) hopeless(w *Waiter, now time.Time) *refusal.Refusal {
	most := time.Duration(hopelessPart * float64(w.Patience))
	for _, other := range p.waiters {
		if other.Request.Tier != w.Request.Tier || other.Request.Organisation != w.Request.Organisation {
			continue
		}
		if age := now.Sub(other.Request.Arrived); age > most {
			return refusal.New(refusal.Overloaded, "a request before it has waited for %s, this one has %s", age.Round(time.Millisecond), w.Patience)
		}
	}
	return nil
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
func (p *Pool) Next(now time.Time) (grants []Grant, expired []Expired) {
	p.advance(now)
	for _, x := range p.queue.Expire(now) {
		w := p.waiters[x.Item.Request.ID]
		p.dequeue(w)
		expired = append(expired, Expired{w, x.Refusal})
	}
	if len(p.waiters) == 0 {
		return nil, expired
	}
	p.markSlow()
	for l := range lanes {
		grants = p.serveLane(Lane(l), grants, now)
	}
	return grants, expired
}

// serveLane starts the requests of one lane until no target takes the next one.
func (p *Pool) serveLane(l Lane, grants []Grant, now time.Time) []Grant {
	for {
		it := p.queue.Lane(lanes[l].tier, lanes[l].late, now)
		if it == nil {
			return grants
		}
		w := p.waiters[it.Request.ID]
		t := p.choose(w, l, now)
		if t == nil && w.Version != "" && !w.Old {
			// No room at the new version must not hold up what waits behind.
			w.Old = true
			t = p.choose(w, l, now)
		}
		if t == nil {
			return grants
		}
		p.queue.Take(it)
		p.dequeue(w)
		t.inflight++
		if !t.freed {
			p.holdBack(p.spacing(t), now) // the tries that follow wait for the outcome of this one
		}
		t.freed = false
		grants = append(grants, Grant{w, t.Name})
	}
}

// Wake returns when Next may have something to do without a further event; zero
// if nothing waits.
func (p *Pool) Wake(now time.Time) time.Time {
	if len(p.waiters) == 0 {
		return time.Time{}
	}
	wake := now.Add(wakeEvery)
	if at := p.queue.NextExpiry(); !at.IsZero() && at.Before(wake) {
		wake = at
	}
	for _, t := range p.order {
		next := p.spacing(t).next
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

// advance starts the trials of targets whose ejection has ended.
func (p *Pool) advance(now time.Time) {
	p.ejected = 0
	for _, t := range p.order {
		t.health.Advance(now)
		if t.health.State() == health.Ejected {
			p.ejected++
		}
	}
}

// choose returns the cheapest target that may take a request of the lane, or nil.
// Slow targets serve only lanes that cannot be in time there anyway: a fresh request
// does better to wait for a fast one.
func (p *Pool) choose(w *Waiter, l Lane, now time.Time) *target {
	var best *target
	bestCost := 0.0
	distrust := health.Panic(p.ejected, len(p.order))
	held := p.held(l, now)
	tried := p.triedAll(w)
	for _, t := range p.order {
		if !p.open(t, now, distrust) || !w.allows(t.Version) || !tried && w.excludes(t.Name) {
			continue
		}
		if t.slow && lanes[l].fastOnly || !t.slow && held {
			continue
		}
		c := p.cost(t, now) * (1 + preferenceSpread*t.preference + costNoise*p.rnd.Float64())
		if best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	return best
}

// triedAll reports whether the request is kept from every target that there is; then
// one of them is better than none.
func (p *Pool) triedAll(w *Waiter) bool {
	if len(w.excluded) == 0 {
		return false
	}
	for _, t := range p.order {
		if !t.Leaving && w.allows(t.Version) && !w.excludes(t.Name) {
			return false
		}
	}
	return true
}

// open reports whether a target is believed to have room.
func (p *Pool) open(t *target, now time.Time, distrust bool) bool {
	if t.Leaving || t.fullUntil.After(now) || !t.freed && now.Before(p.spacing(t).next) {
		return false
	}
	switch t.health.State() {
	case health.Ejected:
		if !distrust {
			return false
		}
	case health.Trial:
		if t.inflight > 0 {
			return false
		}
	}
	room := float64(max(1, t.Slots))
	if !p.cfg.Reservations {
		room *= serviceOvercommit
	}
	return float64(t.inflight) < room
}

// cost estimates the time of a request at a target, in seconds.
func (p *Pool) cost(t *target, now time.Time) float64 {
	c := 0.0
	if p.cfg.Reservations {
		c = orDefault(t.gap, firstGap).Seconds() * typicalEvents
	} else {
		c = orDefault(t.latency, firstLatency).Seconds() * (1 + max(t.use(), t.reported(now)))
	}
	if now.Before(t.ColdUntil) {
		c *= coldFactor
	}
	c *= 1 + doubtWeight*t.doubt(now)
	if !t.Local {
		c += remotePenalty.Seconds()
	}
	return c
}

// doubt returns how far a target is to be avoided, 0..1: by its own failures, or
// because another host has ejected it.
func (t *target) doubt(now time.Time) float64 {
	d := t.health.Doubt(now)
	if now.Before(t.doubtedUntil) {
		d = max(d, hearsayDoubt)
	}
	return d
}

func (t *target) use() float64 { return float64(t.inflight) / float64(max(1, t.Slots)) }

// loadLife is how long a load report counts.
const loadLife = 300 * time.Millisecond

func (t *target) reported(now time.Time) float64 {
	age := now.Sub(t.loadAt)
	if age > loadLife {
		return 0
	}
	return t.load * (1 - float64(age)/float64(loadLife))
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Full records that a target refused a reservation or a request for lack of room,
// and ends the grant.
func (p *Pool) Full(name string, now time.Time) {
	t := p.targets[name]
	if t == nil {
		return
	}
	t.inflight = max(0, t.inflight-1)
	s := p.spacing(t)
	s.refused++
	p.holdBack(s, now)
	d := min(maxFullBackoff, fullBackoff<<min(t.refusals, 8))
	t.refusals++
	t.fullUntil = now.Add(time.Duration((0.75 + 0.5*p.rnd.Float64()) * float64(d)))
}

// spacing holds back tries at targets that are probably full.
type spacing struct {
	// refused counts refused reservations since the last granted one. From
	// freeRefusals on, targets where no slot of this host's own has come free are tried
	// no sooner than next.
	refused int
	next    time.Time
}

// spacing returns that of a target's kind.
func (p *Pool) spacing(t *target) *spacing {
	if t.slow {
		return &p.tries[1]
	}
	return &p.tries[0]
}

// holdBack sets the time of the next try at a target that is probably full. When all
// engines are full, each try costs the host and the engine a call, and most slots that
// come free are taken by the host whose request ended there.
func (p *Pool) holdBack(s *spacing, now time.Time) {
	over := s.refused - freeRefusals
	if over < 0 {
		return
	}
	pause := time.Duration(max(1, p.hosts)) * tryPause << min(over, tryPauseDoubles)
	s.next = now.Add(time.Duration((0.75 + 0.5*p.rnd.Float64()) * float64(pause)))
}

// Reserved records that a target granted a reservation.
func (p *Pool) Reserved(name string) {
	if t := p.targets[name]; t != nil {
		t.refusals = 0
		*p.spacing(t) = spacing{}
	}
}

// Load records what a target says of its load.
func (p *Pool) Load(name string, running, waiting, slots int, now time.Time) {
	if t := p.targets[name]; t != nil && slots > 0 {
		t.load = float64(running+waiting) / float64(slots)
		t.loadAt = now
	}
}

// End ends a grant. It returns the reason if the outcome ejects the target.
func (p *Pool) End(name string, o Outcome, s Sample, now time.Time) string {
	t := p.targets[name]
	if t == nil {
		return ""
	}
	t.inflight = max(0, t.inflight-1)
	t.freed = true
	t.fullUntil = time.Time{}
	t.refusals = 0
	t.gap = smooth(t.gap, s.Gap)
	t.latency = smooth(t.latency, s.Latency)
	switch o {
	case Served:
		return t.health.Observe(health.Success, now)
	case Failed:
		return t.health.Observe(health.Failure, now)
	case Erred:
		return t.health.Observe(health.Erred, now)
	case Silent:
		return t.health.Observe(health.Silence, now)
	case Unreachable:
		// A refused connection costs little, and a target that cannot be reached
		// is asked again soon: the backoff spreads the tries of a host.
		t.fullUntil = now.Add(maxFullBackoff)
		return t.health.Observe(health.Failure, now)
	}
	return ""
}

func smooth(old, sample time.Duration) time.Duration {
	if sample <= 0 {
		return old
	}
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

// Ejected returns the targets that this host has ejected.
func (p *Pool) Ejected() []string {
	var out []string
	for _, t := range p.order {
		if t.health.State() == health.Ejected {
			out = append(out, t.Name)
		}
	}
	return out
}

// Doubt records that another host has ejected a target.
func (p *Pool) Doubt(name string, now time.Time) {
	if t := p.targets[name]; t != nil {
		t.doubtedUntil = now.Add(hearsayLife)
	}
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
	s := Stats{Targets: len(p.order), Ejected: p.ejected}
	for t := range s.Waiting {
		s.Waiting[t] = p.queue.Len(request.Tier(t))
	}
	for _, t := range p.order {
		s.Inflight += t.inflight
	}
	return s
}
