package member

import (
	"cmp"
	"slices"
)

// piggyback selects updates for a message to the named member: first an update about
// that member which it must refute, then the queued updates with the fewest
// transmissions, then one record in round-robin order, which repairs records that gossip
// failed to update.
func (m *Machine) piggyback(to string) []Update {
	budget := m.cfg.MaxPiggybackBytes
	var selected []Update
	tryAdd := func(r *record) bool {
		u := r.compact()
		if u.maxEncodedBytes() > budget {
			return false
		}
		budget -= u.maxEncodedBytes()
		selected = append(selected, u)
		return true
	}
	if r, ok := m.records[to]; ok && r.State != Alive {
		tryAdd(r)
	}
	if !m.takeQueued(to, tryAdd) {
		return selected
	}
	m.rebuildViews()
	if len(m.recordNames) > 0 {
		m.syncIndex++
		if r := m.records[m.recordNames[m.syncIndex%len(m.recordNames)]]; r.Name != to && !r.queued {
			tryAdd(r)
		}
	}
	return selected
}

// takeQueued passes the queued records to tryAdd, those with the fewest transmissions
// first, until one does not fit. It reports whether all fitted. Records that have
// reached the maximum number of transmissions leave the queue.
func (m *Machine) takeQueued(to string, tryAdd func(*record) bool) bool {
	slices.SortStableFunc(m.gossipQueue, func(a, b *record) int { return cmp.Compare(a.transmissions, b.transmissions) })
	limit := m.maxTransmissions()
	full := false
	kept := m.gossipQueue[:0]
	for _, r := range m.gossipQueue {
		if !full && r.Name != to {
			full = !tryAdd(r)
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

// enqueueGossip queues the record's update for a full number of transmissions. A
// record that comes only from the platform's host list is not queued, because all hosts
// read that list.
func (m *Machine) enqueueGossip(r *record) {
	r.transmissions = 0
	if r.queued || r.Incarnation == 0 {
		return
	}
	r.queued = true
	m.gossipQueue = append(m.gossipQueue, r)
}
