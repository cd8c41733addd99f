package reserve

import (
	"time"

	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/pace"
)

// SetColdBound sets the bound for requests to cold targets.
func (p *Pool) SetColdBound(b pace.Bound) { p.coldBound = b }

// SetKnownHosts sets the number of hosts that may send to the targets, this one included, 0 while it
// is unknown. Unlike that of SetHostCount, it includes hosts that are cut off.
func (p *Pool) SetKnownHosts(n int) { p.knownHosts = n }

// RecordCold records that a target is cold until the given time.
func (p *Pool) RecordCold(name string, until time.Time) {
	if t := p.targets[name]; t != nil {
		t.cold.Extend(until)
	}
}

// paceAllows reports whether the pace of a target allows a grant now.
func (p *Pool) paceAllows(t *target, now time.Time) bool {
	if t.cold.Allows(p.coldBound, p.knownHosts, p.rnd, now) {
		return true
	}
	p.heldBack++
	return false
}

// startPaced records a grant of a target.
func (p *Pool) startPaced(t *target, now time.Time) {
	t.cold.Admit(p.coldBound, p.knownHosts, p.rnd, now)
}

// MaySend reports whether a granted request may go on at a target: it must not be closed, and if it
// is cold, a request must have been admitted since.
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

// pacedTargets returns the number of targets that are cold.
func (p *Pool) pacedTargets(now time.Time) int {
	n := 0
	for _, t := range p.order {
		if t.cold.IsCold(p.coldBound, now) {
			n++
		}
	}
	return n
}

// PaceChange is the begin or the end of the pace of a target.
type PaceChange struct {
	Target string
	Paced  bool
}

// PaceChanges returns the changes since the last call.
func (p *Pool) PaceChanges(now time.Time) (changes []PaceChange) {
	for _, t := range p.order {
		if paced := t.cold.IsCold(p.coldBound, now); paced != t.paced {
			t.paced = paced
			changes = append(changes, PaceChange{t.Name, paced})
		}
	}
	return changes
}

// TakeHeldBack returns how often a target was passed over because of its pace since the last call.
func (p *Pool) TakeHeldBack() int {
	n := p.heldBack
	p.heldBack = 0
	return n
}
