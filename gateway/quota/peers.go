package quota

import (
	"math"
	"time"
)

const (
	// reportTimeout is the age of a peer's last report from which its use is extrapolated. It is
	// reportTimeoutIntervals of the peer's report interval if that is longer. The next report
	// corrects a wrong extrapolation.
	reportTimeout          = 600 * time.Millisecond
	reportTimeoutIntervals = 2.4
	// recentReportAge is the age up to which a report shows a burst that goes on. Hosts of a
	// zone report several times within it.
	recentReportAge = 400 * time.Millisecond
)

// peerTTL is how long the use of an unresponsive peer is extrapolated. After that, the peer is
// removed.
const peerTTL = 15 * time.Second

// peerUsage is the use of one organisation's quota by one peer.
type peerUsage struct {
	used float64 // units since the peer's start, as of its last report
	rate float64 // smoothed rate of use in units per second, as of the last report
	// extrapolated is the number of units that the peer may have used since it became
	// unresponsive; charged is the part of it that was taken from the bucket.
	extrapolated, charged float64
	// ownUsedAtReport is what this host had used at the peer's last report, as estimated when the
	// peer became unresponsive.
	ownUsedAtReport float64
}

// recordRate updates the smoothed rate by the units used since the last report, elapsed before.
func (u *peerUsage) recordRate(units float64, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	u.rate += (units/elapsed.Seconds() - u.rate) * weight
}

// peer is the state of one peer as of its last report.
type peer struct {
	incarnation       int64
	lastReport        time.Time
	reportInterval    time.Duration
	extrapolatedUntil time.Time
	unresponsive      bool
	usage             map[string]*peerUsage // by organisation
}

// Report is a peer's report of its use of quotas.
type Report struct {
	From        string
	Incarnation int64
	// Own is the peer's own use since its start, by organisation. Organisations that are
	// missing have used none, if Complete is set, or as much as in the report before.
	Own map[string]float64
	// Fleet is the recent use of all hosts as the peer counts it, by organisation.
	Fleet    map[string]float64
	Complete bool
	// Interval is the time between the peer's reports, Uptime the time since its start.
	Interval, Uptime time.Duration
}

// RecordPeerUsage records a peer's report. The first complete report of a peer that has been
// up for a whole window only sets the base for the next ones. This host then adopts the
// fleet's use from the peer, so that a process that has just started does not grant a full
// burst once more. Other reports of a new process are ignored until then.
func (m *Meter) RecordPeerUsage(r Report, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[r.From]
	switch {
	case p != nil && p.incarnation == r.Incarnation:
		m.refundExtrapolated(p, now)
		m.chargeReport(p, r.Own, now)
	case r.Complete:
		p = m.addPeer(r, now)
	default:
		return
	}
	p.lastReport, p.extrapolatedUntil, p.unresponsive, p.reportInterval = now, now, false, r.Interval
}

// chargeReport charges what a known peer has used since its last report.
func (m *Meter) chargeReport(p *peer, own map[string]float64, now time.Time) {
	elapsed := now.Sub(p.lastReport)
	for name, usage := range p.usage {
		if _, ok := own[name]; !ok {
			usage.recordRate(0, elapsed)
		}
	}
	for name, used := range own {
		usage := p.usageOf(name)
		m.charge(name, used-usage.used, now)
		usage.recordRate(used-usage.used, elapsed)
		usage.used = used
	}
}

// addPeer adds a peer, or replaces it if it has restarted, on its first complete report.
func (m *Meter) addPeer(r Report, now time.Time) *peer {
	old := m.peers[r.From]
	p := &peer{incarnation: r.Incarnation, usage: map[string]*peerUsage{}}
	m.peers[r.From] = p
	for name, used := range r.Own {
		p.usageOf(name).used = used
		if old != nil || r.Uptime < m.tolerance.Window {
			m.charge(name, used, now)
		}
	}
	if old != nil {
		m.refundExtrapolated(old, now)
	}
	// The fleet use in the report of a new process comes from hosts that also report to this one.
	if r.Uptime >= m.tolerance.Window {
		m.mergeFleetUsage(r.Fleet, now)
	}
	return p
}

