// Package quota limits what each organisation may use over all hosts. Each host
// keeps a replica of what all have used: it counts its own use at once and the use of
// its peers as they report it. The package does no I/O and reads no clock.
package quota

import (
	"math"
	"sync"
	"time"
)

// Limit is the quota of one organisation. A Rate of 0 is no limit.
type Limit struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
}

// Tolerance says how far use may exceed a limit within a window before it breaks
// the promise to the operator: Rate x Window + Burst, times 1 + Ratio, plus Slack.
// Refusing what the limit allows is worse for an organisation than granting a
// little more, so most of the tolerance is granted.
type Tolerance struct {
	Window time.Duration
	Ratio  float64
	// Slack is in units.
	Slack float64
}

const (
	// grantedPart of what a window may hold is granted; the rest covers the time
	// that reports of use take between hosts, and a full bucket after a restart.
	grantedPart = 0.9
	// burstPart of that may be used at once. The rest follows at an even rate, so that
	// an organisation that sends too much does not fill the window in a second and
	// then gets nothing until it has passed.
	burstPart = 0.6
	// pressedPart is the part of a window that may be forgotten when all hosts lose power
	// together: a host starts with a bucket that holds only the limit's own burst.
	pressedPart = 0.3
)

// granted returns how much of a limit is granted in any window, 0 where the tolerance
// names no window.
func (t Tolerance) granted(l Limit) float64 {
	w := t.Window.Seconds()
	if l.Rate <= 0 || w <= 0 {
		return 0
	}
	return grantedPart * ((l.Rate*w+l.Burst)*(1+t.Ratio) + t.Slack)
}

// widen returns the bucket that evens out use within the window.
func (t Tolerance) widen(l Limit) Limit {
	most := t.granted(l)
	if most == 0 {
		return l
	}
	return Limit{Rate: max(l.Rate, most/t.Window.Seconds()), Burst: max(l.Burst, burstPart*most)}
}

// bucket is the replica of one organisation's bucket.
type bucket struct {
	// limit is the limit with the granted part of the tolerance.
	limit Limit
	// most is what may be used within a window, 0 for no such bound.
	most float64
	// window is what all hosts have used in the last window; nil where most is 0.
	window *usage
	level  float64
	at     time.Time
	// refused is what was refused lately, less what the rate has granted since. Those
	// who come back find it ahead of them.
	refused float64
	// used is what this host has used since its start.
	used float64
	// lately is what this host has used, each unit fading over lateTime, as of latelyAt.
	lately   float64
	latelyAt time.Time
}

// lateTime is the time over which this host's own rate is averaged.
const lateTime = 500 * time.Millisecond

// rate returns the rate at which this host uses the quota, in units a second.
func (b *bucket) rate(now time.Time) float64 {
	if d := now.Sub(b.latelyAt); d > 0 {
		b.lately *= math.Exp(-d.Seconds() / lateTime.Seconds())
		b.latelyAt = now
	}
	return b.lately / lateTime.Seconds()
}

// Meter holds the buckets of all organisations. It is safe for concurrent use.
type Meter struct {
	tolerance Tolerance

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// expected is the number of peers that should report until expectedUntil.
	expected      int
	expectedUntil time.Time
	// reporting counts the peers that are not silent; reportedAt is the sum of the times
	// of their last reports, in seconds after epoch.
	reporting  int
	reportedAt float64
	epoch      time.Time
	// restored is what a checkpoint says was spent, for limits that come later.
	restored   map[string]History
	restoredAt time.Time
	unseen     time.Duration
}

// New returns a meter without limits.
func New(t Tolerance) *Meter {
	return &Meter{tolerance: t, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetTolerance replaces the tolerance; it counts from the next SetLimits.
func (m *Meter) SetTolerance(t Tolerance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tolerance = t
}

// SetLimits replaces the limits. A bucket that stays keeps its level, cut to the
// new burst.
func (m *Meter) SetLimits(limits map[string]Limit, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.buckets {
		if _, ok := limits[name]; !ok {
			delete(m.buckets, name)
		}
	}
	for name, l := range limits {
		most := m.tolerance.granted(l)
		l = m.tolerance.widen(l)
		b := m.buckets[name]
		if b == nil {
			b = &bucket{limit: l, level: min(limits[name].Burst, l.Burst), at: now}
			m.buckets[name] = b
		}
		b.refill(now)
		b.limit, b.most = l, most
		b.level = min(b.level, l.Burst)
		if most > 0 && (b.window == nil || b.window.slot != newUsage(m.tolerance.Window).slot) {
			b.window = newUsage(m.tolerance.Window)
			m.raise(name, now)
		}
	}
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level = min(b.limit.Burst, b.level+d*b.limit.Rate)
		b.refused = max(0, b.refused-d*b.limit.Rate)
		b.at = now
	}
}

// use subtracts units; negative ones are given back.
func (b *bucket) use(units float64, now time.Time) {
	b.level = min(b.limit.Burst, b.level-units)
	if b.window != nil {
		b.window.add(units, now)
	}
}

// wait returns how long it takes until the units can be used, behind those that were
// refused before; 0 if they can be used now. Guessed is what peers may have used of the
// window. Peers are also taken to have used as much as this host in the time that they
// have not reported, which is given in seconds, summed over them.
func (b *bucket) wait(units, guessed, unreported float64, now time.Time) time.Duration {
	var wait time.Duration
	if missing := min(units, b.limit.Burst) - b.level; missing > 0 {
		wait = time.Duration((missing + b.refused) / b.limit.Rate * float64(time.Second))
	}
	if b.most > 0 {
		b.window.advance(now)
		free := b.most - b.window.total - guessed - b.rate(now)*unreported
		if missing := min(units, b.most) - free; missing > 0 {
			wait = max(wait, b.window.freeAfter(missing+b.refused, now))
		}
	}
	return wait
}

// spent returns what has been used of the window and of the bucket, whichever is more.
func (b *bucket) spent(now time.Time) float64 {
	b.refill(now)
	spent := b.limit.Burst - b.level
	if b.window != nil {
		b.window.advance(now)
		spent = max(spent, b.window.total)
	}
	return spent
}

// Take uses units of an organisation's quota. It returns 0 if they are granted,
// else how long until they would be, behind those that
// were refused before.
func (m *Meter) Acquire(name string, units float64, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.buckets[name]
	if b == nil || b.limit.Rate <= 0 {
		return 0
	}
	m.extrapolate(now)
	b.refill(now)
	if wait := b.wait(units, m.guessed(name, b, now), m.unreported(now), now); wait > 0 {
		b.refused += units
		return max(time.Millisecond, wait)
	}
	b.use(units, now)
	b.used += units
	b.rate(now) // brings lately up to now
	b.lately += units
	return 0
}

// Return gives back units that were taken for a request that did not run.
func (m *Meter) Release(name string, units float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.buckets[name]; b != nil && b.limit.Rate > 0 {
		b.use(-units, now)
		b.used -= units
	}
}

// Use returns what this host has used by organisation since its start.
func (m *Meter) OwnUsage() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]float64, len(m.buckets))
	for name, b := range m.buckets {
		if b.used != 0 {
			out[name] = b.used
		}
	}
	return out
}

// Spent returns what all hosts have used lately of the quotas, by organisation.
func (m *Meter) FleetUsage(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]float64{}
	for name, b := range m.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		if spent := b.spent(now); spent > 0 {
			out[name] = spent
		}
	}
	return out
}
