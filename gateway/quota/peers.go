package quota

import "time"

const (
	// silentAfter is the age of a peer's last report from which its use is
	// extrapolated, or silentReports reports if they come seldom. A wrong guess is put
	// right by the next report.
	reportTimeout          = 600 * time.Millisecond
	reportTimeoutIntervals = 2.4
)

// forgetPeer is how long a silent peer is taken to go on using the quota.
const peerTTL = 15 * time.Second

// report is the last known use of one organisation by one peer.
type peerUsage struct {
	used float64
	// extrapolated was charged since the last report, in its place.
	extrapolated float64
}

// peer is what one peer has reported.
type peer struct {
	incarnation       int64
	lastReport        time.Time
	reportInterval    time.Duration // between reports
	extrapolatedUntil time.Time     // end of the extrapolation so far
	unresponsive      bool
	reportTime        float64 // time of the last report in reportedAt, 0 if it is not in it
	usage             map[string]*peerUsage
}

// Report records a peer's use since its start, which was the given time ago. The first
// report of a peer that has been up for long only sets the base line. This host then
// takes as spent what the peer does, so that a process that has just started does not
// grant a full burst once more.
func (m *Meter) RecordPeerUsage(from string, incarnation int64, ownUsage, fleetUsage map[string]float64, interval, uptime time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[from]
	if p == nil || p.incarnation != incarnation {
		old := p
		if old != nil {
			m.removeReportTime(old)
		}
		p = &peer{incarnation: incarnation, usage: map[string]*peerUsage{}}
		m.peers[from] = p
		for name, used := range ownUsage {
			p.usageOf(name).used = used
			if old != nil || uptime < m.tolerance.Window {
				m.charge(name, used, now)
			}
		}
		if old != nil {
			m.refundExtrapolated(old, now)
		}
		// What a young peer has heard from others is reported here by those others too.
		if uptime >= m.tolerance.Window {
			m.mergeFleetUsage(fleetUsage, now)
		}
	} else {
		m.refundExtrapolated(p, now)
		for name, used := range ownUsage {
			r := p.usageOf(name)
			m.charge(name, used-r.used, now)
			r.used = used
		}
	}
	p.lastReport, p.extrapolatedUntil, p.unresponsive, p.reportInterval = now, now, false, interval
	m.addReportTime(p, now)
}

// count adds a peer's report to the sum of their times.
func (m *Meter) addReportTime(p *peer, now time.Time) {
	m.removeReportTime(p)
	if m.epoch.IsZero() {
		m.epoch = now.Add(-time.Second)
	}
	p.reportTime = now.Sub(m.epoch).Seconds()
	m.reportingPeers++
	m.reportTimeSum += p.reportTime
}

// discount takes a peer out of the sum: its use is guessed otherwise, or it is gone.
func (m *Meter) removeReportTime(p *peer) {
	if p.reportTime != 0 {
		m.reportingPeers--
		m.reportTimeSum -= p.reportTime
		p.reportTime = 0
	}
}

// unreported returns the time since the last reports, summed over the peers, in seconds.
func (m *Meter) unreportedSeconds(now time.Time) float64 {
	if m.reportingPeers == 0 {
		return 0
	}
	return max(0, float64(m.reportingPeers)*now.Sub(m.epoch).Seconds()-m.reportTimeSum)
}

// settle gives back what was charged while a peer was silent; its report tells what
// it has used.
func (m *Meter) refundExtrapolated(p *peer, now time.Time) {
	for name, r := range p.usage {
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
		b.consume(units, now)
	}
}

// adopt raises what is known to be spent to what a peer knows.
func (m *Meter) mergeFleetUsage(fleetUsage map[string]float64, now time.Time) {
	for name, units := range fleetUsage {
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
		age := now.Sub(p.lastReport)
		if age > peerTTL {
			m.removeReportTime(p)
			delete(m.peers, name)
			continue
		}
		if age >= max(reportTimeout, time.Duration(reportTimeoutIntervals*float64(p.reportInterval))) {
			m.extrapolatePeer(p, now)
		}
	}
}

// Silent returns the number of peers that are charged with their part of every quota, and
// of all that count.
func (m *Meter) UnresponsivePeers(now time.Time) (unresponsive, peers int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.extrapolate(now)
	for _, p := range m.peers {
		if p.unresponsive {
			unresponsive++
		}
	}
	return unresponsive, len(m.peers)
}

// expectFor is how long a host that has just started waits for its peers' reports.
const expectedReportTimeout = 1200 * time.Millisecond

// Expect names the number of peers that should report soon: until they do, they are
// taken to use their part of every quota. Hosts that all start together would else
// each grant what is left before they hear of each other.
func (m *Meter) ExpectPeers(peers int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected, m.expectedUntil = peers, now.Add(expectedReportTimeout)
}

// guessed returns what peers may have used of a window without a word: those that are
// silent, and those that are still to be heard, of what this host found at its start.
func (m *Meter) estimatedPeerUse(org string, b *bucket, now time.Time) float64 {
	if b.window == nil {
		return 0
	}
	estimate := 0.0
	share := b.windowLimit / float64(1+len(m.peers))
	for _, p := range m.peers {
		if r := p.usage[org]; p.unresponsive && r != nil {
			estimate += min(r.extrapolated, share)
		}
	}
	if unreported := m.expected - len(m.peers); unreported > 0 && now.Before(m.expectedUntil) {
		b.window.advance(now)
		estimate += float64(unreported) / float64(m.expected+1) * max(0, b.windowLimit-(b.window.total-b.ownUsed))
	}
	return estimate
}

// guess charges a silent peer's part of every quota: of what was left when it fell
// silent, and of the rate since then.
func (m *Meter) extrapolatePeer(p *peer, now time.Time) {
	m.removeReportTime(p)
	hosts := float64(1 + len(m.peers))
	elapsedSeconds := now.Sub(p.extrapolatedUntil).Seconds()
	p.extrapolatedUntil = now
	for org, b := range m.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		r := p.usageOf(org)
		part := elapsedSeconds * b.limit.Rate / hosts
		if !p.unresponsive {
			part += max(0, b.level) / hosts
		}
		b.refill(now)
		b.level -= part
		r.extrapolated += part
	}
	p.unresponsive = true
}

// report returns the report on an organisation, which is empty at first.
func (p *peer) usageOf(org string) *peerUsage {
	r := p.usage[org]
	if r == nil {
		r = &peerUsage{}
		p.usage[org] = r
	}
	return r
}
