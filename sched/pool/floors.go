package pool

import (
	"fmt"
	"time"

	"sardinefront.dev/core/request"
	"sardinefront.dev/sched/drain"
)

const (
	// initialFloorTTL is the duration of a new floor. Each renewal doubles it up to
	// Limits.FloorTTL, so a short shortage stops lower tiers only briefly and a long one
	// costs few messages.
	initialFloorTTL = 200 * time.Millisecond
	// floorTTLPerHost lengthens new floors in large zones, because each floor costs a
	// message to every host.
	floorTTLPerHost = 30 * time.Millisecond
	// minRenewalLead is two ticks, so that a short floor is renewed before it ends.
	minRenewalLead = 2 * tickInterval
	// floorPauseDelay is how long floors must have been active without a gap before
	// running patient requests are paused for a floor below urgent: a resumed request
	// computes its prompt and response again, and most shortages end sooner. The host
	// that has the shortage pauses its own requests at once.
	floorPauseDelay = 2 * time.Second
	// floorPauseInterval is the minimum time between two such pauses on one host.
	floorPauseInterval = 500 * time.Millisecond
)

// floorState is this host's state for raising floors and pausing requests.
type floorState struct {
	// ttl is the duration of each tier's newest floor.
	ttl [request.TierCount]time.Duration
	// zoneUntil is the end of the floors that were sent to all hosts of the zone. A floor
	// received only in a digest may be unknown to other hosts.
	zoneUntil [request.TierCount]time.Time
	// raisedCount counts the floors that this host has raised or renewed.
	raisedCount  int
	lastPausedAt time.Time
	activeSince  time.Time // start of the floors that have been active without a gap
	// tierSince is when each tier's newest floor was raised; renewals do not change it.
	tierSince [request.TierCount]time.Time
}

// raiseFloorForBlocked raises the floor because no target has capacity for the first
// request of a tier. It does so at once: if the request had to be refused in the end,
// lower-tier requests started in the meantime would have been served before it.
func (p *Pool) raiseFloorForBlocked(out []Action, tier request.Tier, now time.Time) []Action {
	if tier == request.Patient {
		return out
	}
	return p.raiseFloor(out, tier, now)
}

// renewInteractiveFloor renews the floor while interactive requests wait, even behind an
// urgent floor. Otherwise patient requests would start between the end of the urgent
// floor and the next scheduling pass.
func (p *Pool) renewInteractiveFloor(out []Action, now time.Time) []Action {
	if p.queue.Len(request.Interactive) == 0 {
		return out
	}
	return p.raiseFloor(out, request.Interactive, now)
}

// raiseFloor raises or renews the floor of a tier, unless the floors that stop the same
// lower tiers already last long enough.
func (p *Pool) raiseFloor(out []Action, tier request.Tier, now time.Time) []Action {
	remaining := p.floorRemaining(tier, now)
	ttl := &p.floors.ttl[tier]
	initial := max(initialFloorTTL, time.Duration(p.cfg.HostCount)*floorTTLPerHost)
	if initial = min(initial, p.cfg.Limits.FloorTTL); remaining <= 0 || *ttl < initial {
		*ttl = initial
	}
	if remaining > p.renewalLead(*ttl) {
		return out
	}
	p.floors.raisedCount++
	if remaining > 0 {
		*ttl = min(2**ttl, p.cfg.Limits.FloorTTL)
	}
	until := now.Add(*ttl)
	p.setFloor(tier, until, now)
	p.floors.zoneUntil[tier] = until
	why := fmt.Sprintf("%d %s requests are waiting and no target has capacity", p.queue.Len(tier), tier)
	p.decisions.add("", Decision{At: now, Kind: RaiseFloor, Why: why})
	return append(out, Action{Kind: RaiseFloor, Tier: tier, Until: until, Why: why})
}

// renewalLead returns the remaining time of a floor at which this host renews it. It
// differs between the hosts of a zone and with each renewal: hosts that renewed at the
// same moment would each send a message to every other host.
func (p *Pool) renewalLead(ttl time.Duration) time.Duration {
	turn := (p.cfg.HostIndex + p.floors.raisedCount) % p.cfg.HostCount
	spread := ttl / 4 * time.Duration(turn) / time.Duration(p.cfg.HostCount)
	return max(ttl/4+spread, minRenewalLead)
}

// floorRemaining returns how long the tiers below tier remain stopped on all hosts of
// the zone.
func (p *Pool) floorRemaining(tier request.Tier, now time.Time) time.Duration {
	remaining := time.Duration(0)
	for t := request.Urgent; t <= tier; t++ {
		remaining = max(remaining, p.floors.zoneUntil[t].Sub(now))
	}
	return remaining
}

// ApplyPeerFloor applies a tier floor that the host named from has raised: before until
// no request of a tier below t is started, and running patient requests are paused. A
// floor is truncated to Limits.FloorTTL, so that a wrong clock cannot stop requests for
// long.
func (p *Pool) ApplyPeerFloor(t request.Tier, until time.Time, from string, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyFloor(t, until, from, now)
	if end := p.queue.FloorUntil(t); t < request.Patient && until.After(p.floors.zoneUntil[t]) {
		p.floors.zoneUntil[t] = earlier(until, end)
	}
	return p.pauseForFloor(nil, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// applyFloor starts or extends the floor of a tier, for at most Limits.FloorTTL.
func (p *Pool) applyFloor(t request.Tier, until time.Time, from string, now time.Time) {
	if t >= request.Patient || !until.After(now) {
		return
	}
	if latest := now.Add(p.cfg.Limits.FloorTTL); until.After(latest) {
		until = latest
	}
	if until.After(p.queue.FloorUntil(t)) {
		p.setFloor(t, until, now)
		p.decisions.add("", Decision{At: now, Kind: RaiseFloor, Why: t.String() + " floor from " + from})
	}
}

// setFloor starts or renews the floor of a tier.
func (p *Pool) setFloor(t request.Tier, until, now time.Time) {
	if !p.queue.FloorUntil(t).After(now) {
		p.floors.tierSince[t] = now
	}
	p.queue.SetFloor(t, until)
}

// pauseForFloor pauses the newest running patient request while floors are active.
// Requests at a closed target continue, because nothing else may start there.
func (p *Pool) pauseForFloor(out []Action, now time.Time) []Action {
	tier, active := p.queue.Floor(now)
	if !active {
		p.floors.activeSince = time.Time{}
		return out
	}
	if p.floors.activeSince.IsZero() {
		p.floors.activeSince = now
	}
	if tier != request.Urgent && now.Sub(p.floors.activeSince) < floorPauseDelay {
		return out
	}
	if now.Sub(p.floors.lastPausedAt) < floorPauseInterval {
		return out
	}
	for i := len(p.pausable) - 1; i >= 0; i-- {
		t := p.pausable[i].target
		if t.closure == drain.Open && !t.removed && !t.load.PatientOnly.Load() {
			p.floors.lastPausedAt = now
			return p.pause(out, p.pausable[i], "floor", now)
		}
	}
	return out
}
