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
	// most is what may be used within a window, 0 for no such bound.
	most float64
	// window is what all hosts have used in the last window; nil where most is 0.
	window *usage
	// guessed is what silent peers may have used of it.
	guessed float64
	level   float64
	at      time.Time
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
	counted     float64 // time of the last report in reportedAt, 0 if it is not in it
	use         map[string]*report
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
		if most > 0 && b.window == nil {
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
// refused before; 0 if they can be used now. Peers are taken to have used as much as this
// host in the time that they have not reported, which is given in seconds, summed over
// them.
func (b *bucket) wait(units, unreported float64, now time.Time) time.Duration {
	var wait time.Duration
	if missing := min(units, b.limit.Burst) - b.level; missing > 0 {
		wait = time.Duration((missing + b.refused) / b.limit.Rate * float64(time.Second))
	}
	if b.most > 0 {
		b.window.advance(now)
		free := b.most - b.window.total - b.guessed - b.rate(now)*unreported
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
func (m *Meter) Take(name string, units float64, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.buckets[name]
	if b == nil || b.limit.Rate <= 0 {
		return 0
	}
	m.extrapolate(now)
	b.refill(now)
	if wait := b.wait(units, m.unreported(now), now); wait > 0 {
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
func (m *Meter) Return(name string, units float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.buckets[name]; b != nil && b.limit.Rate > 0 {
		b.use(-units, now)
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

// Spent returns what all hosts have used lately of the quotas, by organisation.
func (m *Meter) Spent(now time.Time) map[string]float64 {
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

// Report records a peer's use since its start, which was the given time ago. The first
// report of a peer that has been up for long only sets the base line. This host then
// takes as spent what the peer does, so that a process that has just started does not
// grant a full burst once more.
func (m *Meter) Report(from string, incarnation int64, use, spent map[string]float64, every, up time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[from]
	if p == nil || p.incarnation != incarnation {
		old := p
		if old != nil {
			m.discount(old)
		}
		p = &peer{incarnation: incarnation, use: map[string]*report{}}
		m.peers[from] = p
		for name, used := range use {
			p.report(name).used = used
			if old != nil || up < m.tolerance.Window {
				m.charge(name, used, now)
			}
		}
		if old != nil {
			m.settle(old, now)
		}
		if up >= m.tolerance.Window {
			m.adopt(spent, now) // a young peer knows no more than its own use and that of those that report here too
		}
	} else {
		m.settle(p, now)
		for name, used := range use {
			r := p.report(name)
			m.charge(name, used-r.used, now)
			r.used = used
		}
	}
	p.at, p.charged, p.silent, p.every = now, now, false, every
	m.count(p, now)
}

// count adds a peer's report to the sum of their times.
func (m *Meter) count(p *peer, now time.Time) {
	m.discount(p)
	if m.epoch.IsZero() {
		m.epoch = now.Add(-time.Second)
	}
	p.counted = now.Sub(m.epoch).Seconds()
	m.reporting++
	m.reportedAt += p.counted
}

// discount takes a peer out of the sum: its use is guessed otherwise, or it is gone.
func (m *Meter) discount(p *peer) {
	if p.counted != 0 {
		m.reporting--
		m.reportedAt -= p.counted
		p.counted = 0
	}
}

// unreported returns the time since the last reports, summed over the peers, in seconds.
func (m *Meter) unreported(now time.Time) float64 {
	if m.reporting == 0 {
		return 0
	}
	return max(0, float64(m.reporting)*now.Sub(m.epoch).Seconds()-m.reportedAt)
}

// settle gives back what was charged while a peer was silent; its report tells what
// it has used.
func (m *Meter) settle(p *peer, now time.Time) {
	for name, r := range p.use {
		if r.extrapolated == 0 {
			continue
		}
		if b := m.buckets[name]; b != nil && b.limit.Rate > 0 {
			b.refill(now)
			b.level = min(b.limit.Burst, b.level+r.extrapolated)
		}
		r.extrapolated = 0
	}
}

func (m *Meter) charge(name string, units float64, now time.Time) {
	if b := m.buckets[name]; b != nil && b.limit.Rate > 0 {
		b.refill(now)
		b.use(units, now)
	}
}

// Histories returns what all hosts have used lately, by organisation.
func (m *Meter) Histories(now time.Time) map[string]History {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]History{}
	for name, b := range m.buckets {
		if b.window != nil && b.spent(now) > 0 {
			out[name] = b.window.history(now)
		}
	}
	return out
}

// Restore takes histories of the given age from a checkpoint. Use may have gone on
// unseen for a while after it.
func (m *Meter) Restore(histories map[string]History, age, unseen time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restored, m.restoredAt, m.unseen = histories, now.Add(-max(0, age)), unseen
	for name := range m.buckets {
		m.raise(name, now)
	}
}

// raise puts the restored history of an organisation into its window.
func (m *Meter) raise(name string, now time.Time) {
	h, ok := m.restored[name]
	age := now.Sub(m.restoredAt)
	if b := m.buckets[name]; ok && b.window != nil && age <= m.tolerance.Window {
		b.window.raise(h, age, m.unseen, now)
	}
}

// Pressed reports whether an organisation has used so much of a window that hosts
// which have forgotten it could exceed the window.
func (m *Meter) Pressed(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.buckets {
		if b.window == nil {
			continue
		}
		b.window.advance(now)
		if b.window.total > pressedPart*b.most {
			return true
		}
	}
	return false
}

// adopt raises what is known to be spent to what a peer knows.
func (m *Meter) adopt(spent map[string]float64, now time.Time) {
	for name, units := range spent {
		b := m.buckets[name]
		if b == nil {
			continue
		}
		b.refill(now)
		b.level = min(b.level, b.limit.Burst-units)
		if b.window != nil {
			b.window.advance(now)
			b.window.add(max(0, units-b.window.total), now)
		}
	}
}

// extrapolate charges silent peers with their part of every quota: a host that is
// cut off from them cannot tell whether they are gone or go on using it.
func (m *Meter) extrapolate(now time.Time) {
	for _, b := range m.buckets {
		b.guessed = 0
	}
	for name, p := range m.peers {
		age := now.Sub(p.at)
		if age > forgetPeer {
			m.discount(p)
			delete(m.peers, name)
			continue
		}
		if age >= max(silentAfter, time.Duration(silentReports*float64(p.every))) {
			m.guess(p, now)
		}
	}
	m.guessUnheard(now)
}

// expectFor is how long a host that has just started waits for its peers' reports.
const expectFor = 1200 * time.Millisecond

// Expect names the number of peers that should report soon: until they do, they are
// taken to use their part of every quota. Hosts that all start together would else
// each grant what is left before they hear of each other.
func (m *Meter) Expect(peers int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected, m.expectedUntil = peers, now.Add(expectFor)
}

// guessUnheard reserves the parts of the peers that are still to be heard.
func (m *Meter) guessUnheard(now time.Time) {
	unheard := m.expected - len(m.peers)
	if unheard <= 0 || !now.Before(m.expectedUntil) {
		return
	}
	part := float64(unheard) / float64(m.expected+1)
	for _, b := range m.buckets {
		if b.window != nil {
			b.window.advance(now)
			b.guessed += part * max(0, b.most-(b.window.total-b.used)) // of what this host found
		}
	}
}

// guess charges a silent peer's part of every quota: of what was left when it fell
// silent, and of the rate since then.
func (m *Meter) guess(p *peer, now time.Time) {
	m.discount(p)
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
		b.refill(now)
		b.level -= part
		r.extrapolated += part
		b.guessed += min(r.extrapolated, b.most/hosts)
	}
	p.silent = true
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
