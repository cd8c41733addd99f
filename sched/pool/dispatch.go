package pool

import (
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
	"sardinefront.dev/sched/pick"
)

// maxPausesPerDispatch bounds the patient requests that are paused to dispatch one request
// of a higher tier. If more were needed, the target's limit has shrunk, and the floor
// pauses further requests.
const maxPausesPerDispatch = 4

// lateMaxUtilization is the fraction of each limit that late requests of a tier may use.
// A request is late if it has missed its objective for the first token. The rest is
// reserved for requests that can still meet theirs. Late urgent requests get a large
// fraction: they compete with few others, and lower tiers wait until they have started.
var lateMaxUtilization = [request.TierCount]float64{0.8, 0.3, 1}

// dispatchReady dispatches all requests that can start now, by tier and then by fair
// queueing. It stops at the first request for which no target has capacity, so that no
// lower tier overtakes it.
func (p *Pool) dispatchReady(out []Action, now time.Time) []Action {
	resumed := false
	for {
		it, expired := p.queue.Next(now)
		out = p.refuseExpired(out, expired, now)
		if shed := p.shedLate(&out, now); shed {
			continue
		}
		if !resumed && (it == nil || it.Request.Tier == request.Patient) {
			out = p.resumeSuspended(out, now)
			resumed = true
		}
		if it == nil {
			return p.renewInteractiveFloor(out, now)
		}
		e := p.entries[it.Request.ID]
		choice, ok := p.chooseUnlessFull(e, now)
		if !ok && e.req.Tier != request.Patient {
			out, choice, ok = p.preempt(out, e, now)
		}
		if !ok {
			return p.renewInteractiveFloor(p.raiseFloorForBlocked(out, e.req.Tier, now), now)
		}
		out = p.dispatch(out, e, choice, now)
	}
}

// A host keeps minLateKept late interactive requests, or one per runningPerLateKept
// requests in progress if that is more. Under lasting overload, any more would wait
// without being served, keep patient requests stopped, and put their organisations at a
// disadvantage against the others.
const (
	minLateKept        = 4
	runningPerLateKept = 12
)

// shedLate refuses late interactive requests beyond the number that is kept. It reports
// whether it refused any.
func (p *Pool) shedLate(out *[]Action, now time.Time) bool {
	running := 0
	for _, n := range p.running {
		running += n
	}
	shed := false
	for {
		it := p.queue.ShedLate(request.Interactive, max(minLateKept, running/runningPerLateKept))
		if it == nil {
			return shed
		}
		shed = true
		wait := now.Sub(it.Request.Arrived).Round(time.Millisecond)
		ref := refusal.New(refusal.DeadlineExceeded, "overload: no target had capacity for a first token within %s, the rules require it within %s", wait, it.Request.FirstToken)
		*out = p.refuse(p.raiseFloor(*out, request.Interactive, now), p.entries[it.Request.ID], ref, now)
	}
}

// refuseExpired refuses requests that can no longer meet their deadline. It raises the
// floor first, so that lower tiers stop before a higher one is refused.
func (p *Pool) refuseExpired(out []Action, expired []flow.Expired, now time.Time) []Action {
	for _, x := range expired {
		tier := x.Item.Request.Tier
		if tier != request.Patient {
			out = p.raiseFloor(out, tier, now)
		}
		ref := x.Refusal
		if backedOff := p.backOffRefusal(x.Item.Request, now, now); backedOff != nil {
			ref = backedOff
		}
		out = p.refuse(out, p.entries[x.Item.Request.ID], ref, now)
	}
	return out
}

// chooseUnlessFull is chooseTarget, unless that has failed for this tier and no capacity
// can have been freed since. It keeps a burst into a full pool from scanning all targets
// for each request.
func (p *Pool) chooseUnlessFull(e *entry, now time.Time) (pick.Choice, bool) {
	fullAt := &p.fullAtChange[e.req.Tier][0]
	if e.item.Late(p.queue) {
		fullAt = &p.fullAtChange[e.req.Tier][1]
	}
	if *fullAt == p.capacityChanges {
		return pick.Choice{}, false
	}
	c, ok := p.chooseTarget(e, now)
	if !ok {
		*fullAt = p.capacityChanges
	}
	return c, ok
}

// chooseTarget picks a target among the versions that the request may use. A canary
// version with unused share is tried first, except for urgent requests, which use it only
// when no stable target has capacity.
func (p *Pool) chooseTarget(e *entry, now time.Time) (pick.Choice, bool) {
	if p.atHostLimit(e.req.Tier) {
		return pick.Choice{}, false
	}
	canary := p.versions.dueCanary(e.req.Tier)
	if canary >= 0 && e.req.Tier != request.Urgent {
		if c, ok := p.pickAmongVersions(e, p.versions.singleSet(canary), now); ok {
			return c, true
		}
	}
	c, ok := p.pickAmongVersions(e, p.versions.stable, now)
	if !ok && canary >= 0 && e.req.Tier == request.Urgent {
		c, ok = p.pickAmongVersions(e, p.versions.singleSet(canary), now)
	}
	if !ok && e.unreachable != nil {
		e.unreachable = nil
		return p.chooseTarget(e, now)
	}
	return c, ok
}

