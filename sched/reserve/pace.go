package reserve

import (
	"time"

	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/health"
	"sardinefront.dev/sched/pace"
)

// SetColdBound sets the bound for requests to cold targets.
func (p *Pool) SetColdBound(b pace.Bound) { p.coldBound = b }

// SetKnownHosts sets the number of hosts that may send to the targets, this one included, 0 while it
// is unknown. Unlike that of SetHostCount, it includes hosts that are cut off.
func (p *Pool) SetKnownHosts(n int) { p.knownHosts = n }

// observeWarmUp records until when the list says that the target warms up, and limits a target that
// has just started or become cold again.
func (t *target) observeWarmUp() {
	before := t.cold.WarmingUp(t.ListedAt)
	t.cold.Extend(t.WarmUpUntil)
	if !before && t.cold.WarmingUp(t.ListedAt) {
		t.window.Start()
	}
}

// listDelay is how long this host may not know yet that the list says that a target is cold.
const listDelay = 1500 * time.Millisecond

// RecordReturned records that a target may get requests again after it got none from any host. It may
// be cold without this host having read that.
func (p *Pool) RecordReturned(name string, now time.Time) {
	if t := p.targets[name]; t != nil {
		t.cold.Extend(now.Add(min(listDelay, p.coldBound.Duration)))
		t.window.Start()
	}
}

// RecordCold records that a target is cold until the given time.
func (p *Pool) RecordCold(name string, until time.Time) {
	if t := p.targets[name]; t != nil {
		t.cold.Extend(until)
	}
}

// paceAllows reports whether the pace of a target allows a grant now, and counts the target as held
// back if not. For a cold target it may draw the next opportunity.
func (p *Pool) paceAllows(t *target, now time.Time) bool {
	// Ejected targets get requests only in panic mode, when the cause is probably not at the target.
	inWindow := t.health.State() == health.Ejected || t.window.Allows(t.inflight)
	if inWindow && t.cold.Allows(p.coldBound, p.knownHosts, p.rnd, now) {
		return true
	}
	p.heldBack++
	return false
}

// recordPacedGrant records a grant of a target for its pace.
func (p *Pool) recordPacedGrant(t *target, now time.Time) {
	t.cold.Admit(p.coldBound, p.knownHosts, p.rnd, now)
	t.window.RecordGrant(now)
}

// recordPacedOutcome records the outcome of a request at a target for its pace. ejectionReason is not
// empty if the outcome has ejected the target.
func (p *Pool) recordPacedOutcome(t *target, o Outcome, ejectionReason string) {
	if o != OK && o != Abandoned {
		t.window.Shrink()
	}
	if ejectionReason != "" {
		t.window.Start()
	}
}

// paceAfterBackOff limits a target from the end of a back-off on. A target with reservations says by
// each of them whether it takes another request, so that one granted reservation opens it.
func (p *Pool) paceAfterBackOff(t *target) {
	if !p.cfg.Reservations {
		t.window.Start()
	}
}

// recordPacedFirstByte records the wait for the first byte of a response of a target.
func (p *Pool) recordPacedFirstByte(t *target, route string, wait time.Duration, now time.Time) {
	if t.window.Active() {
		t.window.RecordFirstByte(wait, p.waits.usual(t, route, now), t.Slots)
	}
}

// pacedIdle reports whether a paced target has been without a request for so long that it should get one
// to show how it responds.
func (p *Pool) pacedIdle(t *target, now time.Time) bool {
	return t.inflight == 0 && t.health.State() == health.Healthy && t.window.Idle(p.hostCount, now)
}

// minUsualWaits is the least number of waits of a route at other targets of which usual returns the mean.
const minUsualWaits = 3

// usual returns the mean wait for a first byte of a route at the other targets, 0 if unknown.
func (h *waitHistory) usual(t *target, route string, now time.Time) time.Duration {
	var sum time.Duration
	n := 0
	for _, w := range h.waits {
		if w.answered && w.route == route && w.target.Name != t.Name && now.Sub(w.endedAt) <= waitHistoryTTL {
			sum += w.length
			n++
		}
	}
	if n < minUsualWaits {
		return 0
	}
	return sum / time.Duration(n)
}

// isPaced reports whether a target is cold or its concurrency window limits it.
func (p *Pool) isPaced(t *target, now time.Time) bool {
	return t.window.Active() || t.cold.IsCold(p.coldBound, now)
}

// MaySend reports whether a granted request may go on at a target: the target must not be closed, and
// if it is cold, there must be an admission that has not been used up or expired.
func (p *Pool) MaySend(name string, now time.Time) bool {
	t := p.targets[name]
	return p.Closure(name, now) == drain.Open && (t == nil || t.cold.Admitted(p.coldBound, now))
}

// StartSend is MaySend for the moment of the send, and uses up the admission.
func (p *Pool) StartSend(name string, now time.Time) bool {
	if !p.MaySend(name, now) {
		p.heldBack++
		return false
	}
	t := p.targets[name]
	return t == nil || t.cold.Spend(p.coldBound, now)
}

// pacedTargets returns the number of targets that are paced.
func (p *Pool) pacedTargets(now time.Time) int {
	n := 0
	for _, t := range p.order {
		if p.isPaced(t, now) {
			n++
		}
	}
	return n
}

// PaceChange is the start or the end of the pace of a target.
type PaceChange struct {
	Target string
	Paced  bool
}

// PaceChanges returns the changes since the last call.
func (p *Pool) PaceChanges(now time.Time) (changes []PaceChange) {
	for _, t := range p.order {
		if paced := p.isPaced(t, now); paced != t.paced {
			t.paced = paced
			changes = append(changes, PaceChange{Target: t.Name, Paced: paced})
		}
	}
	return changes
}

// TakeHeldBack returns how often a target was held back by its pace since the last call.
func (p *Pool) TakeHeldBack() int {
	n := p.heldBack
	p.heldBack = 0
	return n
}
