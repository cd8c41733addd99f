package member

import "time"

// ListedHost is one host in the platform's host list.
type ListedHost struct {
	Name, Zone, Address string
	Leaving             bool
}

// UpdateHostList processes the platform's host list, which may be outdated. Unknown
// hosts are added as alive until probes fail. A host that is missing from the list is
// not declared dead for that reason.
func (m *Machine) UpdateHostList(list []ListedHost, now time.Time) Output {
	var out Output
	for _, r := range m.records {
		r.listedByPlatform = false
	}
	for _, l := range list {
		if l.Name == m.self.Name {
			continue
		}
		r := m.records[l.Name]
		if r == nil {
			r = m.add(Update{Name: l.Name, Zone: l.Zone, Address: l.Address}, now, &out)
		}
		if r == nil {
			continue
		}
		r.listedByPlatform = true
		if l.Leaving && !r.leaving {
			out.Events = append(out.Events, Event{Kind: BecameLeaving, Member: r.member()})
		}
		r.leaving = l.Leaving
	}
	return out
}

// Leave marks this host as having left and announces that to some members.
func (m *Machine) Leave(now time.Time) Output {
	m.self.State = Left
	return m.Gossip(m.cfg.RelayCount+1, now)
}

// SamplePeers returns the names of up to n random live members of this host's zone,
// followed by the partner in each other zone.
func (m *Machine) SamplePeers(n int, now time.Time) []string {
	found := m.sampleZone(n)
	for _, z := range m.otherZoneNames {
		found = append(found, m.partner(z, now))
	}
	return found
}

// Snapshot returns all records, this host's own first, for a host that has just
// started.
func (m *Machine) Snapshot() []Update {
	m.rebuildViews()
	all := make([]Update, 0, len(m.recordNames)+1)
	all = append(all, m.self)
	for _, name := range m.recordNames {
		all = append(all, m.records[name].Update)
	}
	return all
}

// MergeSnapshot merges a peer's Snapshot. Its updates are not queued for gossip,
// because the other members have them already.
func (m *Machine) MergeSnapshot(all []Update, now time.Time) Output {
	var out Output
	for _, u := range all {
		queueLen := len(m.gossipQueue)
		r := m.merge(u, now, &out)
		if len(m.gossipQueue) > queueLen {
			r.queued = false
			m.gossipQueue = m.gossipQueue[:queueLen]
		}
	}
	return out
}

// Gossip returns messages to up to n random live members of this host's zone and to
// the partner in one other zone. The caller uses them to distribute what it attaches
// to messages without waiting for the next probe.
func (m *Machine) Gossip(n int, now time.Time) Output {
	var out Output
	recipients := m.sampleZone(n)
	if len(m.otherZoneNames) > 0 {
		recipients = append(recipients, m.partner(m.otherZoneNames[m.rnd.IntN(len(m.otherZoneNames))], now))
	}
	m.sendGossip(recipients, &out)
	return out
}

// sampleZone returns the names of up to n random live members of this host's zone,
// without this host.
func (m *Machine) sampleZone(n int) []string {
	m.rebuildViews()
	var found []string
	for _, i := range m.rnd.Perm(len(m.zoneMembers)) {
		if len(found) == n {
			break
		}
		if name := m.zoneMembers[i]; name != m.self.Name {
			found = append(found, name)
		}
	}
	return found
}
