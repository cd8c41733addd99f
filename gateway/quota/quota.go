// Package quota limits the use of each organisation over all hosts. Each host keeps a replica of
// the total use: it counts its own use immediately and that of its peers when they report it.
// The package does no I/O and reads no clock.
package quota

import (
	"math"
	"sync"
	"time"
)

// Limit is the quota of one organisation. With a Rate of 0 there is no limit.
type Limit struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
}

// Tolerance is how far use may exceed a limit. The use within any Window must stay below
// (Rate x Window + Burst) x (1 + Ratio) + Slack. Refusing a request within the limit is worse
// for an organisation than granting a little more, so most of the tolerance is granted.
type Tolerance struct {
	Window time.Duration
	Ratio  float64
	// Slack is in units.
	Slack float64
}

const (
	// grantedFraction is the granted part of the units allowed in a window. The rest covers the
	// delay of reports between hosts, and a full bucket after a restart.
	grantedFraction = 0.9
	// burstFraction is the part of the granted units that may be used at once. The rest is
	// refilled at an even rate, so that an organisation over its quota does not use up the
	// window in a second and then gets nothing for the rest of it.
	burstFraction = 0.6
	// checkpointFraction is the part of a window's limit that hosts may lose without a checkpoint
	// when all of them lose power: they start with buckets that hold only the limit's own burst.
	checkpointFraction = 0.3
)

// windowLimit returns the units granted in any window, 0 if the limit or the window is 0.
func (t Tolerance) windowLimit(l Limit) float64 {
	w := t.Window.Seconds()
	if l.Rate <= 0 || w <= 0 {
		return 0
	}
	return grantedFraction * ((l.Rate*w+l.Burst)*(1+t.Ratio) + t.Slack)
}

// bucketLimit returns the rate and burst of the bucket that smooths use within the window.
func (t Tolerance) bucketLimit(l Limit) Limit {
	windowLimit := t.windowLimit(l)
	if windowLimit == 0 {
		return l
	}
	return Limit{Rate: max(l.Rate, windowLimit/t.Window.Seconds()), Burst: max(l.Burst, burstFraction*windowLimit)}
}

// bucket is the local replica of one organisation's token bucket.
type bucket struct {
	// limit is the limit plus the granted part of the tolerance.
	limit Limit
	// windowLimit is the limit of use within a window in units, 0 for none.
	windowLimit float64
	// window is the use of all hosts in the latest window; nil if windowLimit is 0.
	window     *windowUsage
	level      float64
	refilledAt time.Time
	// refusedUnits are the units refused recently, less those that the rate has provided since.
	// New requests have to wait behind the callers that retry for these units.
	refusedUnits float64
	// ownUsed is the units that this host has used since its start, as of ownChangedAt.
	ownUsed      float64
	ownChangedAt time.Time
	// decayedUse is the units that this host has used, with exponential decay over
	// rateTimeConstant, as of decayedAt.
	decayedUse float64
	decayedAt  time.Time
}

// rateTimeConstant is the time constant of the average of this host's own rate.
const rateTimeConstant = 500 * time.Millisecond

// ownRate returns the rate at which this host uses the quota, in units per second.
func (b *bucket) ownRate(now time.Time) float64 {
	if d := now.Sub(b.decayedAt); d > 0 {
		b.decayedUse *= math.Exp(-d.Seconds() / rateTimeConstant.Seconds())
		b.decayedAt = now
	}
	return b.decayedUse / rateTimeConstant.Seconds()
}

// Meter holds the buckets of all organisations. Its methods are safe for concurrent use.
type Meter struct {
	tolerance Tolerance

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// expected is the number of peers that should report until expectedUntil.
	expected      int
	expectedUntil time.Time
	// restored is the use in a checkpoint, kept for limits that are set later.
	restored   map[string]History
	restoredAt time.Time
	unrecorded time.Duration
}

