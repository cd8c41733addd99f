package quota

import "time"

const (
	// silentAfter is the age of a peer's last report from which its use is
	// extrapolated, or silentReports reports if they come seldom. A wrong guess is put
	// right by the next report.
	silentAfter   = 600 * time.Millisecond
	silentReports = 2.4
)

// forgetPeer is how long a silent peer is taken to go on using the quota.
const forgetPeer = 15 * time.Second

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

// Report records a peer's use since its start, which was the given time ago. The first
// report of a peer that has been up for long only sets the base line. This host then
// takes as spent what the peer does, so that a process that has just started does not
// grant a full burst once more.
func (m *Meter) RecordPeerUsage(from string, incarnation int64, use, spent map[string]float64, every, up time.Duration, now time.Time) {
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
		// What a young peer has heard from others is reported here by those others too.
		if up >= m.tolerance.Window {
			m.adopt(spent, now)
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
}

// Silent returns the number of peers that are charged with their part of every quota, and
// of all that count.
func (m *Meter) UnresponsivePeers(now time.Time) (silent, peers int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.extrapolate(now)
	for _, p := range m.peers {
		if p.silent {
			silent++
		}
	}
	return silent, len(m.peers)
}

// expectFor is how long a host that has just started waits for its peers' reports.
const expectFor = 1200 * time.Millisecond

// Expect names the number of peers that should report soon: until they do, they are
// taken to use their part of every quota. Hosts that all start together would else
// each grant what is left before they hear of each other.
func (m *Meter) ExpectPeers(peers int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected, m.expectedUntil = peers, now.Add(expectFor)
}

// guessed returns what peers may have used of a window without a word: those that are
// silent, and those that are still to be heard, of what this host found at its start.
func (m *Meter) guessed(org string, b *bucket, now time.Time) float64 {
	if b.window == nil {
		return 0
	}
	sum := 0.0
	share := b.most / float64(1+len(m.peers))
	for _, p := range m.peers {
		if r := p.use[org]; p.silent && r != nil {
			sum += min(r.extrapolated, share)
		}
	}
	if unheard := m.expected - len(m.peers); unheard > 0 && now.Before(m.expectedUntil) {
		b.window.advance(now)
		sum += float64(unheard) / float64(m.expected+1) * max(0, b.most-(b.window.total-b.used))
	}
	return sum
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
