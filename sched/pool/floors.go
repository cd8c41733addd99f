package pool

import (
	"fmt"
	"time"

	"sardinefront.dev/core/request"
)

const (
	// firstFloor is the length of a first floor. Each renewal doubles it up to
	// Limits.Floor, so a short shortage stops lower tiers only briefly and a
	// long one costs few messages.
	initialFloorTTL = 200 * time.Millisecond
	// floorPerHost lengthens first floors in large zones, where each costs a
	// message to every host.
	floorTTLPerHost = 30 * time.Millisecond
	// leastRenewal is two ticks, so that a short floor is renewed before it ends.
	minRenewalLead = 2 * tickInterval
	// pauseAfter is how long floors must have lasted without a gap before running
	// patient work is paused for a floor that is not urgent: a paused request
	// computes its prompt and answer again, and most shortages end sooner. The
	// host that has the shortage pauses its own work at once.
	floorPauseDelay = 2 * time.Second
	// pauseEvery is the time between two such pauses of one host.
	floorPauseInterval = 500 * time.Millisecond
)

// floors is this host's part in raising floors and pausing work.
type floorState struct {
	ttl [request.TierCount]time.Duration
	// known is the end of the floors that all hosts of the zone were told of. One
	// that only a digest mentioned need not be known to the others.
	zoneUntil [request.TierCount]time.Time
	// raised counts the floors that this host has raised.
	raisedCount  int
	lastPausedAt time.Time
	activeSince  time.Time // start of the floors that are active without a gap
	// began is the start of each tier's newest floor, with its renewals.
	tierSince [request.TierCount]time.Time
}

// block records that the first request of a tier finds no room. The floor is
// raised at once: lower work that starts while the request waits would have
// been served before it if the request had to be refused in the end.
func (p *Pool) raiseFloorForBlocked(out []Action, tier request.Tier, now time.Time) []Action {
	if tier == request.Patient {
		return out
	}
	return p.raiseFloor(out, tier, now)
}

// keepFloor renews the floor for interactive requests that wait behind an urgent
// floor. Else patient work would start in the time between the end of that floor
// and the next look at the queue.
func (p *Pool) renewInteractiveFloor(out []Action, now time.Time) []Action {
	if p.queue.Len(request.Interactive) == 0 {
		return out
	}
	return p.raiseFloor(out, request.Interactive, now)
}

// raiseFloor raises or renews the floor of a tier unless one that stops the
// lower tiers as well lasts long enough already.
func (p *Pool) raiseFloor(out []Action, tier request.Tier, now time.Time) []Action {
	left := p.floorRemaining(tier, now)
	length := &p.floors.ttl[tier]
	first := max(initialFloorTTL, time.Duration(p.cfg.HostCount)*floorTTLPerHost)
	if first = min(first, p.cfg.Limits.FloorTTL); left <= 0 || *length < first {
		*length = first
	}
	if left > p.renewalLead(*length) {
		return out
	}
	p.floors.raisedCount++
	if left > 0 {
		*length = min(2**length, p.cfg.Limits.FloorTTL)
	}
	until := now.Add(*length)
	p.setFloor(tier, until, now)
	p.floors.zoneUntil[tier] = until
	why := fmt.Sprintf("%d %s requests wait without room", p.queue.Len(tier), tier)
	p.decisions.add("", Decision{At: now, Kind: RaiseFloor, Why: why})
	return append(out, Action{Kind: RaiseFloor, Tier: tier, Until: until, Why: why})
}

// renewWithin returns the rest of a floor from which this host renews it. It
// differs between the hosts of a zone and with each renewal: hosts that renewed
// at the same moment would each send a message to every other host.
func (p *Pool) renewalLead(length time.Duration) time.Duration {
	turn := (p.cfg.HostIndex + p.floors.raisedCount) % p.cfg.HostCount
	spread := length / 4 * time.Duration(turn) / time.Duration(p.cfg.HostCount)
	return max(length/4+spread, minRenewalLead)
}

// floorLeft returns how long the tiers below tier are still stopped on all hosts
// of the zone.
func (p *Pool) floorRemaining(tier request.Tier, now time.Time) time.Duration {
	left := time.Duration(0)
	for t := request.Urgent; t <= tier; t++ {
		left = max(left, p.floors.zoneUntil[t].Sub(now))
	}
	return left
}

// Floor records a tier floor that a peer has raised: until then no work of a
// tier below t is started, and running patient work is paused. A floor longer
// than Limits.Floor is cut to it, so that a wrong clock cannot stop work for
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

// pauseStep pauses one running patient request, the newest, while floors last.
// Work at a leaving target goes on: nothing else may start there.
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
		if !t.Draining && !t.removed && !t.load.PatientOnly.Load() {
			p.floors.lastPausedAt = now
			return p.pause(out, p.pausable[i], "floor", now)
		}
	}
	return out
}
