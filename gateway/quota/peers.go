package quota

import "time"

const (
	// reportTimeout is the age of a peer's last report from which its use is extrapolated. It is
	// reportTimeoutIntervals of the peer's report interval if that is longer. The next report
	// corrects a wrong extrapolation.
	reportTimeout          = 600 * time.Millisecond
	reportTimeoutIntervals = 2.4
)

// peerTTL is how long the use of an unresponsive peer is extrapolated. Then it counts as gone.
const peerTTL = 15 * time.Second

// peerUsage is the use of one organisation's quota by one peer.
type peerUsage struct {
	used float64 // units since the peer's start, as of its last report
	// extrapolated is the number of units charged since the last report in place of a new one.
	extrapolated float64
}

// peer is the state of one peer as of its last report.
type peer struct {
	incarnation       int64
	lastReport        time.Time
	reportInterval    time.Duration
	extrapolatedUntil time.Time
	unresponsive      bool
	reportTime        float64               // part of Meter.reportTimeSum, 0 if not in it
	usage             map[string]*peerUsage // by organisation
}

// RecordPeerUsage records a peer's report: its own use since its start, which was uptime ago,
// and the recent use of all hosts as the peer counts it, by organisation. The first report of
// a peer that has been up for a whole window only sets the base for the next ones. This host
// then adopts the fleet's use from the peer, so that a process that has just started does not
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
		// The fleet use in the report of a new process comes from hosts that also report to this one.
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

// addReportTime sets the time of a peer's last report in reportTimeSum.
func (m *Meter) addReportTime(p *peer, now time.Time) {
	m.removeReportTime(p)
	if m.epoch.IsZero() {
		m.epoch = now.Add(-time.Second)
	}
	p.reportTime = now.Sub(m.epoch).Seconds()
	m.reportingPeers++
	m.reportTimeSum += p.reportTime
}

// removeReportTime removes a peer from reportTimeSum. Its use is extrapolated, or it is gone.
func (m *Meter) removeReportTime(p *peer) {
	if p.reportTime != 0 {
		m.reportingPeers--
		m.reportTimeSum -= p.reportTime
		p.reportTime = 0
	}
}

// unreportedSeconds returns the time since the last report in seconds, summed over the peers.
func (m *Meter) unreportedSeconds(now time.Time) float64 {
	if m.reportingPeers == 0 {
		return 0
	}
	return max(0, float64(m.reportingPeers)*now.Sub(m.epoch).Seconds()-m.reportTimeSum)
}

// refundExtrapolated returns the units that were extrapolated for a peer to the buckets. The
// peer's new report contains its real use.
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

// mergeFleetUsage raises the use counted by this host to the use in a peer's report.
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

// extrapolate charges unresponsive peers with their share of every quota: this host can't tell
// whether they are gone or only partitioned from it and still using the quota.
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

// UnresponsivePeers returns the number of peers that are charged with their share of every
// quota, and the number of all peers with a report within the peer TTL.
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

// expectedReportTimeout is how long a host that has just started waits for reports of its peers.
const expectedReportTimeout = 1200 * time.Millisecond

// ExpectPeers sets the number of peers that should report soon. Until they do, they are assumed
// to use their share of every quota. Otherwise hosts that all start together would each grant
// all that is left before they get each other's reports.
func (m *Meter) ExpectPeers(peers int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected, m.expectedUntil = peers, now.Add(expectedReportTimeout)
}

// estimatedPeerUse returns the units of the window that peers may have used without a report.
// Unresponsive peers count with their extrapolated use, up to an equal share of the window. After
// a start, each expected peer that has not reported counts with an equal share of the units that
// this host found unused.
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

// extrapolatePeer charges the share of an unresponsive peer in every quota: of the units left
// when it became unresponsive, and of the rate since then.
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

// usageOf returns the peer's use of an organisation's quota, and adds an empty one if there is
// none.
func (p *peer) usageOf(org string) *peerUsage {
	r := p.usage[org]
	if r == nil {
		r = &peerUsage{}
		p.usage[org] = r
	}
	return r
}