// unreportedUse estimates the units of an organisation that responsive peers have used since
// their last reports: by the rate that each has reported, or by the mean rate of the hosts with
// recent reports, whichever is more. The mean shows a sudden burst before the reports of the
// other hosts arrive. An organisation that was refused waits at all hosts, and units that come
// free are used by all at once: its peers are assumed to use them at the rate of this host.
func (m *Meter) unreportedUse(org string, b *bucket, now time.Time) float64 {
	reported, silence := 0.0, 0.0
	ownRate := b.ownRate(now)
	recentRates, recentHosts := ownRate, 1.0
	for _, p := range m.peers {
		if p.unresponsive {
			continue
		}
		age := now.Sub(p.lastReport).Seconds()
		silence += age
		rate := 0.0
		if usage := p.usage[org]; usage != nil {
			rate = usage.rate
		}
		reported += rate * age
		if now.Sub(p.lastReport) <= recentReportAge {
			recentRates += rate
			recentHosts++
		}
	}
	meanRate := recentRates / recentHosts
	if b.refusedUnits > 0 {
		meanRate = max(meanRate, ownRate)
	}
	return max(reported, meanRate*silence)
}

// refundExtrapolated returns the units that were charged for an unresponsive peer to the
// buckets. The peer's new report contains its real use.
func (m *Meter) refundExtrapolated(p *peer, now time.Time) {
	for name, usage := range p.usage {
		if b := m.buckets[name]; b != nil && usage.charged > 0 {
			b.refill(now)
			b.level = min(b.limit.Burst, b.level+usage.charged)
		}
		usage.extrapolated, usage.charged = 0, 0
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

// extrapolate charges unresponsive peers with their share of every quota: they may only be
// partitioned from this host and still use the quota.
func (m *Meter) extrapolate(now time.Time) {
	for name, p := range m.peers {
		age := now.Sub(p.lastReport)
		if age > peerTTL {
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
// Unresponsive peers count with their extrapolated use, that at their last rate or what this host
// has used since their last report, whichever is most, up to an equal share of the window. After a
// start, each expected peer that has not reported counts with an equal share of the units that this
// host found unused.
func (m *Meter) estimatedPeerUse(org string, b *bucket, now time.Time) float64 {
	if b.window == nil {
		return 0
	}
	estimate := 0.0
	share := b.windowLimit / float64(1+len(m.peers))
	for _, p := range m.peers {
		if usage := p.usage[org]; p.unresponsive && usage != nil {
			continued := usage.rate * now.Sub(p.lastReport).Seconds()
			// A burst that began shortly before a partition is not in the peer's last report, but
			// this host has probably got a similar part of it.
			ownSince := b.ownUsed - usage.ownUsedAtReport
			estimate += min(max(usage.extrapolated, continued, ownSince), share)
		}
	}
	if unreported := m.expected - len(m.peers); unreported > 0 && now.Before(m.expectedUntil) {
		b.window.advance(now)
		estimate += float64(unreported) / float64(m.expected+1) * max(0, b.windowLimit-(b.window.total-b.ownUsed))
	}
	return estimate
}

// extrapolatePeer counts the share of an unresponsive peer in every quota: of the units left
// when it became unresponsive, and of the rate since its last report. The bucket is charged with
// at most reportTimeout of that rate at a time, since longer silence is normal for a peer that
// reports rarely: the sum over a zone that is cut off would leave this host nothing.
func (m *Meter) extrapolatePeer(p *peer, now time.Time) {
	hosts := float64(1 + len(m.peers))
	elapsed := now.Sub(p.extrapolatedUntil)
	p.extrapolatedUntil = now
	for org, b := range m.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		b.refill(now)
		rateShare, levelShare := b.limit.Rate/hosts, 0.0
		if !p.unresponsive {
			levelShare = max(0, b.level) / hosts
		}
		usage := p.usageOf(org)
		if !p.unresponsive {
			usage.ownUsedAtReport = b.ownUsed - b.ownRate(now)*now.Sub(p.lastReport).Seconds()
		}
		usage.extrapolated += levelShare + rateShare*elapsed.Seconds()
		charged := levelShare + rateShare*min(elapsed, reportTimeout).Seconds()
		usage.charged += charged
		b.level -= charged
	}
	p.unresponsive = true
}

// usageOf returns the peer's use of an organisation's quota, and adds an empty one if there is
// none.
func (p *peer) usageOf(org string) *peerUsage {
	usage := p.usage[org]
	if usage == nil {
		usage = &peerUsage{}
		p.usage[org] = usage
	}
	return usage
}
