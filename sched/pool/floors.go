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
	firstFloor = 200 * time.Millisecond
	// floorPerHost lengthens first floors in large zones, where each costs a
	// message to every host.
	floorPerHost = 30 * time.Millisecond
	// leastRenewal is two ticks, so that a short floor is renewed before it ends.
	leastRenewal = 2 * tickInterval
	// pauseAfter is how long floors must have lasted without a gap before running
	// patient work is paused for a floor that is not urgent: a paused request
	// computes its prompt and answer again, and most shortages end sooner. The
	// host that has the shortage pauses its own work at once.
	pauseAfter = 2 * time.Second
	// pauseEvery is the time between two such pauses of one host.
	pauseEvery = 500 * time.Millisecond
)

// floors is this host's part in raising floors and pausing work.
type floors struct {
	length [request.TierCount]time.Duration
	// known is the end of the floors that all hosts of the zone were told of. One
	// that only a digest mentioned need not be known to the others.
	known [request.TierCount]time.Time
	// raised counts the floors that this host has raised.
	raised   int
	pausedAt time.Time
	since    time.Time // start of the floors that are active without a gap
	// began is the start of each tier's newest floor, with its renewals.
	began [request.TierCount]time.Time
}

// block records that the first request of a tier finds no room. The floor is
// raised at once: lower work that starts while the request waits would have
// been served before it if the request had to be refused in the end.
func (p *Pool) block(out []Action, tier request.Tier, now time.Time) []Action {
	if tier == request.Patient {
		return out
	}
	return p.raiseFloor(out, tier, now)
}

// keepFloor renews the floor for interactive requests that wait behind an urgent
// floor. Else patient work would start in the time between the end of that floor
// and the next look at the queue.
func (p *Pool) keepFloor(out []Action, now time.Time) []Action {
	if p.queue.Len(request.Interactive) == 0 {
		return out
	}
	return p.raiseFloor(out, request.Interactive, now)
}

// raiseFloor raises or renews the floor of a tier unless one that stops the
// lower tiers as well lasts long enough already.
func (p *Pool) raiseFloor(out []Action, tier request.Tier, now time.Time) []Action {
	left := p.floorLeft(tier, now)
	length := &p.floors.length[tier]
	first := max(firstFloor, time.Duration(p.cfg.HostCount)*floorPerHost)
	if first = min(first, p.cfg.Limits.FloorTTL); left <= 0 || *length < first {
		*length = first
	}
	if left > p.renewWithin(*length) {
		return out
	}
	p.floors.raised++
	if left > 0 {
		*length = min(2**length, p.cfg.Limits.FloorTTL)
	}
	until := now.Add(*length)
	p.setFloor(tier, until, now)
	p.floors.known[tier] = until
	why := fmt.Sprintf("%d %s requests wait without room", p.queue.Len(tier), tier)
	p.ring.add("", Decision{At: now, Kind: RaiseFloor, Why: why})
	return append(out, Action{Kind: RaiseFloor, Tier: tier, Until: until, Why: why})
}

// renewWithin returns the rest of a floor from which this host renews it. It
// differs between the hosts of a zone and with each renewal: hosts that renewed
// at the same moment would each send a message to every other host.
func (p *Pool) renewWithin(length time.Duration) time.Duration {
	turn := (p.cfg.HostIndex + p.floors.raised) % p.cfg.HostCount
	spread := length / 4 * time.Duration(turn) / time.Duration(p.cfg.HostCount)
	return max(length/4+spread, leastRenewal)
}

// floorLeft returns how long the tiers below tier are still stopped on all hosts
// of the zone.
func (p *Pool) floorLeft(tier request.Tier, now time.Time) time.Duration {
	left := time.Duration(0)
	for t := request.Urgent; t <= tier; t++ {
		left = max(left, p.floors.known[t].Sub(now))
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
	p.acceptFloor(t, until, from, now)
	if end := p.queue.FloorUntil(t); t < request.Patient && until.After(p.floors.known[t]) {
		p.floors.known[t] = minTime(until, end)
	}
	return p.pauseStep(nil, now)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *Pool) acceptFloor(t request.Tier, until time.Time, from string, now time.Time) {
	if t >= request.Patient || !until.After(now) {
		return
	}
	if latest := now.Add(p.cfg.Limits.FloorTTL); until.After(latest) {
		until = latest
	}
	if until.After(p.queue.FloorUntil(t)) {
		p.setFloor(t, until, now)
		p.ring.add("", Decision{At: now, Kind: RaiseFloor, Why: t.String() + " floor from " + from})
	}
}

// setFloor starts or renews the floor of a tier.
func (p *Pool) setFloor(t request.Tier, until, now time.Time) {
	if !p.queue.FloorUntil(t).After(now) {
		p.floors.began[t] = now
	}
	p.queue.SetFloor(t, until)
}

// pauseStep pauses one running patient request, the newest, while floors last.
// Work at a leaving target goes on: nothing else may start there.
func (p *Pool) pauseStep(out []Action, now time.Time) []Action {
	tier, active := p.queue.Floor(now)
	if !active {
		p.floors.since = time.Time{}
		return out
	}
	if p.floors.since.IsZero() {
		p.floors.since = now
	}
	if tier != request.Urgent && now.Sub(p.floors.since) < pauseAfter {
		return out
	}
	if now.Sub(p.floors.pausedAt) < pauseEvery {
		return out
	}
	for i := len(p.patient) - 1; i >= 0; i-- {
		t := p.patient[i].target
		if !t.Draining && !t.gone && !t.load.PatientOnly.Load() {
			p.floors.pausedAt = now
			return p.pause(out, p.patient[i], "floor", now)
		}
	}
	return out
}
