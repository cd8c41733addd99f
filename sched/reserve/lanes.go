package reserve

import (
	"slices"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/health"
)

// Lane is a group of waiting requests; a lower one is served first.
type Lane uint8

// lanes lists the lanes in the order of service. Fresh requests of a middle tier
// precede late ones of the highest, whose answers have lost most of their value.
var lanes = [...]struct {
	tier     request.Tier
	late     bool
	fastOnly bool
}{
	{request.Urgent, false, true},
	{request.Interactive, false, true},
	{request.Urgent, true, false},
	{request.Interactive, true, false},
	{request.Patient, false, false},
	{request.Patient, true, false},
}

// LaneCount is the number of lanes.
const LaneCount = Lane(len(lanes))

const (
	// starvedAfter and starvedRefusals are how long a request waits, and how many
	// reservations in a row are refused, before its host asks the others to start
	// nothing of a lower lane. A few tries that meet full engines are no overload.
	starvedAfter       = 15 * time.Millisecond
	starvedMinRefusals = 6
	// starvedPart and starvedLong apply where there are many targets: six refusals are
	// common there while other targets are free. A request starves once the refusals
	// in a row are that part of the fast targets, or it has waited for that long.
	starvedRefusalFraction = 0.5
	starvedMaxWait         = 100 * time.Millisecond
	// slowFactor marks a target as slow whose events come that much slower than
	// those of a fast one.
	slowGapFactor = 2.6
	// fastRank is the part of the targets, fastest first, whose slowest member stands
	// for a fast target.
	fastQuantile = 0.25
	// leastKnown is the number of targets with a sample from which speeds are told
	// apart.
	minMeasuredTargets = 3
)

// markSlow tells slow targets from fast ones.
func (p *Pool) classifyTargets(now time.Time) {
	p.slowThreshold = p.computeSlowThreshold()
	for _, t := range p.order {
		t.slow = p.slowThreshold > 0 && t.gap > p.slowThreshold && !t.gapStale(now)
	}
}

// slowGap returns the pause between events above which a target is slow, or 0 if
// too little is known.
func (p *Pool) computeSlowThreshold() time.Duration {
	if !p.cfg.Reservations {
		return 0
	}
	p.gapScratch = p.gapScratch[:0]
	for _, t := range p.order {
		if t.gap > 0 && !t.Draining {
			p.gapScratch = append(p.gapScratch, t.gap)
		}
	}
	if len(p.gapScratch) < minMeasuredTargets {
		return 0
	}
	slices.Sort(p.gapScratch)
	fastGap := p.gapScratch[int(fastQuantile*float64(len(p.gapScratch)-1))]
	return time.Duration(slowGapFactor * float64(fastGap))
}

// held reports whether another host has requests of a lower lane waiting.
func (p *Pool) blockedByFloor(l Lane, now time.Time) bool {
	for _, until := range p.floors[:l] {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// SetFloor starts nothing above a lane at fast targets until the given time: a host
// has requests of that lane waiting.
func (p *Pool) SetFloor(host string, l Lane, until time.Time) {
	if l >= LaneCount {
		return
	}
	p.starvingHosts[host] = floor{l, until}
	if until.After(p.floors[l]) {
		p.floors[l] = until
	}
}

// floor is the lowest lane in which a host has requests waiting for long.
type floor struct {
	lane  Lane
	until time.Time
}

// Offer returns the host to tell that a slot has come free at a target, empty if there is
// none or a request of this host has taken the slot: the one with the lowest lane waiting,
// any of those that are equal. At slow targets, lanes that need a fast one come last.
func (p *Pool) SelectSlotRecipient(target string, now time.Time) (host string) {
	t := p.targets[target]
	if t == nil || !p.cfg.Reservations || !t.slotFreed || t.Draining || t.health.State() == health.Ejected {
		return ""
	}
	best, equal := 2*LaneCount, 0
	for name, f := range p.starvingHosts {
		if !now.Before(f.until) {
			delete(p.starvingHosts, name)
			continue
		}
		l := f.lane
		if t.slow && lanes[l].fastOnly {
			l += LaneCount
		}
		switch {
		case l < best:
			host, best, equal = name, l, 1
		case l == best:
			equal++
			if p.rnd.IntN(equal) == 0 {
				host = name
			}
		}
	}
	return host
}

// Freed records that a slot has come free at a target, as another host says.
func (p *Pool) SlotFreed(target string) {
	if t := p.targets[target]; t != nil {
		t.slotFreed = true
		t.fullUntil = time.Time{}
	}
}

// Starved returns the lowest lane in which a request has waited for long,
// LaneCount if there is none.
func (p *Pool) StarvedLane(now time.Time) Lane {
	best := LaneCount
	if p.cfg.Reservations && p.pacers[fast].consecutiveRefusals < starvedMinRefusals {
		return best
	}
	after := starvedAfter
	if p.cfg.Reservations && float64(p.pacers[fast].consecutiveRefusals) < starvedRefusalFraction*float64(p.fastTargets()) {
		after = starvedMaxWait
	}
	for _, w := range p.waiters {
		if now.Sub(w.queuedAt) < after {
			continue
		}
		best = min(best, laneOf(w, now))
	}
	return best
}

// fastTargets returns the number of targets that are not known to be slow.
func (p *Pool) fastTargets() int {
	n := 0
	for _, t := range p.order {
		if !t.slow && !t.Draining {
			n++
		}
	}
	return n
}

// laneOf returns the lane of a waiting request.
func laneOf(w *Waiter, now time.Time) Lane {
	late := !w.FreshUntil.IsZero() && !now.Before(w.FreshUntil)
	for l := range lanes {
		if lanes[l].tier == w.Request.Tier && lanes[l].late == late {
			return Lane(l)
		}
	}
	return LaneCount - 1
}

// Observe records the pause between events that a target shows while it answers, and
// reports whether nothing was known of it.
func (p *Pool) RecordSpeed(name string, gap time.Duration, now time.Time) (first bool) {
	t := p.targets[name]
	if t == nil {
		return false
	}
	first = t.gap == 0
	t.recordGap(gap, now)
	return first
}

// Seed records what another host has measured lately of a target.
func (p *Pool) RecordPeerSpeed(name string, gap time.Duration, now time.Time) {
	t := p.targets[name]
	if t == nil || gap <= 0 || now.Sub(t.localMeasuredAt) < ownSpeedPrecedence {
		return
	}
	t.gap, t.gapUpdatedAt, t.localMeasuredAt = gap, now, time.Time{}
}

// Restore records what was known of a target at a time that is past, if nothing is known
// now.
func (p *Pool) RestoreSpeed(name string, gap time.Duration, now time.Time) {
	if t := p.targets[name]; t != nil && t.gap == 0 && gap > 0 {
		t.gap, t.gapUpdatedAt = gap, now
	}
}

// Speed is the pause between the events of one target.
type Speed struct {
	Target string
	Gap    time.Duration
	// At is when this host has measured it or heard of it last.
	UpdatedAt time.Time
	// MeasuredAt is when this host has last seen it itself, zero if it was told.
	LocalMeasuredAt time.Time
}

// Speeds returns what is known of the targets' speeds.
func (p *Pool) Speeds() []Speed {
	var out []Speed
	for _, t := range p.order {
		if t.gap > 0 {
			out = append(out, Speed{t.Name, t.gap, t.gapUpdatedAt, t.localMeasuredAt})
		}
	}
	return out
}
