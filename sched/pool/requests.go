package pool

import (
	"time"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/flow"
)

// Submit queues a request and returns the actions that can be performed at once. A
// request that cannot be queued is refused as not run. Once queued, patient requests are
// never refused for lack of capacity.
func (p *Pool) Submit(r *request.Request, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[r.ID] != nil {
		ref := refusal.New(refusal.InProgress, "request %s is in progress", r.ID)
		return []Action{{Kind: Refuse, Request: r, Refusal: ref}}
	}
	e := &entry{req: r}
	e.item = flow.Item{Request: r, Cost: float64(r.EstimatedTokens()), LatestStart: p.latestStart(r), FreshUntil: p.freshUntil(r)}
	if !e.item.LatestStart.IsZero() && e.item.LatestStart.Before(now) {
		ref := refusal.New(refusal.DeadlineExceeded, "the deadline is too short for the estimated run time")
		return p.refuseSubmitted(e, ref, now)
	}
	if ref := p.backOffRefusal(r, e.item.LatestStart, now); ref != nil {
		return p.refuseSubmitted(e, ref, now)
	}
	if ref := p.queue.Push(&e.item, now); ref != nil {
		return p.refuseSubmitted(e, ref, now)
	}
	p.entries[r.ID] = e
	return p.dispatchReady(nil, now)
}

// refuseSubmitted refuses a request that is not queued. It raises the floor first, so that
// lower tiers stop before a higher one is refused.
func (p *Pool) refuseSubmitted(e *entry, ref *refusal.Refusal, now time.Time) []Action {
	var out []Action
	if e.req.Tier != request.Patient {
		out = p.raiseFloor(out, e.req.Tier, now)
	}
	return p.refuse(out, e, ref, now)
}

// latestStart returns when the request must start to meet its deadline, zero if it has
// none. For patient requests it returns the deadline itself, so that none is refused
// because of an estimate.
func (p *Pool) latestStart(r *request.Request) time.Time {
	if r.Deadline.IsZero() || r.Tier == request.Patient {
		return r.Deadline
	}
	return r.Deadline.Add(-p.runTimes.estimate(r))
}

// freshUntil returns when the request must start to meet its objective for the first
// token, zero if it has none.
func (p *Pool) freshUntil(r *request.Request) time.Time {
	if p.cfg.Kind != Engine || r.Tier == request.Patient || r.FirstToken == 0 {
		return time.Time{}
	}
	limit := r.FirstToken
	run := time.Duration(p.runTimes.meanHighTierFirstToken * float64(time.Second))
	return r.Arrived.Add(max(limit/4, limit-run))
}

// refuse removes a request from the pool and records the refusal.
func (p *Pool) refuse(out []Action, e *entry, ref *refusal.Refusal, now time.Time) []Action {
	delete(p.entries, e.req.ID)
	p.decisions.add(e.req.ID, Decision{At: now, Kind: Refuse, Why: ref.Error()})
	return append(out, Action{Kind: Refuse, Request: e.req, Refusal: ref})
}

// Resume takes over a patient request that another host had dispatched to the target with
// the given name. offset is the number of tokens of its response received so far. The
// request resumes at that target only, under the same rules as a paused one, and counts as
// the same dispatch.
func (p *Pool) Resume(r *request.Request, offset int, name string, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[r.ID] != nil {
		ref := refusal.New(refusal.InProgress, "request %s is in progress", r.ID)
		return []Action{{Kind: Refuse, Request: r, Refusal: ref}}
	}
	e := &entry{req: r, offset: offset}
	t := p.byName[name]
	if t == nil {
		return p.refuse(nil, e, refusal.New(refusal.OutcomeUnknown, "target %s is not listed", name), now)
	}
	p.entries[r.ID] = e
	p.suspend(e, t)
	return p.dispatchReady(nil, now)
}

// suspend makes a request wait to resume at its target.
func (p *Pool) suspend(e *entry, t *target) {
	e.phase, e.target, e.pinned = suspended, t, true
	t.suspended = append(t.suspended, e)
	p.suspendedCount++
}

func (p *Pool) removeSuspended(e *entry) {
	t := e.target
	for i, other := range t.suspended {
		if other == e {
			t.suspended = append(t.suspended[:i], t.suspended[i+1:]...)
			p.suspendedCount--
			return
		}
	}
}

// Cancel removes a request whose caller has disconnected.
func (p *Pool) Cancel(id string, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil {
		return nil
	}
	delete(p.entries, id)
	switch e.phase {
	case waiting:
		p.queue.Remove(id)
		return nil
	case suspended:
		p.removeSuspended(e)
	case running:
		p.endRun(e)
	}
	p.decisions.add(id, Decision{At: now, Kind: Cancel, Target: e.target.Name, Why: "caller disconnected"})
	return p.dispatchReady([]Action{{Kind: Cancel, Request: e.req, Target: e.target.Name}}, now)
}

// Done records how a dispatched request ended and dispatches the requests that can start
// now. For a paused request only OK has an effect: the response was complete before the
// pause reached the target.
func (p *Pool) Done(id string, res Result, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil || e.phase == waiting {
		return nil
	}
	if e.phase == suspended {
		if res == OK {
			p.removeSuspended(e)
			delete(p.entries, id)
		}
		return nil
	}
	t := e.target
	p.endRun(e)
	var out []Action
	excused := res == DeadlineReached && t.progressAt.After(e.runStartedAt)
	if obs, ok := res.observation(); ok && !excused {
		out = p.recordObservation(out, t, obs, now)
	}
	if res == Declined {
		return p.dispatchReady(p.requeue(out, e, now), now)
	}
	if res == NotSent {
		return p.dispatchReady(p.retryOrRefuse(out, e, now), now)
	}
	if res == OK {
		p.runTimes.recordLength(e, now)
	}
	delete(p.entries, id)
	return p.dispatchReady(out, now)
}

// retryOrRefuse queues a request again that did not reach its target, or refuses it if
// the retry budget is exhausted. A pinned request waits for its own target again.
func (p *Pool) retryOrRefuse(out []Action, e *entry, now time.Time) []Action {
	// Patient requests are retried without budget, because they tolerate waiting.
	if !e.pinned && e.req.Tier != request.Patient && !p.retryBudget.spend() {
		return p.refuse(out, e, refusal.New(refusal.TargetUnreachable, "target %s was not reached or did not run the request, and the retry budget is exhausted", e.target.Name), now)
	}
	return p.requeue(out, e, now)
}

// requeue queues a request again that did not run at its target. A pinned request waits for
// its own target again.
func (p *Pool) requeue(out []Action, e *entry, now time.Time) []Action {
	t := e.target
	if e.pinned {
		if t.removed {
			return p.refuse(out, e, refusal.New(refusal.OutcomeUnknown, "target %s is no longer listed", t.Name), now)
		}
		p.suspend(e, t)
		return out
	}
	e.phase, e.target, e.unreachable = waiting, nil, t
	e.retries++
	p.queue.PushFront(&e.item)
	return out
}
