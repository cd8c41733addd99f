package member

import "time"

// Listed is one host in the platform's list.
type ListedHost struct {
	Name, Zone, Address string
	Leaving             bool
}

// Hosts takes in the platform's list, which lags behind. Hosts not known yet
// are taken as alive until probes say otherwise; nothing dies because of the
// list.
func (m *Machine) UpdateHostList(list []ListedHost, now time.Time) Output {
	var out Output
	for _, r := range m.records {
		r.listed = false
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
		r.listed = true
		if l.Leaving && !r.leaving {
			out.Events = append(out.Events, Event{Kind: BecameLeaving, Member: r.member()})
		}
		r.leaving = l.Leaving
	}
	return out
}

// Leave announces a planned stop to some members.
func (m *Machine) Leave(now time.Time) Output {
	m.self.State = Left
	return m.Gossip(m.cfg.RelayCount+1, now)
}

// Peers returns up to n random live members of the own zone and then the
// partner in each other zone: whom to ask first after a start.
func (m *Machine) SamplePeers(n int, now time.Time) []string {
	found := m.sample(n)
	for _, z := range m.zones {
		found = append(found, m.partner(z, now))
	}
	return found
}

// Snapshot returns this host's record and all others, for a host that has just
// started.
func (m *Machine) Snapshot() []Update {
	m.rebuild()
	all := make([]Update, 0, len(m.all)+1)
	all = append(all, m.self)
	for _, name := range m.all {
		all = append(all, m.records[name].Update)
	}
	return all
}

// Load takes in a Snapshot of a peer. What it says is known to the others
// already and is not spread again.
func (m *Machine) MergeSnapshot(all []Update, now time.Time) Output {
	var out Output
	for _, u := range all {
		hot := len(m.hot)
		r := m.merge(u, now, &out)
		if len(m.hot) > hot {
			r.hot = false
			m.hot = m.hot[:hot]
		}
	}
	return out
}

// Notify returns notices to n random live members of the own zone and to the
// partner in one other zone. The caller uses them to spread what it attaches to
// messages without waiting for the next probe.
func (m *Machine) Gossip(n int, now time.Time) Output {
	var out Output
	told := m.sample(n)
	if len(m.zones) > 0 {
		told = append(told, m.partner(m.zones[m.rnd.IntN(len(m.zones))], now))
	}
	m.notify(told, &out)
	return out
}

// sample returns up to n random live members of the own zone, without this
// host.
func (m *Machine) sample(n int) []string {
	m.rebuild()
	var found []string
	for _, i := range m.rnd.Perm(len(m.near)) {
		if len(found) == n {
			break
		}
		if name := m.near[i]; name != m.self.Name {
			found = append(found, name)
		}
	}
	return found
}
