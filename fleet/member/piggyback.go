package member

import (
	"cmp"
	"slices"
)

// piggyback selects updates for a message to the named member: first what that
// member has to refute, then the least transmitted, then one record in turn,
// which repairs differences that the epidemic spread left behind.
func (m *Machine) piggyback(to string) []Update {
	budget := m.cfg.MaxPiggybackBytes
	var chosen []Update
	take := func(r *record) bool {
		u := r.compact()
		if u.maxEncodedBytes() > budget {
			return false
		}
		budget -= u.maxEncodedBytes()
		chosen = append(chosen, u)
		return true
	}
	if r, ok := m.records[to]; ok && r.State != Alive {
		take(r)
	}
	if !m.takeQueued(to, take) {
		return chosen
	}
	m.rebuildViews()
	if len(m.recordNames) > 0 {
		m.syncTurn++
		if r := m.records[m.recordNames[m.syncTurn%len(m.recordNames)]]; r.Name != to && !r.queued {
			take(r)
		}
	}
	return chosen
}

// takeHot offers the records with transmissions left, the least sent first,
// until one is not taken.
func (m *Machine) takeQueued(to string, take func(*record) bool) bool {
	slices.SortStableFunc(m.gossipQueue, func(a, b *record) int { return cmp.Compare(a.transmissions, b.transmissions) })
	limit := m.maxTransmissions()
	full := false
	kept := m.gossipQueue[:0]
	for _, r := range m.gossipQueue {
		if !full && r.Name != to {
			full = !take(r)
			if !full {
				r.transmissions++
			}
		}
		r.queued = r.transmissions < limit
		if r.queued {
			kept = append(kept, r)
		}
	}
	clear(m.gossipQueue[len(kept):])
	m.gossipQueue = kept
	return !full
}

// heat makes the record's update new again. A record known only from the
// platform's list says nothing that others could not read there.
func (m *Machine) enqueueGossip(r *record) {
	r.transmissions = 0
	if r.queued || r.Incarnation == 0 {
		return
	}
	r.queued = true
	m.gossipQueue = append(m.gossipQueue, r)
}
