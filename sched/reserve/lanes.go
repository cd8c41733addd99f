package reserve

import (
	"slices"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
	"sardinefront.dev/sched/health"
)

// Lane is a priority level of waiting requests: a tier, split into fresh and late requests.
// Lanes with lower numbers are more urgent and are served first.
type Lane uint8

// lanes lists the lanes in the order of service. Fresh interactive requests precede late
// urgent ones, whose responses have lost most of their value, and fresh patient requests precede
// late interactive ones, which would otherwise keep all others late after a burst. Lanes with
// fastOnly use slow targets only for short requests.
var lanes = [...]struct {
	tier     request.Tier
	late     bool
	fastOnly bool
}{
	{request.Urgent, false, true},
	{request.Interactive, false, true},
	{request.Urgent, true, false},
	{request.Patient, false, false},
	{request.Interactive, true, false},
	{request.Patient, true, false},
}

// LaneCount is the number of lanes.
const LaneCount = Lane(len(lanes))

const (
	// starvedAfter and starvedMinRefusals are how long a request must wait, and how many
	// reservations in a row must be refused, before its host announces a floor to the other
	// hosts, which then dispatch no request of a less urgent lane. A few attempts that meet
	// full engines are no overload.
	starvedAfter       = 15 * time.Millisecond
	starvedMinRefusals = 6
	// starvedRefusalFraction and starvedMaxWait apply where there are many targets: six
	// refusals are common there while other targets are free. A request is starved once
	// the refusals in a row reach this fraction of the number of fast targets, or it has
	// waited for starvedMaxWait.
	starvedRefusalFraction = 0.5
	starvedMaxWait         = 100 * time.Millisecond
	// slowGapFactor is the multiple of a fast target's gap above which a target is slow.
	slowGapFactor = 2.6
	// fastQuantile is the quantile of the measured gaps that counts as a fast target's gap.
	fastQuantile = 0.25
	// minMeasuredTargets is the number of measured targets needed to classify any as slow.
	minMeasuredTargets = 3
)

// classifyTargets updates the slow threshold and marks the targets above it as slow.
func (p *Pool) classifyTargets(now time.Time) {
	p.fastGap = p.computeFastGap()
	p.slowThreshold = time.Duration(slowGapFactor * float64(p.fastGap))
	for _, t := range p.order {
		t.slow = p.slowThreshold > 0 && t.gap > p.slowThreshold && !t.gapStale(now)
	}
}

// computeFastGap returns the gap between events at a fast target, or 0 if too few targets are
// measured.
func (p *Pool) computeFastGap() time.Duration {
	if !p.cfg.Reservations {
		return 0
	}
	p.gapScratch = p.gapScratch[:0]
	for _, t := range p.order {
		if _, _, leaving := t.drain.LeavingReport(); t.gap > 0 && !leaving && !p.Evacuated(t.Zone) {
			p.gapScratch = append(p.gapScratch, t.gap)
		}
	}
	if len(p.gapScratch) < minMeasuredTargets {
		return 0
	}
	slices.Sort(p.gapScratch)
	return p.gapScratch[int(fastQuantile*float64(len(p.gapScratch)-1))]
}