// New returns a meter without limits.
func New(t Tolerance) *Meter {
	return &Meter{tolerance: t, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetTolerance replaces the tolerance. It applies from the next call of SetLimits.
func (m *Meter) SetTolerance(t Tolerance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tolerance = t
}

// SetLimits replaces the limits. A bucket that remains keeps its level, up to the new burst.
func (m *Meter) SetLimits(limits map[string]Limit, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.buckets {
		if _, ok := limits[name]; !ok {
			delete(m.buckets, name)
		}
	}
	for name, l := range limits {
		windowLimit := m.tolerance.windowLimit(l)
		l = m.tolerance.bucketLimit(l)
		b := m.buckets[name]
		if b == nil {
			b = &bucket{limit: l, level: min(limits[name].Burst, l.Burst), refilledAt: now}
			m.buckets[name] = b
		}
		b.refill(now)
		b.limit, b.windowLimit = l, windowLimit
		b.level = min(b.level, l.Burst)
		if windowLimit > 0 && (b.window == nil || b.window.slotLength != newWindowUsage(m.tolerance.Window).slotLength) {
			b.window = newWindowUsage(m.tolerance.Window)
			m.restoreWindow(name, now)
		}
	}
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt).Seconds(); d > 0 {
		b.level = min(b.limit.Burst, b.level+d*b.limit.Rate)
		b.refusedUnits = max(0, b.refusedUnits-d*b.limit.Rate)
		b.refilledAt = now
	}
}

// consume subtracts units. Negative units are returned ones.
func (b *bucket) consume(units float64, now time.Time) {
	b.level = min(b.limit.Burst, b.level-units)
	if b.window != nil {
		b.window.add(units, now)
	}
}

// wait returns the time until the units can be used, after the units that were refused before;
// 0 if they can be used now. peerUse is the units of the window that peers may have used without
// a report.
func (b *bucket) wait(units, peerUse float64, now time.Time) time.Duration {
	var wait time.Duration
	if missing := min(units, b.limit.Burst) - b.level; missing > 0 {
		wait = time.Duration((missing + b.refusedUnits) / b.limit.Rate * float64(time.Second))
	}
	if b.windowLimit > 0 {
		b.window.advance(now)
		free := b.windowLimit - b.window.total - peerUse
		if missing := min(units, b.windowLimit) - free; missing > 0 {
			wait = max(wait, b.window.timeUntilFree(missing+b.refusedUnits, now))
		}
	}
	return wait
}

// spent returns the used units of the window or of the bucket, whichever is more.
func (b *bucket) spent(now time.Time) float64 {
	b.refill(now)
	spent := b.limit.Burst - b.level
	if b.window != nil {
		b.window.advance(now)
		spent = max(spent, b.window.total)
	}
	return spent
}

// Acquire uses units of an organisation's quota. It returns 0 if they are granted, else the
// time until they could be granted after the units that were refused before.
func (m *Meter) Acquire(name string, units float64, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.buckets[name]
	if b == nil || b.limit.Rate <= 0 {
		return 0
	}
	m.extrapolate(now)
	b.refill(now)
	peerUse := m.estimatedPeerUse(name, b, now) + m.unreportedUse(name, b, now)
	if wait := b.wait(units, peerUse, now); wait > 0 {
		b.refusedUnits += units
		return max(time.Millisecond, wait)
	}
	b.consume(units, now)
	b.ownUsed += units
	b.ownChangedAt = now
	b.ownRate(now) // decays decayedUse up to now
	b.decayedUse += units
	return 0
}

// Release returns units that were acquired for a request that did not run.
func (m *Meter) Release(name string, units float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.buckets[name]; b != nil && b.limit.Rate > 0 {
		b.consume(-units, now)
		b.ownUsed -= units
		b.ownChangedAt = now
	}
}

// OwnUsage returns the units that this host has used since its start, by organisation, of
// those organisations whose use has changed since the given time.
func (m *Meter) OwnUsage(since time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]float64{}
	for name, b := range m.buckets {
		if b.ownUsed != 0 && !b.ownChangedAt.Before(since) {
			out[name] = b.ownUsed
		}
	}
	return out
}

// FleetUsage returns the units that all hosts have used recently, by organisation.
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
