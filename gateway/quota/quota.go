// Package quota limits what each organisation may use over all hosts. Each host
// keeps a replica of every token bucket: it subtracts its own use at once and the
// use of its peers as they report it. The package does no I/O and reads no clock.
package quota

import (
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
	// slackBurst is the part of the slack that may be used at once.
	slackBurst = 0.3
)

// widen returns the bucket that grants no more than the granted part in any
// window. Its burst stays near the limit's, so that an organisation that sends too
// much is held back evenly.
func (t Tolerance) widen(l Limit) Limit {
	w := t.Window.Seconds()
	if l.Rate <= 0 || w <= 0 {
		return l
	}
	most := (l.Rate*w+l.Burst)*(1+t.Ratio) + t.Slack
	burst := l.Burst + slackBurst*t.Slack
	return Limit{Rate: max(l.Rate, (grantedPart*most-burst)/w), Burst: burst}
}

const (
	// silentAfter is the age of a peer's last report from which its use is
	// extrapolated, or silentReports reports if they come seldom. A wrong guess is put
	// right by the next report.
	silentAfter   = 600 * time.Millisecond
	silentReports = 2.4
)

// forgetPeer is how long a silent peer is taken to go on using the quota.
const forgetPeer = 15 * time.Second

// bucket is the replica of one organisation's bucket.
type bucket struct {
	// limit is the limit with the granted part of the tolerance.
	limit Limit
	level float64
	at    time.Time
	// refused is what was refused lately, less what the rate has granted since. Those
	// who come back find it ahead of them.
	refused float64
	// used is what this host has used since its start.
	used float64
}

// report is the last known use of one organisation by one peer.
type report struct {
	used float64
	// extrapolated was charged since the last report, in its place.
	extrapolated float64
}

// peer is what one peer has reported.
type peer struct {
	incarnation int64
	at          time.Time
	every       time.Duration // between reports
	charged     time.Time     // end of the extrapolation so far
	silent      bool
	use         map[string]*report
}

// Meter holds the buckets of all organisations. It is safe for concurrent use.
type Meter struct {
	tolerance Tolerance

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
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
		l = m.tolerance.widen(l)
		b := m.buckets[name]
		if b == nil {
			m.buckets[name] = &bucket{limit: l, level: l.Burst, at: now}
			continue
		}
		b.refill(now)
		b.limit = l
		b.level = min(b.level, l.Burst)
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
func (b *bucket) use(units float64) { b.level = min(b.limit.Burst, b.level-units) }

// Take uses units of an organisation's quota. It returns 0 if they are granted,
// else how long until they would be, behind those that
// were refused before.
func (m *Meter) Take(name string, units float64, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.buckets[name]
	if b == nil || b.limit.Rate <= 0 {
		return 0
	}
	m.extrapolate(now)
	b.refill(now)
	if missing := min(units, b.limit.Burst) - b.level; missing > 0 {
		wait := time.Duration((missing + b.refused) / b.limit.Rate * float64(time.Second))
		b.refused += units
		return max(time.Millisecond, wait)
	}
	b.use(units)
	b.used += units
	return 0
}

// Return gives back units that were taken for a request that did not run.
func (m *Meter) Return(name string, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.buckets[name]; b != nil && b.limit.Rate > 0 {
		b.use(-units)
		b.used -= units
	}
}

// Use returns what this host has used by organisation since its start.
func (m *Meter) Use() map[string]float64 {
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

// Levels returns the levels of the buckets that are not full.
func (m *Meter) Levels(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]float64{}
	for name, b := range m.buckets {
		b.refill(now)
		if b.limit.Rate > 0 && b.level < b.limit.Burst {
			out[name] = b.level
		}
	}
	return out
}

// Report records a peer's use since its start. The first report of a peer only
// sets the base line; levels lowers this host's levels to the peer's, so that a
// process that has just started does not grant a full burst once more.
func (m *Meter) Report(from string, incarnation int64, use, levels map[string]float64, every time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[from]
	if p == nil || p.incarnation != incarnation {
		old := p
		p = &peer{incarnation: incarnation, use: map[string]*report{}}
		m.peers[from] = p
		for name, used := range use {
			p.report(name).used = used
			if old != nil {
				m.charge(name, used, now)
			}
		}
		if old != nil {
			m.settle(old, now)
		}
		m.lower(levels, now)
	} else {
		m.settle(p, now)
		for name, used := range use {
			r := p.report(name)
			m.charge(name, used-r.used, now)
			r.used = used
		}
	}
	p.at, p.charged, p.silent, p.every = now, now, false, every
}

// settle gives back what was charged while a peer was silent; its report tells what
// it has used.
func (m *Meter) settle(p *peer, now time.Time) {
	for name, r := range p.use {
		if r.extrapolated != 0 {
			m.charge(name, -r.extrapolated, now)
			r.extrapolated = 0
		}
	}
}

func (m *Meter) charge(name string, units float64, now time.Time) {
	if b := m.buckets[name]; b != nil && b.limit.Rate > 0 {
		b.refill(now)
		b.use(units)
	}
}

func (m *Meter) lower(levels map[string]float64, now time.Time) {
	for name, level := range levels {
		if b := m.buckets[name]; b != nil {
			b.refill(now)
			b.level = min(b.level, level)
		}
	}
}

// extrapolate charges silent peers with their part of every quota: a host that is
// cut off from them cannot tell whether they are gone or go on using it.
func (m *Meter) extrapolate(now time.Time) {
	for name, p := range m.peers {
		age := now.Sub(p.at)
		if age > forgetPeer {
			delete(m.peers, name)
			continue
		}
		if age < max(silentAfter, time.Duration(silentReports*float64(p.every))) {
			continue
		}
		hosts := float64(1 + len(m.peers))
		d := now.Sub(p.charged).Seconds()
		p.charged = now
		for org, b := range m.buckets {
			if b.limit.Rate <= 0 {
				continue
			}
			r := p.report(org)
			part := d * b.limit.Rate / hosts
			if !p.silent {
				part += max(0, b.level) / hosts
			}
			m.charge(org, part, now)
			r.extrapolated += part
		}
		p.silent = true
	}
}

// report returns the report on an organisation, which is empty at first.
func (p *peer) report(org string) *report {
	r := p.use[org]
	if r == nil {
		r = &report{}
		p.use[org] = r
	}
	return r
}