// blockedByFloor reports whether the floor of a more urgent lane than l is active: another host
// has starved requests of that lane.
func (p *Pool) blockedByFloor(l Lane, now time.Time) bool {
	for _, until := range p.floors[:l] {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// SetFloor records that requests of lane l are starved on another host. Until the given time, no
// request of a less urgent lane is dispatched to a fast target.
func (p *Pool) SetFloor(host string, l Lane, until time.Time) {
	if l >= LaneCount {
		return
	}
	p.starvingHosts[host] = floor{l, until}
	if until.After(p.floors[l]) {
		p.floors[l] = until
	}
}

// floor is the most urgent lane in which a host has starved requests, and when it expires.
type floor struct {
	lane  Lane
	until time.Time
}

// SelectSlotRecipient returns the host to notify of a slot that has become free at a target:
// the one whose starved requests are of the most urgent lane, at random among equals. At slow
// targets, lanes that need a fast target come last. The result is empty if no host has
// starved requests or a request of this host has taken the slot.
func (p *Pool) SelectSlotRecipient(target string, now time.Time) (host string) {
	t := p.targets[target]
	if t == nil || !p.cfg.Reservations || !t.slotFreed || t.health.State() == health.Ejected {
		return ""
	}
	if c := t.drain.Closure(now); c == drain.Leaving || c == drain.Evacuated {
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

// SlotFreed records a notification of another host that a slot has become free at a target.
// The target is tried again without backoff.
func (p *Pool) SlotFreed(target string) {
	if t := p.targets[target]; t != nil {
		t.slotFreed = true
		t.fullUntil = time.Time{}
	}
}

// StarvedLane returns the most urgent lane in which a request is starved, or LaneCount if there
// is none.
func (p *Pool) StarvedLane(now time.Time) Lane {
	best := LaneCount
	if p.openTargets(now) == 0 || p.cfg.Reservations && p.pacers[fast].consecutiveRefusals < starvedMinRefusals {
		return best
	}
	after := starvedAfter
	if p.cfg.Reservations && float64(p.pacers[fast].consecutiveRefusals) < starvedRefusalFraction*float64(p.fastTargets(now)) {
		after = starvedMaxWait
	}
	for _, w := range p.waiters {
		if w.standby || now.Sub(w.queuedAt) < after {
			continue
		}
		best = min(best, laneOf(w, now))
	}
	return best
}

// fastTargets returns the number of open targets that are not slow.
func (p *Pool) fastTargets(now time.Time) int {
	n := 0
	for _, t := range p.order {
		if !t.slow && t.drain.Closure(now) == drain.Open {
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

// RecordSpeed records a gap between events that this host has measured during a response,
// and reports whether it is the target's first measurement.
func (p *Pool) RecordSpeed(name string, gap time.Duration, now time.Time) (first bool) {
	t := p.targets[name]
	if t == nil {
		return false
	}
	first = t.gap == 0
	t.recordGap(gap, now)
	return first
}

// RecordPeerSpeed records a gap between events that another host has measured recently. It
// is ignored for ownSpeedPrecedence after this host's own measurement.
func (p *Pool) RecordPeerSpeed(name string, gap time.Duration, now time.Time) {
	t := p.targets[name]
	if t == nil || gap <= 0 || now.Sub(t.localMeasuredAt) < ownSpeedPrecedence {
		return
	}
	t.gap, t.gapUpdatedAt, t.localMeasuredAt = gap, now, time.Time{}
}

// RestoreSpeed records a saved gap between events, unless the target has a measurement.
func (p *Pool) RestoreSpeed(name string, gap time.Duration, now time.Time) {
	if t := p.targets[name]; t != nil && t.gap == 0 && gap > 0 {
		t.gap, t.gapUpdatedAt = gap, now
	}
}

// Speed is the measured gap between the events of one target's responses.
type Speed struct {
	Target string
	Gap    time.Duration
	// UpdatedAt is when this host last measured the gap or received a peer's measurement.
	UpdatedAt time.Time
	// LocalMeasuredAt is when this host last measured the gap itself. It is zero if a peer's
	// measurement has replaced it.
	LocalMeasuredAt time.Time
}

// Speeds returns the speeds of all measured targets.
func (p *Pool) Speeds() []Speed {
	return p.speeds(func(t *target) bool { return t.gap > 0 })
}

// MeasuredSpeeds returns the speeds that this host has measured itself since the given time.
// Unlike Speeds, it is cheap enough for each heartbeat where there are thousands of targets.
func (p *Pool) MeasuredSpeeds(since time.Time) []Speed {
	return p.speeds(func(t *target) bool { return t.gap > 0 && t.localMeasuredAt.After(since) })
}

func (p *Pool) speeds(include func(*target) bool) []Speed {
	var out []Speed
	for _, t := range p.order {
		if include(t) {
			out = append(out, Speed{t.Name, t.gap, t.gapUpdatedAt, t.localMeasuredAt})
		}
	}
	return out
}
