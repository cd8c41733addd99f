package pool

import (
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
	"sardinefront.dev/sched/pick"
)

// maxPausesPerStart bounds the patient requests that are paused to start one
// request of a higher tier; beyond that, the target's limit has shrunk and the
// floor does the rest.
const maxPausesPerStart = 4

// latePart is the part of each limit that requests may fill which have missed
// the objective for their first token, so that fresh ones find room. Urgent ones
// compete with little fresh work and keep the lower tiers waiting meanwhile.
var latePart = [request.TierCount]float64{0.8, 0.3, 1}

// place starts what can start now: by tier, then by fairness. It stops at the
// first request that no target can take, so that no lower tier passes it.
func (p *Pool) place(out []Action, now time.Time) []Action {
	resumed := false
	for {
		it, expired := p.queue.Next(now)
		out = p.expire(out, expired, now)
		if dropped := p.shedLate(&out, now); dropped {
			continue
		}
		if !resumed && (it == nil || it.Request.Tier == request.Patient) {
			out = p.resumeBound(out, now)
			resumed = true
		}
		if it == nil {
			return p.keepFloor(out, now)
		}
		e := p.entries[it.Request.ID]
		choice, ok := p.chooseIfChanged(e, now)
		if !ok && e.req.Tier != request.Patient {
			out, choice, ok = p.preempt(out, e, now)
		}
		if !ok {
			return p.keepFloor(p.block(out, e.req.Tier, now), now)
		}
		out = p.start(out, e, choice, now)
	}
}

// lateKept is how many late interactive requests a host keeps at least, and a
// lateShare of its requests in progress if that is more. More would wait in vain
// under lasting overload, keep patient work stopped, and set their organisations
// behind the others.
const (
	lateKept  = 4
	lateShare = 12
)

// shedLate refuses interactive requests that have missed the time for their
// first token, beyond those that are kept.
func (p *Pool) shedLate(out *[]Action, now time.Time) bool {
	running := 0
	for _, n := range p.running {
		running += n
	}
	dropped := false
	for {
		it := p.queue.ShedLate(request.Interactive, max(lateKept, running/lateShare))
		if it == nil {
			return dropped
		}
		dropped = true
		wait := now.Sub(it.Request.Arrived).Round(time.Millisecond)
		f := refusal.New(refusal.DeadlinePassed, "overload: no room for a first token within %s, the rules want it within %s", wait, it.Request.FirstToken)
		*out = p.refuse(p.raiseFloor(*out, request.Interactive, now), p.entries[it.Request.ID], f, now)
	}
}

// expire refuses requests that can no longer meet their deadline. By then the
// floor is up, so lower tiers have stopped first.
func (p *Pool) expire(out []Action, expired []flow.Expired, now time.Time) []Action {
	for _, x := range expired {
		tier := x.Item.Request.Tier
		if tier != request.Patient {
			out = p.raiseFloor(out, tier, now)
		}
		out = p.refuse(out, p.entries[x.Item.Request.ID], x.Refusal, now)
	}
	return out
}

// chooseIfChanged is choose, unless it failed for this tier and nothing has
// changed since that could make room. It keeps a burst into a full pool from
// scanning all targets for each request.
func (p *Pool) chooseIfChanged(e *entry, now time.Time) (pick.Choice, bool) {
	fullAt := &p.fullAt[e.req.Tier][0]
	if e.item.Late(p.queue) {
		fullAt = &p.fullAt[e.req.Tier][1]
	}
	if *fullAt == p.changes {
		return pick.Choice{}, false
	}
	c, ok := p.choose(e, now)
	if !ok {
		*fullAt = p.changes
	}
	return c, ok
}

// choose picks a target among the versions that the request may use. A version
// with an unused share is served first, except for urgent requests, which use
// it only when nothing else has room.
func (p *Pool) choose(e *entry, now time.Time) (pick.Choice, bool) {
	if p.capped(e.req.Tier) {
		return pick.Choice{}, false
	}
	due := p.versions.due(e.req.Tier)
	if due >= 0 && e.req.Tier != request.Urgent {
		if c, ok := p.pickFrom(e, p.versions.onlySet(due), now); ok {
			return c, true
		}
	}
	c, ok := p.pickFrom(e, p.versions.proven, now)
	if !ok && due >= 0 && e.req.Tier == request.Urgent {
		c, ok = p.pickFrom(e, p.versions.onlySet(due), now)
	}
	if !ok && e.failed != nil {
		e.failed = nil
		return p.choose(e, now)
	}
	return c, ok
}

