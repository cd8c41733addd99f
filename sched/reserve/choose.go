package reserve

import (
	"time"

	"sardinefront.dev/sched/health"
)

const (
	// remotePenalty is added to the cost of targets in other zones.
	remotePenalty = 30 * time.Millisecond
	// typicalEvents weighs the pause between events against fixed costs.
	typicalEvents = 25
	// firstGap and firstLatency stand in for targets without a sample.
	firstGap     = 8 * time.Millisecond
	firstLatency = 25 * time.Millisecond
	// preferenceSpread and costNoise order targets of about equal cost: by the host's
	// own preference, and by chance.
	preferenceSpread = 0.2
	costNoise        = 0.05
	// coldFactor multiplies the cost of targets that have just started.
	coldFactor = 2
	// doubtWeight makes a target that failed lately cost more than one that is four
	// times slower.
	doubtWeight = 10
	// serviceOvercommit lets a plain service queue a little work, which costs less
	// than a wait on the host when other hosts are idle.
	serviceOvercommit = 1.5
)

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
// does better to wait for a fast one. Floors hold fast targets only: somebody has to find
// out about new ones.
func (p *Pool) choose(w *Waiter, l Lane, now time.Time) *target {
	var best *target
	bestCost := 0.0
	distrust := health.PanicMode(p.ejected, len(p.order))
	held := p.held(l, now)
	tried := p.triedAll(w)
	for _, t := range p.order {
		if !p.open(t, l, now, distrust) || !w.allows(t.Version) || !tried && w.excludes(t.Name) {
			continue
		}
		if c := p.class(t); c == slow && lanes[l].fastOnly || c == fast && held {
			continue
		}
		c := p.cost(t, l, now) * (1 + preferenceSpread*t.preference + costNoise*p.rnd.Float64())
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
		if !t.Draining && w.allows(t.Version) && !w.excludes(t.Name) {
			return false
		}
	}
	return true
}

// open reports whether a target is believed to have room.
func (p *Pool) open(t *target, l Lane, now time.Time, distrust bool) bool {
	if t.Draining || t.fullUntil.After(now) || !t.freed && now.Before(p.spacing(t).from(l)) {
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

// unknownGap stands in for the pause of a target without a sample. Requests that need
// a fast target take it for a slow one of the known, once some are known to be fast:
// those that can wait find out.
func (p *Pool) unknownGap(l Lane) time.Duration {
	if lanes[l].fastOnly && p.slowFrom > 0 {
		return p.slowFrom
	}
	return firstGap
}

// expectedGap returns the pause between events that a request of the lane expects. Those
// that can wait find out about a target that nobody has measured for long, one at a time.
func (p *Pool) expectedGap(t *target, l Lane, now time.Time) time.Duration {
	if t.stale(now) && t.inflight == 0 && !lanes[l].fastOnly {
		return firstGap
	}
	return orDefault(t.gap, p.unknownGap(l))
}

// cost estimates the time of a request at a target, in seconds.
func (p *Pool) cost(t *target, l Lane, now time.Time) float64 {
	c := 0.0
	if p.cfg.Reservations {
		c = p.expectedGap(t, l, now).Seconds() * typicalEvents
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
