package reserve

import (
	"time"

	"sardinefront.dev/sched/health"
)

const (
	// remotePenalty is added to the cost of targets in other zones.
	crossZonePenalty = 30 * time.Millisecond
	// typicalEvents weighs the pause between events against fixed costs.
	typicalEventCount = 25
	// firstGap and firstLatency stand in for targets without a sample.
	defaultGap     = 8 * time.Millisecond
	defaultLatency = 25 * time.Millisecond
	// preferenceSpread and costNoise order targets of about equal cost: by the host's
	// own preference, and by chance.
	preferenceWeight = 0.2
	costJitter       = 0.05
	// coldFactor multiplies the cost of targets that have just started.
	coldCostFactor = 2
	// doubtWeight makes a target that failed lately cost more than one that is four
	// times slower.
	failureCostWeight = 10
	// serviceOvercommit lets a plain service queue a little work, which costs less
	// than a wait on the host when other hosts are idle.
	serviceOvercommit = 1.5
)

// advance starts the trials of targets whose ejection has ended.
func (p *Pool) startTrials(now time.Time) {
	p.ejectedCount = 0
	for _, t := range p.order {
		t.health.Advance(now)
		if t.health.State() == health.Ejected {
			p.ejectedCount++
		}
	}
}

// choose returns the cheapest target that may take a request of the lane, or nil.
// Slow targets serve only lanes that cannot be in time there anyway: a fresh request
// does better to wait for a fast one. Floors hold fast targets only: somebody has to find
// out about new ones.
func (p *Pool) chooseTarget(w *Waiter, l Lane, now time.Time) *target {
	var best *target
	bestCost := 0.0
	panicMode := health.PanicMode(p.ejectedCount, len(p.order))
	blocked := p.blockedByFloor(l, now)
	ignoreExcluded := p.allExcluded(w)
	for _, t := range p.order {
		if !p.available(t, l, now, panicMode) || !w.allowsVersion(t.Version) || !ignoreExcluded && w.excludes(t.Name) {
			continue
		}
		if c := p.class(t); c == slow && lanes[l].fastOnly || c == fast && blocked {
			continue
		}
		c := p.cost(t, l, now) * (1 + preferenceWeight*t.preference + costJitter*p.rnd.Float64())
		if best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	return best
}

// triedAll reports whether the request is kept from every target that there is; then
// one of them is better than none.
func (p *Pool) allExcluded(w *Waiter) bool {
	if len(w.excluded) == 0 {
		return false
	}
	for _, t := range p.order {
		if !t.Draining && w.allowsVersion(t.Version) && !w.excludes(t.Name) {
			return false
		}
	}
	return true
}

// open reports whether a target is believed to have room.
func (p *Pool) available(t *target, l Lane, now time.Time, panicMode bool) bool {
	if t.Draining || t.fullUntil.After(now) || !t.slotFreed && now.Before(p.pacer(t).allowedAt(l)) {
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
	return float64(t.inflight) < capacity
}

// unknownGap stands in for the pause of a target without a sample. Requests that need
// a fast target take it for a slow one of the known, once some are known to be fast:
// those that can wait find out.
func (p *Pool) unmeasuredGap(l Lane) time.Duration {
	if lanes[l].fastOnly && p.slowThreshold > 0 {
		return p.slowThreshold
	}
	return defaultGap
}

// expectedGap returns the pause between events that a request of the lane expects. Those
// that can wait find out about a target that nobody has measured for long, one at a time.
func (p *Pool) expectedGap(t *target, l Lane, now time.Time) time.Duration {
	if t.gapStale(now) && t.inflight == 0 && !lanes[l].fastOnly {
		return defaultGap
	}
	return orDefault(t.gap, p.unmeasuredGap(l))
}

// cost estimates the time of a request at a target, in seconds.
func (p *Pool) cost(t *target, l Lane, now time.Time) float64 {
	c := 0.0
	if p.cfg.Reservations {
		c = p.expectedGap(t, l, now).Seconds() * typicalEventCount
	} else {
		c = orDefault(t.latency, defaultLatency).Seconds() * (1 + max(t.utilization(), t.reportedLoad(now)))
	}
	if now.Before(t.ColdUntil) {
		c *= coldCostFactor
	}
	c *= 1 + failureCostWeight*t.failureScore(now)
	if !t.Local {
		c += crossZonePenalty.Seconds()
	}
	return c
}