func (p *Pool) pickFrom(e *entry, versions []bool, now time.Time) (pick.Choice, bool) {
	p.wanted.versions, p.wanted.excluded = versions, e.failed
	part := 1.0
	if e.item.Late(p.queue) {
		part = latePart[e.req.Tier]
	}
	return p.snapshot.Load().PickWithin(e.req, part, now, p.rnd, p.skip)
}

// skipSlot reports whether the current choice leaves out a target.
func (p *Pool) skipSlot(i int) bool {
	t := p.slots[i]
	return !p.wanted.versions[t.version] || t == p.wanted.excluded
}

// start dispatches a waiting request.
func (p *Pool) start(out []Action, e *entry, c pick.Choice, now time.Time) []Action {
	t := p.slots[c.Index]
	p.queue.Dequeue(&e.item)
	e.uncached = max(0, e.req.PromptTokens-int(c.CachedTokens))
	p.begin(e, t, now)
	p.versions.dispatched(t.version)
	p.retries.earn(p.cfg.Limits.RetryBudget)
	p.remember(e, t, now)
	p.ring.addChoice(e.req.ID, t.Name, c, p.slots, now)
	out = append(out, Action{Kind: Dispatch, Request: e.req, Target: t.Name, Retry: e.retries > 0})
	return p.probeRandom(out)
}

// remember records the request's prefixes at its target: the whole prompt and
// the lengths that homes are computed for.
func (p *Pool) remember(e *entry, t *target, now time.Time) {
	n := len(e.req.Prefix)
	if p.history == nil || n == 0 {
		return
	}
	for d := 1; d < n; d *= 2 {
		p.history.RecordDispatch(e.req.Prefix[d-1], t.slot, now)
	}
	p.history.RecordDispatch(e.req.Prefix[n-1], t.slot, now)
}

// preempt pauses patient work of this host, newest first, until a target can
// take the request.
func (p *Pool) preempt(out []Action, e *entry, now time.Time) ([]Action, pick.Choice, bool) {
	for range maxPausesPerStart {
		victim := p.victim(e)
		if victim == nil {
			break
		}
		out = p.pause(out, victim, "room for "+e.req.Tier.String(), now)
		if c, ok := p.choose(e, now); ok {
			return out, c, true
		}
	}
	return out, pick.Choice{}, false
}

// victim returns the newest patient request whose pause makes room where e may
// run.
func (p *Pool) victim(e *entry) *entry {
	snap := p.snapshot.Load()
	for i := len(p.patient) - 1; i >= 0; i-- {
		t := p.patient[i].target
		if !t.gone && snap.HasCapacityAfterRelease(t.slot, e.req) && snap.Targets()[t.slot].Schedulable && p.versions.proven[t.version] && t != e.failed {
			return p.patient[i]
		}
	}
	return nil
}

// pause stops running patient work; it waits for its target from then on.
func (p *Pool) pause(out []Action, e *entry, why string, now time.Time) []Action {
	t := e.target
	p.end(e)
	p.bind(e, t)
	p.ring.add(e.req.ID, Decision{At: now, Kind: Pause, Target: t.Name, Why: why})
	return append(out, Action{Kind: Pause, Request: e.req, Target: t.Name, Offset: e.offset, Why: why})
}

// resumeBound resumes paused and taken-over work where its target has room,
// before new patient work: it already holds cached prompt and answer.
func (p *Pool) resumeBound(out []Action, now time.Time) []Action {
	if p.bound == 0 || !p.patientMayRun(now) {
		return out
	}
	snap := p.snapshot.Load()
	for _, t := range p.slots {
		if t == nil || len(t.bound) == 0 || (t.ejected() && !p.inPanic) {
			continue
		}
		for len(t.bound) > 0 && !p.capped(request.Patient) && snap.HasCapacity(t.slot, t.bound[0].req) {
			out = p.resume(out, t.bound[0], now)
		}
	}
	return out
}

// patientMayRun reports whether no floor and no waiting request of a higher
// tier stops patient work.
func (p *Pool) patientMayRun(now time.Time) bool {
	floor, _ := p.queue.Floor(now)
	return floor == request.Patient && p.queue.Len(request.Urgent) == 0 && p.queue.Len(request.Interactive) == 0
}

func (p *Pool) resume(out []Action, e *entry, now time.Time) []Action {
	t := e.target
	p.unbind(e)
	e.uncached = e.req.PromptTokens + e.offset
	p.begin(e, t, now)
	p.ring.add(e.req.ID, Decision{At: now, Kind: Dispatch, Target: t.Name, Why: "resumed"})
	return append(out, Action{Kind: Dispatch, Request: e.req, Target: t.Name, Offset: e.offset, Resume: true})
}