// pickAmongVersions picks a target of the given versions, by version index.
func (p *Pool) pickAmongVersions(e *entry, versions []bool, now time.Time) (pick.Choice, bool) {
	p.pickFilter.versions, p.pickFilter.unreachable = versions, e.unreachable
	maxUtilization := 1.0
	if e.item.Late(p.queue) {
		maxUtilization = lateMaxUtilization[e.req.Tier]
	}
	return p.snapshot.Load().PickWithin(e.req, maxUtilization, now, p.rnd, p.excludeFunc)
}

// isExcluded reports whether pickFilter excludes the target in a slot.
func (p *Pool) isExcluded(i int) bool {
	t := p.slots[i]
	return !p.pickFilter.versions[t.version] || t == p.pickFilter.unreachable
}

// dispatch dequeues a waiting request and starts its run at the chosen target.
func (p *Pool) dispatch(out []Action, e *entry, c pick.Choice, now time.Time) []Action {
	t := p.slots[c.Index]
	p.queue.Dequeue(&e.item)
	e.uncachedTokens = max(0, e.req.PromptTokens-int(c.CachedTokens))
	p.beginRun(e, t, now)
	p.versions.recordDispatch(t.version)
	p.retryBudget.earn(p.cfg.Limits.RetryBudget)
	p.recordPrefixes(e, t, now)
	p.decisions.addChoice(e.req.ID, t.Name, c, p.slots, now)
	out = append(out, Action{Kind: Dispatch, Request: e.req, Target: t.Name, Retry: e.retries > 0})
	return p.probeRandom(out)
}

// recordPrefixes records the request's prefixes at its target: the whole prompt and the
// lengths for which preferred targets are looked up.
func (p *Pool) recordPrefixes(e *entry, t *target, now time.Time) {
	n := len(e.req.Prefix)
	if p.history == nil || n == 0 {
		return
	}
	for d := 1; d < n; d *= 2 {
		p.history.RecordDispatch(e.req.Prefix[d-1], t.slot, now)
	}
	p.history.RecordDispatch(e.req.Prefix[n-1], t.slot, now)
}

// preempt pauses patient requests of this host, newest first, until a target has capacity
// for the request.
func (p *Pool) preempt(out []Action, e *entry, now time.Time) ([]Action, pick.Choice, bool) {
	for range maxPausesPerDispatch {
		victim := p.preemptionVictim(e)
		if victim == nil {
			break
		}
		out = p.pause(out, victim, "capacity for "+e.req.Tier.String(), now)
		if c, ok := p.chooseTarget(e, now); ok {
			return out, c, true
		}
	}
	return out, pick.Choice{}, false
}

// preemptionVictim returns the newest patient request whose pause frees enough capacity
// for e at a target that e may use, or nil.
func (p *Pool) preemptionVictim(e *entry) *entry {
	snap := p.snapshot.Load()
	for i := len(p.pausable) - 1; i >= 0; i-- {
		t := p.pausable[i].target
		if !t.removed && snap.HasCapacityAfterRelease(t.slot, e.req) && snap.Targets()[t.slot].Schedulable && p.versions.stable[t.version] && t != e.unreachable {
			return p.pausable[i]
		}
	}
	return nil
}

// pause ends the run of a patient request, which then waits to resume at its target.
func (p *Pool) pause(out []Action, e *entry, why string, now time.Time) []Action {
	t := e.target
	p.endRun(e)
	p.suspend(e, t)
	p.decisions.add(e.req.ID, Decision{At: now, Kind: Pause, Target: t.Name, Why: why})
	return append(out, Action{Kind: Pause, Request: e.req, Target: t.Name, Offset: e.offset, Why: why})
}

// resumeSuspended resumes paused and taken-over requests whose target has capacity. They
// go before new patient requests, because their prompt and response may still be cached.
func (p *Pool) resumeSuspended(out []Action, now time.Time) []Action {
	if p.suspendedCount == 0 || !p.patientAllowed(now) {
		return out
	}
	snap := p.snapshot.Load()
	for _, t := range p.slots {
		if t == nil || len(t.suspended) == 0 || (t.ejected() && !p.panicMode) || t.backedOff(now) {
			continue
		}
		for len(t.suspended) > 0 && !p.atHostLimit(request.Patient) && snap.HasCapacity(t.slot, t.suspended[0].req) {
			out = p.redispatch(out, t.suspended[0], now)
		}
	}
	return out
}

// patientAllowed reports whether neither a floor nor a waiting request of a higher tier
// keeps patient requests from starting.
func (p *Pool) patientAllowed(now time.Time) bool {
	floor, _ := p.queue.Floor(now)
	return floor == request.Patient && p.queue.Len(request.Urgent) == 0 && p.queue.Len(request.Interactive) == 0
}

// redispatch starts another run of a suspended request at its target.
func (p *Pool) redispatch(out []Action, e *entry, now time.Time) []Action {
	t := e.target
	p.removeSuspended(e)
	e.uncachedTokens = e.req.PromptTokens + e.offset
	p.beginRun(e, t, now)
	p.decisions.add(e.req.ID, Decision{At: now, Kind: Dispatch, Target: t.Name, Why: "resumed"})
	return append(out, Action{Kind: Dispatch, Request: e.req, Target: t.Name, Offset: e.offset, Resume: true})
}
