package pool

import (
	"fmt"
	"time"

	"sardinefront.dev/core/request"
)

const (
	// blockGrace is how long a request waits for room before the floor is
	// raised, or half the time left to its latest start if that is shorter.
	// Most gaps close within it because a request on this host ends; a floor
	// stops the lower tiers of the whole zone.
	blockGrace = 100 * time.Millisecond
	// firstFloor is the length of a first floor. Each renewal doubles it up to
	// Limits.Floor, so a short shortage stops lower tiers only briefly and a
	// long one costs few messages.
	firstFloor = 500 * time.Millisecond
	// pauseParts is in how many steps of a tick running patient work is paused
	// under a floor; 8 steps take 400 ms, less than the first floor. A floor
	// that ends sooner has not paused everything.
	pauseParts = 8
)

// floors is this host's part in raising floors and pausing work.
type floors struct {
	length   [request.TierCount]time.Duration
	pausedAt time.Time
	quota    int
}

// block records that the first request of a tier finds no room and raises the
// floor after the grace.
func (p *Pool) block(out []Action, tier request.Tier, now time.Time) []Action {
	if tier == request.Patient {
		return out
	}
	if p.blocked[tier].IsZero() {
		p.blocked[tier] = now
	}
	grace := blockGrace
	if next := p.queue.NextExpiry(); !next.IsZero() {
		grace = min(grace, next.Sub(p.blocked[tier])/2)
	}
	if now.Sub(p.blocked[tier]) < grace {
		return out
	}
	return p.raiseFloor(out, tier, now)
}

// raiseFloor raises or renews the floor of a tier unless one that stops the
// lower tiers as well lasts long enough already.
func (p *Pool) raiseFloor(out []Action, tier request.Tier, now time.Time) []Action {
	left := p.floorLeft(tier, now)
	length := &p.floors.length[tier]
	if left <= 0 {
		*length = min(firstFloor, p.cfg.Limits.Floor)
	}
	if left > *length/2 {
		return out
	}
	if left > 0 {
		*length = min(2**length, p.cfg.Limits.Floor)
	}
	until := now.Add(*length)
	p.queue.SetFloor(tier, until)
	why := fmt.Sprintf("%d %s requests wait without room", p.queue.Len(tier), tier)
	p.ring.add("", Decision{At: now, Kind: RaiseFloor, Why: why})
	return append(out, Action{Kind: RaiseFloor, Tier: tier, Until: until, Why: why})
}

// floorLeft returns how long the tiers below tier are still stopped.
func (p *Pool) floorLeft(tier request.Tier, now time.Time) time.Duration {
	left := time.Duration(0)
	for t := request.Urgent; t <= tier; t++ {
		left = max(left, p.queue.FloorUntil(t).Sub(now))
	}
	return left
}

// Floor records a tier floor that a peer has raised: until then no work of a
// tier below t is started, and running patient work is paused. A floor longer
// than Limits.Floor is cut to it, so that a wrong clock cannot stop work for
// long.
func (p *Pool) Floor(t request.Tier, until time.Time, from string, now time.Time) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptFloor(t, until, from, now)
	return p.pauseStep(nil, now)
}

func (p *Pool) acceptFloor(t request.Tier, until time.Time, from string, now time.Time) {
	if t >= request.Patient || !until.After(now) {
		return
	}
	if latest := now.Add(p.cfg.Limits.Floor); until.After(latest) {
		until = latest
	}
	if until.After(p.queue.FloorUntil(t)) {
		p.queue.SetFloor(t, until)
		p.ring.add("", Decision{At: now, Kind: RaiseFloor, Why: t.String() + " floor from " + from})
	}
}

// pauseStep pauses a part of the running patient work while a floor is active.
// Work at a leaving target goes on: nothing else may start there.
func (p *Pool) pauseStep(out []Action, now time.Time) []Action {
	if _, active := p.queue.Floor(now); !active {
		p.floors.quota = 0
		return out
	}
	if now.Sub(p.floors.pausedAt) < tickInterval {
		return out
	}
	p.floors.pausedAt = now
	if p.floors.quota == 0 {
		p.floors.quota = (len(p.patient) + pauseParts - 1) / pauseParts
	}
	left := max(1, p.floors.quota)
	for i := len(p.patient) - 1; i >= 0 && left > 0; i-- {
		if e := p.patient[i]; !e.target.Leaving && !e.target.gone {
			out = p.pause(out, e, "floor", now)
			left--
		}
	}
	return out
}
