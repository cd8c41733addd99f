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
const tickEvery = 50 * time.Millisecond

// ticketActions is the capacity of a ticket's channel. A request has at most a
// dispatch, a pause and a refusal pending at once.
const ticketActions = 8

// ticket links a request in a pool to the goroutine that handles it.
type ticket struct {
	req     *request.Request
	actions chan ticketAction
	// pauses counts the pauses of the request.
	pauses atomic.Uint64
	// onPause stops the current attempt. It is called from any goroutine.
	onPause atomic.Pointer[func()]
}

// ticketAction is an action with the number of pauses before it, which tells
// whether the request was paused again after it.
type ticketAction struct {
	pool.Action
	pauses uint64
}

// poolRunner performs the decisions of one pool on this host.
type poolRunner struct {
	name  string
	kind  pool.Kind
	sched *pool.Pool
	fleet floorSender

	backends atomic.Pointer[map[string]backend]
	// infos is the platform's list of the pool.
	infos atomic.Pointer[[]platform.Machine]
	// addresses and feeders are owned by the goroutine that updates the targets.
	feeders   feeders
	addresses map[string]string

	// order keeps the actions of successive decisions in order.
	order sync.Mutex

	mu      sync.Mutex
	tickets map[string]*ticket
	probes  map[string]*probeState
	// versions holds what targets said they serve.
	versions map[string]string
	// shares is what the scheduler was last given.
	shares map[string]float64

	onTarget func(pool string, a pool.Action)
	onProbe  func(target string, b backend)
}

// floorSender tells the hosts of the zone about a tier floor.
type floorSender interface {
	SendFloor(pool string, tier request.Tier, until time.Time)
}

func newPoolRunner(c pool.Config, fleet floorSender) *poolRunner {
	p := &poolRunner{
		name:      c.Name,
		kind:      c.Kind,
		sched:     pool.New(c),
		fleet:     fleet,
		tickets:   make(map[string]*ticket),
		addresses: make(map[string]string),
		versions:  make(map[string]string),
		probes:    make(map[string]*probeState),
	}
	p.backends.Store(&map[string]backend{})
	p.infos.Store(&[]platform.Machine{})
	return p
}

// run ticks the pool until ctx ends.
func (p *poolRunner) run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.do(func(time.Time) []pool.Action { return p.sched.Tick(now) })
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
func (p *poolRunner) submit(req *request.Request) (*ticket, *refusal.Refusal) {
	t, ref := p.register(req)
	if ref != nil {
		return nil, ref
	}
	p.do(func(now time.Time) []pool.Action { return p.sched.Submit(req, now) })
	return t, nil
}

// resume continues a stream that this or another host has begun at the target.
func (p *poolRunner) resume(req *request.Request, offset int, target string) (*ticket, *refusal.Refusal) {
	t, ref := p.register(req)
	if ref != nil {
		return nil, ref
	}
	p.do(func(now time.Time) []pool.Action { return p.sched.Resume(req, offset, target, now) })
	return t, nil
}

func (p *poolRunner) register(req *request.Request) (*ticket, *refusal.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.tickets[req.ID]; ok {
		return nil, refusal.New(refusal.InProgress, "a request with this id is in progress on this host")
	}
	t := &ticket{req: req, actions: make(chan ticketAction, ticketActions)}
	p.tickets[req.ID] = t
	return t, nil
}

// release forgets the ticket after its request has left the pool.
func (p *poolRunner) release(t *ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tickets[t.req.ID] == t {
		delete(p.tickets, t.req.ID)
	}
}

// cancel removes a request whose caller has gone.
func (p *poolRunner) cancel(t *ticket) {
	p.do(func(now time.Time) []pool.Action { return p.sched.Cancel(t.req.ID, now) })
}

// done reports how a dispatch ended.
func (p *poolRunner) done(t *ticket, r pool.Result) {
	p.do(func(now time.Time) []pool.Action { return p.sched.Done(t.req.ID, r, now) })
}

// do makes a decision and performs its actions.
func (p *poolRunner) do(decide func(now time.Time) []pool.Action) {
	p.order.Lock()
	defer p.order.Unlock()
	p.apply(decide(time.Now()))
}

// apply hands each action to whoever performs it. It never blocks.
func (p *poolRunner) apply(actions []pool.Action) {
	for _, a := range actions {
		switch a.Kind {
		case pool.RaiseFloor:
			p.fleet.SendFloor(p.name, a.Tier, a.Until)
		case pool.Eject, pool.Restore:
			p.onTarget(p.name, a)
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
	t := p.tickets[a.Request.ID]
	p.mu.Unlock()
	if t == nil {
		return
	}
	if a.Kind == pool.Pause {
		t.pauses.Add(1)
		if stop := t.onPause.Load(); stop != nil {
			(*stop)()
		}
		return
	}
	t.actions <- ticketAction{Action: a, pauses: t.pauses.Load()}
}
