package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/core/wait"
	"sardinefront.dev/platform"
	"sardinefront.dev/sched/pool"
)

// tickInterval is how often a pool is evaluated without an event. It bounds how late an expired
// deadline is detected.
const tickInterval = 50 * time.Millisecond

// actionBufferSize is the capacity of pendingRequest.actions. At most a dispatch, a pause and a
// refusal of a request are pending at once, so a send never blocks.
const actionBufferSize = 8

// pendingRequest passes the pool's actions on a request to the goroutine that handles it.
type pendingRequest struct {
	req     *request.Request
	actions chan requestAction
	// pauses is the number of times the request was paused.
	pauses atomic.Uint64
	// onPause stops the current attempt. It may be called from any goroutine.
	onPause atomic.Pointer[func()]
}

// requestAction is an action on a request. If the request has been paused more than pausesBefore
// times when the action is performed, the action is outdated.
type requestAction struct {
	pool.Action
	pausesBefore uint64
}

// poolRunner runs the scheduler of one pool on this host and performs its actions.
type poolRunner struct {
	name      string
	kind      pool.Kind
	scheduler *pool.Pool
	floors    floorBroadcaster

	backends atomic.Pointer[map[string]backend]
	// targetInfos holds the pool's entries of the last target list.
	targetInfos atomic.Pointer[[]platform.Endpoint]
	// position and addresses (by target name) are only used by the goroutine that updates the
	// targets.
	position  hostPosition
	addresses map[string]string

	// decisionMu is held while a decision is made and its actions are delivered, so that the
	// actions of successive decisions stay in order.
	decisionMu sync.Mutex

	// mu guards the maps below.
	mu       sync.Mutex
	requests map[string]*pendingRequest
	probes   map[string]*probeState
	// reportedVersions holds the versions that targets have named in responses and load
	// reports, by target.
	reportedVersions map[string]string
	// versionShares are the shares that were last passed to the scheduler.
	versionShares map[string]float64

	onHealthChange       func(pool string, a pool.Action)
	onClosureChange      func(pool string, a pool.Action)
	onRetryAfterRejected func(pool, target, value string, err error)
	onProbe              func(target string, b backend)
}

// floorBroadcaster sends a tier floor to the other hosts of the zone.
type floorBroadcaster interface {
	broadcastFloor(pool string, tier request.Tier, until time.Time)
}

func newPoolRunner(c pool.Config, floors floorBroadcaster) *poolRunner {
	p := &poolRunner{
		name:             c.Name,
		kind:             c.Kind,
		scheduler:        pool.New(c),
		floors:           floors,
		requests:         make(map[string]*pendingRequest),
		addresses:        make(map[string]string),
		reportedVersions: make(map[string]string),
		probes:           make(map[string]*probeState),
	}
	p.backends.Store(&map[string]backend{})
	p.targetInfos.Store(&[]platform.Endpoint{})
	return p
}

// run evaluates the pool at every tick until ctx ends.
func (p *poolRunner) run(ctx context.Context) {
	wait.Every(ctx, tickInterval, func(now time.Time) {
		p.decide(func(time.Time) []pool.Action { return p.scheduler.Tick(now) })
	})
}

// backend returns the client of a target, or false if the target is no longer listed.
func (p *poolRunner) backend(name string) (backend, bool) {
	b, ok := (*p.backends.Load())[name]
	return b, ok
}

// submit queues a request. It refuses the request if one with the same id is in progress on
// this host.
func (p *poolRunner) submit(req *request.Request) (*pendingRequest, *refusal.Refusal) {
	pending, ref := p.register(req)
	if ref != nil {
		return nil, ref
	}
	p.decide(func(now time.Time) []pool.Action { return p.scheduler.Submit(req, now) })
	return pending, nil
}

// resume queues the resumption of a stream at the target, from the event offset. The request
// may have been dispatched by another host.
func (p *poolRunner) resume(req *request.Request, offset int, target string) (*pendingRequest, *refusal.Refusal) {
	pending, ref := p.register(req)
	if ref != nil {
		return nil, ref
	}
	p.decide(func(now time.Time) []pool.Action { return p.scheduler.Resume(req, offset, target, now) })
	return pending, nil
}

func (p *poolRunner) register(req *request.Request) (*pendingRequest, *refusal.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.requests[req.ID]; ok {
		return nil, refusal.New(refusal.InProgress, "request %s is already in progress on this host", req.ID)
	}
	pending := &pendingRequest{req: req, actions: make(chan requestAction, actionBufferSize)}
	p.requests[req.ID] = pending
	return pending, nil
}

// unregister removes a request that has left the pool.
func (p *poolRunner) unregister(pending *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests[pending.req.ID] == pending {
		delete(p.requests, pending.req.ID)
	}
}

// cancel removes a request whose response is no longer needed from the pool.
func (p *poolRunner) cancel(pending *pendingRequest) {
	p.decide(func(now time.Time) []pool.Action { return p.scheduler.Cancel(pending.req.ID, now) })
}

// recordResult reports the result of a dispatch to the scheduler.
func (p *poolRunner) recordResult(pending *pendingRequest, r pool.Result) {
	p.decide(func(now time.Time) []pool.Action { return p.scheduler.Done(pending.req.ID, r, now) })
}

// decide calls f with the current time and performs the actions that it returns.
func (p *poolRunner) decide(f func(now time.Time) []pool.Action) {
	p.decisionMu.Lock()
	defer p.decisionMu.Unlock()
	p.performActions(f(time.Now()))
}

// performActions starts each action. It never blocks.
func (p *poolRunner) performActions(actions []pool.Action) {
	for _, a := range actions {
		switch a.Kind {
		case pool.RaiseFloor:
			p.floors.broadcastFloor(p.name, a.Tier, a.Until)
		case pool.Eject, pool.Restore:
			p.onHealthChange(p.name, a)
		case pool.Close, pool.Reopen:
			p.onClosureChange(p.name, a)
		case pool.Probe:
			if b, ok := p.backend(a.Target); ok {
				p.onProbe(a.Target, b)
			}
		case pool.Cancel:
			// The goroutine that handles the request sends the cancel to the target.
		default:
			p.deliver(a)
		}
	}
}

// deliver passes an action to the goroutine that handles the request. A pause stops the current
// attempt directly.
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
	pending.actions <- requestAction{Action: a, pausesBefore: pending.pauses.Load()}
}
