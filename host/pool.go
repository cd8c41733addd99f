package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/platform"
	"sardinefront.dev/sched/pool"
)

// tickEvery is how often a pool's decisions are brought up to date without an
// event. It bounds how late an expired deadline is noticed.
const tickInterval = 50 * time.Millisecond

// ticketActions is the capacity of a ticket's channel. A request has at most a
// dispatch, a pause and a refusal pending at once.
const actionBufferSize = 8

// ticket links a request in a pool to the goroutine that handles it.
type pendingRequest struct {
	req     *request.Request
	actions chan requestAction
	// pauses counts the pauses of the request.
	pauses atomic.Uint64
	// onPause stops the current attempt. It is called from any goroutine.
	onPause atomic.Pointer[func()]
}

// ticketAction is an action with the number of pauses before it, which tells
// whether the request was paused again after it.
type requestAction struct {
	pool.Action
	pauses uint64
}

// poolRunner performs the decisions of one pool on this host.
type poolRunner struct {
	name   string
	kind   pool.Kind
	sched  *pool.Pool
	floors floorBroadcaster

	backends atomic.Pointer[map[string]backend]
	// infos is the platform's list of the pool.
	targetInfos atomic.Pointer[[]platform.HostInfo]
	// addresses and feeders are owned by the goroutine that updates the targets.
	position  hostPosition
	addresses map[string]string

	// order keeps the actions of successive decisions in order.
	decisionMu sync.Mutex

	mu       sync.Mutex
	requests map[string]*pendingRequest
	probes   map[string]*probeState
	// versions holds what targets said they serve.
	reportedVersions map[string]string
	// shares is what the scheduler was last given.
	versionShares map[string]float64

	onHealthChange func(pool string, a pool.Action)
	onProbe        func(target string, b backend)
}

// floorSender tells the hosts of the zone about a tier floor.
type floorBroadcaster interface {
	broadcastFloor(pool string, tier request.Tier, until time.Time)
}

func newPoolRunner(c pool.Config, floors floorBroadcaster) *poolRunner {
	p := &poolRunner{
		name:             c.Name,
		kind:             c.Kind,
		sched:            pool.New(c),
		floors:           floors,
		requests:         make(map[string]*pendingRequest),
		addresses:        make(map[string]string),
		reportedVersions: make(map[string]string),
		probes:           make(map[string]*probeState),
	}
	p.backends.Store(&map[string]backend{})
	p.targetInfos.Store(&[]platform.HostInfo{})
	return p
}

// run ticks the pool until ctx ends.
func (p *poolRunner) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.decide(func(time.Time) []pool.Action { return p.sched.Tick(now) })
		}
	}
}

// backend returns the adapter of a target, or false if it has left.
func (p *poolRunner) backend(name string) (backend, bool) {
	b, ok := (*p.backends.Load())[name]
	return b, ok
}

// submit queues a request. A request with the same id in progress here is
// refused.
func (p *poolRunner) submit(req *request.Request) (*pendingRequest, *refusal.Refusal) {
	pending, ref := p.register(req)
	if ref != nil {
		return nil, ref
	}
	p.decide(func(now time.Time) []pool.Action { return p.sched.Submit(req, now) })
	return pending, nil
}

// resume continues a stream that this or another host has begun at the target.
func (p *poolRunner) resume(req *request.Request, offset int, target string) (*pendingRequest, *refusal.Refusal) {
	pending, ref := p.register(req)
	if ref != nil {
		return nil, ref
	}
	p.decide(func(now time.Time) []pool.Action { return p.sched.Resume(req, offset, target, now) })
	return pending, nil
}

func (p *poolRunner) register(req *request.Request) (*pendingRequest, *refusal.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.requests[req.ID]; ok {
		return nil, refusal.New(refusal.InProgress, "a request with this id is in progress on this host")
	}
	pending := &pendingRequest{req: req, actions: make(chan requestAction, actionBufferSize)}
	p.requests[req.ID] = pending
	return pending, nil
}

// release forgets the ticket after its request has left the pool.
func (p *poolRunner) unregister(pending *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests[pending.req.ID] == pending {
		delete(p.requests, pending.req.ID)
	}
}

// cancel removes a request whose caller has gone.
func (p *poolRunner) cancel(pending *pendingRequest) {
	p.decide(func(now time.Time) []pool.Action { return p.sched.Cancel(pending.req.ID, now) })
}

// done reports how a dispatch ended.
func (p *poolRunner) recordResult(pending *pendingRequest, r pool.Result) {
	p.decide(func(now time.Time) []pool.Action { return p.sched.Done(pending.req.ID, r, now) })
}

// do makes a decision and performs its actions.
func (p *poolRunner) decide(f func(now time.Time) []pool.Action) {
	p.decisionMu.Lock()
	defer p.decisionMu.Unlock()
	p.performActions(f(time.Now()))
}

// apply hands each action to whoever performs it. It never blocks.
func (p *poolRunner) performActions(actions []pool.Action) {
	for _, a := range actions {
		switch a.Kind {
		case pool.RaiseFloor:
			p.floors.broadcastFloor(p.name, a.Tier, a.Until)
		case pool.Eject, pool.Restore:
			p.onHealthChange(p.name, a)
		case pool.Probe:
			if b, ok := p.backend(a.Target); ok {
				p.onProbe(a.Target, b)
			}
		case pool.Cancel:
			// The goroutine of the request cancels at the target itself.
		default:
			p.deliver(a)
		}
	}
}

func (p *poolRunner) deliver(a pool.Action) {
	p.mu.Lock()
	pending := p.requests[a.Request.ID]
	p.mu.Unlock()
	if pending == nil {
		return
	}
	if a.Kind == pool.Pause {
		pending.pauses.Add(1)
		if stop := pending.onPause.Load(); stop != nil {
			(*stop)()
		}
		return
	}
	pending.actions <- requestAction{Action: a, pauses: pending.pauses.Load()}
}
