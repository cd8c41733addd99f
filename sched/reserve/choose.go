package reserve

import (
	"time"

	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/finish"
	"sardinefront.dev/sched/health"
)

const (
	// crossZonePenalty is added to the cost of targets in other availability zones.
	crossZonePenalty = 30 * time.Millisecond
	// typicalEventCount is the assumed number of events of a response. It converts the gap
	// between events into a response time.
	typicalEventCount = 25
	// defaultGap and defaultLatency are assumed for targets without a sample.
	defaultGap     = 8 * time.Millisecond
	defaultLatency = 25 * time.Millisecond
	// preferenceWeight and costJitter break ties between targets of about equal cost: by
	// the host's own preference, and at random.
	preferenceWeight = 0.2
	costJitter       = 0.05
	// warmUpCostFactor multiplies the cost of targets until their WarmUpUntil.
	warmUpCostFactor = 2
	// failureCostWeight multiplies the failure score. A target that failed recently costs
	// more than one that is four times slower.
	failureCostWeight = 10
	// serviceOvercommit multiplies the slots of a plain service. A short queue at the
	// service costs less than waiting on the host while other hosts are idle.
	serviceOvercommit = 1.5
	// maxSlowPrefillFraction is the fraction of its goal that a fresh request's prompt may
	// take to be read at a slow target. The rest is left for the prompts of other requests
	// there.
	maxSlowPrefillFraction = 0.25
)

// startTrials starts the trials of targets whose ejection has ended, and counts the open targets
// and those of them that are still ejected.
func (p *Pool) startTrials(now time.Time) {
	p.openCount, p.ejectedCount = 0, 0
	for _, t := range p.order {
		t.health.Advance(now)
		if t.drain.Closure(now) != drain.Open {
			continue
		}
		p.openCount++
		if t.health.State() == health.Ejected {
			p.ejectedCount++
		}
	}
}

// chooseTarget returns the cheapest target that may take a request of the lane, or nil.
// Of the lanes with fastOnly, slow targets serve only short requests: others would miss their
// goal there and wait for a fast target instead. Floors apply to fast targets only, so that
// unmeasured targets still get requests by which their speed is measured.
func (p *Pool) chooseTarget(w *Waiter, l Lane, now time.Time) *target {
	var best *target
	bestCost := 0.0
	panicMode := health.PanicMode(p.ejectedCount, p.openCount)
	blocked := p.blockedByFloor(l, now)
	ignoreExcluded := p.allExcluded(w, now)
	for _, t := range p.order {
		if !p.available(t, l, now, panicMode) || !w.allows(t) || !ignoreExcluded && w.excludes(t.Name) {
			continue
		}
		switch p.class(t) {
		case slow:
			if lanes[l].fastOnly && !p.meetsGoalAtSlow(w, t) {
				continue
			}
		case fast:
			if blocked {
				continue
			}
		}
		c := p.cost(t, l, now) * (1 + preferenceWeight*t.preference + costJitter*p.rnd.Float64())
		if best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	return best
}

// meetsGoalAtSlow reports whether a fresh request probably meets its goal at a slow target:
// its prompt must be short. Under overload, fast targets are taken by urgent requests with
// long prompts, and short requests would otherwise all be late.
func (p *Pool) meetsGoalAtSlow(w *Waiter, t *target) bool {
	slowdown := slowGapFactor * float64(t.gap) / float64(p.slowThreshold)
	return slowdown*float64(w.PrefillTime) < maxSlowPrefillFraction*float64(w.LatencyGoal)
}

// allExcluded reports whether the request has excluded every open target it could use. In that
// case its exclusions are ignored, because a second attempt at one of them is better than
// none. A request that is still running waits for another target instead, unless a reservation
// shows that the same one has capacity.
func (p *Pool) allExcluded(w *Waiter, now time.Time) bool {
	if len(w.excluded) == 0 || w.standby && !p.cfg.Reservations {
		return false
	}
	for _, t := range p.order {
		if t.drain.Closure(now) == drain.Open && w.allows(t) && !w.excludes(t.Name) {
			return false
		}
	}
	return true
}

// available reports whether a target probably has a free slot for a request of the lane.
// In panic mode, ejected targets count as available, but never closed ones. A target that its pace
// holds back is counted as such.
func (p *Pool) available(t *target, l Lane, now time.Time, panicMode bool) bool {
	if t.drain.Closure(now) != drain.Open || t.reopeningBusy || t.fullUntil.After(now) || !t.slotFreed && now.Before(p.pacer(t).allowedAt(l)) {
		return false
	}
	switch t.health.State() {
	case health.Ejected:
		if !panicMode {
			return false
		}
	case health.Trial:
		if t.inflight > 0 {
			return false
		}
	}
	capacity := float64(max(1, t.Slots))
	if !p.cfg.Reservations {
		capacity *= serviceOvercommit
	}
	return float64(t.inflight) < capacity && p.paceAllows(t, now)
}

// unmeasuredGap returns the gap assumed for a target without a sample. Once there is a slow
// threshold, lanes that need a fast target assume that the target is at that threshold, so
// that requests which can wait measure it first.
func (p *Pool) unmeasuredGap(l Lane) time.Duration {
	if lanes[l].fastOnly && p.slowThreshold > 0 {
		return p.slowThreshold
	}
	return defaultGap
}

// expectedGap returns the gap between events that a request of the lane expects at a target.
// If the target's measurement is stale, requests that can wait assume the default, so that
// they measure the target again, one at a time.
func (p *Pool) expectedGap(t *target, l Lane, now time.Time) time.Duration {
	if t.gapStale(now) && t.inflight == 0 && !lanes[l].fastOnly {
		return defaultGap
	}
	return orDefault(t.gap, p.unmeasuredGap(l))
}

// estimate estimates when a streamed request gets its events at a target.
func (p *Pool) estimate(w *Waiter, t *target, l Lane, now time.Time) finish.Estimate {
	t.snapshot.Gap, t.snapshot.FastGap = p.expectedGap(t, l, now), p.fastGap
	return finish.EstimateStream(&t.snapshot, w.work(), now)
}

// cost estimates the response time of a request at a target, in seconds, with penalties. It is 0 for an
// idle paced target, so that requests of lanes that can wait try it.
func (p *Pool) cost(t *target, l Lane, now time.Time) float64 {
	if !lanes[l].fastOnly && p.pacedIdle(t, now) {
		return 0
	}
	c := 0.0
	if p.cfg.Reservations {
		c = p.expectedGap(t, l, now).Seconds() * t.snapshot.Work.Factor(now) * typicalEventCount
	} else {
		c = finish.EstimateResponse(&t.snapshot, orDefault(t.latency, defaultLatency), t.utilization(), now).Seconds()
	}
	if now.Before(t.WarmUpUntil) {
		c *= warmUpCostFactor
	}
	c *= 1 + failureCostWeight*t.failureScore(now)
	if !t.Local {
		c += crossZonePenalty.Seconds()
	}
	return c
}
