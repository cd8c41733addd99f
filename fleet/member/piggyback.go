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
		u := r.trimmed()
		if u.size() > budget {
			return false
		}
		budget -= u.size()
		chosen = append(chosen, u)
		return true
	}
	if r, ok := m.records[to]; ok && r.State != Alive {
		take(r)
	}
	if !m.takeHot(to, take) {
		return chosen
	}
	m.rebuild()
	if len(m.all) > 0 {
		m.syncTurn++
		if r := m.records[m.all[m.syncTurn%len(m.all)]]; r.Name != to && !r.hot {
			take(r)
		}
	}
	return chosen
}

// takeHot offers the records with transmissions left, the least sent first,
// until one is not taken.
func (m *Machine) takeHot(to string, take func(*record) bool) bool {
	slices.SortStableFunc(m.hot, func(a, b *record) int { return cmp.Compare(a.sent, b.sent) })
	limit := m.transmissions()
	full := false
	kept := m.hot[:0]
	for _, r := range m.hot {
		if !full && r.Name != to {
			full = !take(r)
			if !full {
				r.sent++
			}
		}
		r.hot = r.sent < limit
		if r.hot {
			kept = append(kept, r)
		}
	}
	clear(m.hot[len(kept):])
	m.hot = kept
	return !full
}

// heat makes the record's update new again. A record known only from the
// platform's list says nothing that others could not read there.
func (m *Machine) heat(r *record) {
	r.sent = 0
	if r.hot || r.Incarnation == 0 {
		return
	}
	r.hot = true
	m.hot = append(m.hot, r)
}
