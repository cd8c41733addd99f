package pool

import (
	"sync"
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
)

// tickInterval is how often the pool wants Tick while it has work.
const tickInterval = 50 * time.Millisecond

// Pool schedules the requests of one pool on one host. All methods are safe
// for concurrent use.
type Pool struct {
	mu      sync.Mutex
	cfg     Config
	targets []*targetState
	waiting [request.TierCount][]*entry
	entries map[string]*entry
	floor   request.Tier
	until   time.Time
}

type targetState struct {
	Target
	running int
}

type entry struct {
	req     *request.Request
	target  *targetState
	offset  int
	resume  bool
	retried bool
}

// New returns a pool without targets.
func New(c Config) *Pool {
	if c.Limits.Requests == 0 {
		c.Limits.Requests = 8
	}
	return &Pool{cfg: c, entries: map[string]*entry{}, floor: request.Patient}
}

// SetTargets replaces the list of targets. What was learned about a target
// that stays in the list is kept.
func (p *Pool) SetTargets(ts []Target, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := map[string]*targetState{}
	for _, t := range p.targets {
		old[t.Name] = t
	}
	p.targets = nil
	for _, t := range ts {
		s := old[t.Name]
		if s == nil {
			s = &targetState{}
		}
		s.Target = t
		p.targets = append(p.targets, s)
	}
	return p.place(now)
}

// SetShares sets the part of the traffic, 0..1, that each version may receive.
// A version that is not listed receives nothing; an empty map lifts all
// restrictions.
func (p *Pool) SetShares(shares map[string]float64, now time.Time) []Action {
	return nil
}

// Submit queues a request and returns what can be done at once. A request that
// cannot be queued is refused as not run.
func (p *Pool) Submit(r *request.Request, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := &entry{req: r}
	p.entries[r.ID] = e
	p.waiting[r.Tier] = append(p.waiting[r.Tier], e)
	return p.place(now)
}

// Resume continues patient work that another host had dispatched to target and
// of which offset tokens were received. It is placed at that target only and
// counts as the same dispatch.
func (p *Pool) Resume(r *request.Request, offset int, target string, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.Name == target {
			t.running++
			p.entries[r.ID] = &entry{req: r, target: t, offset: offset, resume: true}
			return []Action{{Kind: Dispatch, Request: r, Target: target, Offset: offset, Resume: true}}
		}
	}
	return []Action{{Kind: Refuse, Request: r, Refusal: refusal.New(refusal.TargetFailed, "target %s has gone", target)}}
}

// Cancel removes a request whose caller has gone.
func (p *Pool) Cancel(id string, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil {
		return nil
	}
	delete(p.entries, id)
	if e.target == nil {
		q := p.waiting[e.req.Tier]
		for i := range q {
			if q[i] == e {
				p.waiting[e.req.Tier] = append(q[:i:i], q[i+1:]...)
				break
			}
		}
		return nil
	}
	e.target.running--
	return append([]Action{{Kind: Cancel, Request: e.req, Target: e.target.Name}}, p.place(now)...)
}

// FirstByte records the first byte of the answer.
func (p *Pool) FirstByte(id string, now time.Time) {}

// Progress records that tokens tokens of the answer have been received in
// total, including those before a pause.
func (p *Pool) Progress(id string, tokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		e.offset = tokens
	}
}

// Done records how a dispatched request ended and starts what fits now.
func (p *Pool) Done(id string, res Result, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil || e.target == nil {
		return nil
	}
	e.target.running--
	delete(p.entries, id)
	if res == NotSent && !e.retried {
		e.target, e.retried = nil, true
		p.entries[id] = e
		p.waiting[e.req.Tier] = append([]*entry{e}, p.waiting[e.req.Tier]...)
	}
	return p.place(now)
}

// Report records a target's load report. Reports may arrive late and in any
// order.
func (p *Pool) Report(target string, r LoadReport, now time.Time) {}

// CacheEvents records a target's cache events in their order. gap says that
// events before these were lost.
func (p *Pool) CacheEvents(target string, events []CacheEvent, gap bool, now time.Time) {}

// PeerDigest records the digest of the host with the given name. A digest that
// cannot be decoded is an error and changes nothing.
func (p *Pool) PeerDigest(from string, d Digest, now time.Time) error { return nil }

// Digest returns this host's digest for one peer.
func (p *Pool) Digest(now time.Time) Digest { return nil }

// Floor records a tier floor that a peer has raised: until then no work of a
// tier below t is started, and running patient work is paused.
func (p *Pool) Floor(t request.Tier, until time.Time, from string, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.until.After(now) || t < p.floor {
		p.floor, p.until = t, until
	}
	return nil
}

// Tick expires requests, renews floors and starts what fits now. Call it every
// 50 ms or at NextWake.
func (p *Pool) Tick(now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place(now)
}

// NextWake returns when Tick has something to do, at the latest one second
// after now.
func (p *Pool) NextWake(now time.Time) time.Time {
	return now.Add(tickInterval)
}

// Explain returns the recent decisions about a request, oldest first. Only the
// last few thousand decisions of the pool are kept.
func (p *Pool) Explain(id string) []Decision { return nil }

// Stats returns a consistent view of the pool.
func (p *Pool) Stats(now time.Time) Stats { return Stats{} }

// place starts waiting requests in tier order at the least-loaded target.
func (p *Pool) place(now time.Time) []Action {
	var out []Action
	for tier := range p.waiting {
		for len(p.waiting[tier]) > 0 {
			e := p.waiting[tier][0]
			if !e.req.Deadline.IsZero() && now.After(e.req.Deadline) {
				p.waiting[tier] = p.waiting[tier][1:]
				delete(p.entries, e.req.ID)
				out = append(out, Action{Kind: Refuse, Request: e.req, Refusal: refusal.New(refusal.DeadlinePassed, "deadline passed in queue")})
				continue
			}
			var best *targetState
			for _, t := range p.targets {
				if !t.Leaving && t.running < p.cfg.Limits.Requests && (best == nil || t.running < best.running) {
					best = t
				}
			}
			if best == nil {
				return out
			}
			p.waiting[tier] = p.waiting[tier][1:]
			best.running++
			e.target = best
			out = append(out, Action{Kind: Dispatch, Request: e.req, Target: best.Name, Retry: e.retried})
		}
	}
	return out
}
